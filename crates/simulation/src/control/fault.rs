//! Injected faults, and mutants that disable a rule of the code under test.

use super::broker::BrokerIndex;
use super::machine::MachineIndex;

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Kills the machine; its unsynced writes are lost.
    Kill(MachineIndex),
    /// Restarts the machine from its disk.
    Restart(MachineIndex),
    /// Kills the machine and erases its disk; it restarts as a new member.
    LoseDisk(MachineIndex),
    /// Kills all machines at the same time.
    KillAll,
    /// Kills the leader and restarts it after one second.
    KillLeader,
    /// Pauses the leader for three seconds.
    FreezeLeader,
    /// Pauses the machine.
    Freeze(MachineIndex),
    /// Resumes the machine.
    Thaw(MachineIndex),
    /// Silently drops all messages to and from the machine.
    Isolate(MachineIndex),
    /// Drops all messages from the machine.
    Mute(MachineIndex),
    /// Drops all messages to the machine.
    Deafen(MachineIndex),
    /// Drops all messages between the machine and other machines. Brokers and operators still reach
    /// it.
    CutFromPeers(MachineIndex),
    /// Ends the isolation of the machine.
    Rejoin(MachineIndex),
    /// Partitions the network between the regions.
    CutRegions,
    /// Ends the partition between the regions.
    HealRegions,
    /// Pauses the broker.
    FreezeBroker(BrokerIndex),
    /// Resumes the broker.
    ThawBroker(BrokerIndex),
    /// Restarts the broker without a catalog.
    RestartBroker(BrokerIndex),
    /// Drops this fraction of the replies to operators.
    LoseAnswers(f64),
    /// Drops this fraction of all messages.
    LoseMessages(f64),
}

/// A fault with its time.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule that the simulation disables, to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A control machine grants leases without confirmation by a quorum.
    UnconfirmedGrants,
    /// A broker continues to serve after its lease has expired.
    LeaseIgnored,
    /// A broker accepts an older catalog after reconnecting.
    OlderCatalogTaken,
    /// A retried command gets a new sequence number.
    ResendsRenumbered,
    /// The base revision of a change is ignored.
    ConflictsIgnored,
    /// Writes are reported as persisted before they are synced.
    PersistedTooEarly,
    /// A restarted machine loses its vote.
    VoteForgotten,
    /// A machine that has lost its disk keeps its member identity.
    IdentityKept,
}
