//! Faults that a run meets, and mutants that switch a rule of the code off.

use super::broker::BrokerIndex;
use super::machine::MachineIndex;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The machine is killed; what it has not synced is lost.
    Kill(MachineIndex),
    /// The machine starts again from its disk.
    Restart(MachineIndex),
    /// The machine is killed and its disk is lost; it starts as a new member.
    LoseDisk(MachineIndex),
    /// All machines are killed at the same moment.
    KillAll,
    /// Whoever leads is killed and starts again after a second.
    KillLeader,
    /// Whoever leads stands still and goes on after three seconds.
    FreezeLeader,
    /// The machine stands still.
    Freeze(MachineIndex),
    /// The machine goes on.
    Thaw(MachineIndex),
    /// Nothing passes to or from the machine, and nobody is told.
    Isolate(MachineIndex),
    /// Nothing that the machine sends arrives.
    Mute(MachineIndex),
    /// Nothing that is sent to the machine arrives.
    Deafen(MachineIndex),
    /// Nothing passes between the machine and the others; brokers and operators reach it.
    CutFromPeers(MachineIndex),
    /// The machine's messages pass again.
    Rejoin(MachineIndex),
    /// The regions lose each other.
    CutRegions,
    /// The regions see each other again.
    HealRegions,
    /// The broker stands still.
    FreezeBroker(BrokerIndex),
    /// The broker goes on.
    ThawBroker(BrokerIndex),
    /// The broker starts anew, without a catalog.
    RestartBroker(BrokerIndex),
    /// This share of the answers to operators is lost.
    LoseAnswers(f64),
    /// This share of all messages is lost.
    LoseMessages(f64),
}

/// A fault and when it comes.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule of the code that is switched off by an adapter round it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A control machine grants leases from its own state, without a quorum.
    UnconfirmedGrants,
    /// A broker goes on when its lease has ended.
    LeaseIgnored,
    /// A broker takes whatever catalog a control machine offers.
    OlderCatalogTaken,
    /// A resent command comes under a new number.
    ResendsRenumbered,
    /// The revision that a change was made against is not looked at.
    ConflictsIgnored,
    /// Writes are reported as persisted before they are.
    PersistedTooEarly,
    /// A restarted machine has forgotten its vote.
    VoteForgotten,
    /// A machine that lost its disk goes on under its old identity.
    IdentityKept,
}
