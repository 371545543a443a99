//! Faults that a run meets, and mutants that switch a rule of the code off.

use std::time::Duration;

use gingerkeel_domain::identifiers::{LeafId, ShardId};

use super::broker::BrokerIndex;

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The leaf takes `factor` times as long from now on.
    Slow {
        /// The leaf.
        leaf: LeafId,
        /// Factor on its service times; 1 heals.
        factor: f64,
    },
    /// The leaf's process is killed: what it has is lost, connections break.
    Kill(LeafId),
    /// The leaf starts again, cold.
    Restart(LeafId),
    /// The leaf answers nothing until it is thawed.
    Freeze(LeafId),
    /// The leaf goes on.
    Thaw(LeafId),
    /// Nothing passes between a broker and a leaf, and neither is told.
    Cut(BrokerIndex, LeafId),
    /// The cut is healed; what was sent meanwhile is lost.
    Heal(BrokerIndex, LeafId),
    /// Replies of the leaf come this much later, so that they overtake each other.
    LateReplies {
        /// The leaf.
        leaf: LeafId,
        /// Most that is added to a reply's delay.
        spread: Duration,
    },
    /// Replies of the leaf come twice.
    DuplicateReplies(LeafId),
    /// The leaf answers with a version that was not asked for.
    WrongVersion(LeafId),
    /// The leaf fails requests at once, which makes it look fast and idle.
    FailFast(LeafId),
    /// An operator publishes the next index version; leaves move on to it, one after the other,
    /// and drop the oldest one that they hold.
    PublishNext,
    /// An operator starts a partition map of this many shards and publishes it.
    Repartition(u32),
    /// An operator drains the leaf.
    DrainByOperator(LeafId),
    /// The leaf itself starts to leave and marks its replies.
    DrainByLeaf(LeafId),
    /// The broker is told to stop.
    StopBroker(BrokerIndex),
    /// The broker is killed; its callers see a broken connection.
    KillBroker(BrokerIndex),
    /// Callers send not-repeatable queries under keys from now on, and send them again.
    ResendUnderKeys,
    /// The callers' account is cut to this rate per second at each broker.
    CutBudget(u64),
    /// The queue of each class may hold this many queries from now on.
    ShortenQueues(u32),
    /// The brokers admit no class lower than this one from now on.
    SetThreshold(u8),
    /// The leaf does not hold the published version of the shard any more.
    LoseVersion(LeafId, ShardId),
}

/// A fault and when it comes.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule of the code that is switched off by keeping from it what it needs to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The dispatcher is told that every query is repeatable.
    EveryQueryRepeatable,
    /// The dispatcher is told that every reply is of the snapshot that was asked for.
    EveryReplyOfSnapshot,
    /// The dispatcher is told of no drain.
    NoDrainMarks,
    /// The dispatcher is told that a broken request was never written.
    BrokenMeansNotSent,
    /// Replies are handed to the query after the one that they belong to.
    RepliesOfOthers,
    /// An unknown outcome is said to be "not run".
    UnknownSaidNotRun,
    /// Missing shards are left out of answers.
    MissingShardsHidden,
    /// Missing shards that may have run are said to be "not run".
    UnknownShardsSaidNotRun,
    /// A planned stop ends the broker at once.
    StopCutsInFlight,
    /// Refusals are kept until the deadline.
    RefusalsHeldBack,
    /// All classes are queued as one.
    ClassesIgnored,
    /// The dispatcher is told of no request key.
    KeysIgnored,
    /// The dispatcher is told of no cut budget.
    BudgetUnheard,
    /// The dispatcher is told of no threshold.
    ThresholdUnheard,
}
