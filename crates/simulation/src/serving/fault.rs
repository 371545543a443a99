//! Injected faults, and mutants that disable a rule of the code under test.

use std::time::Duration;

use gingerkeel_domain::identifiers::{LeafId, ShardId};

use super::broker::BrokerIndex;

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Multiplies the service times of the leaf by `factor`.
    Slow {
        /// The leaf.
        leaf: LeafId,
        /// Factor on service times; 1 ends the fault.
        factor: f64,
    },
    /// Kills the leaf process. Its requests are lost and its connections close.
    Kill(LeafId),
    /// Restarts the leaf, which is cold at first.
    Restart(LeafId),
    /// Pauses the leaf.
    Freeze(LeafId),
    /// Resumes the leaf.
    Thaw(LeafId),
    /// Silently drops all messages between the broker and the leaf.
    Cut(BrokerIndex, LeafId),
    /// Ends the partition between the broker and the leaf. Messages sent before are lost.
    Heal(BrokerIndex, LeafId),
    /// Adds random delays to the replies of the leaf, which reorders them.
    LateReplies {
        /// The leaf.
        leaf: LeafId,
        /// Maximum additional delay.
        spread: Duration,
    },
    /// Duplicates the replies of the leaf.
    DuplicateReplies(LeafId),
    /// Makes the leaf reply from another index version than the requested one.
    WrongVersion(LeafId),
    /// Makes the leaf fail all requests immediately, so that its latency and load are low.
    FailFast(LeafId),
    /// Publishes the next index version. The leaves load it one after the other and drop their
    /// oldest version.
    PublishNext,
    /// Creates a partition map with this number of shards and publishes it.
    Repartition(u32),
    /// Drains the leaf by an operator command.
    DrainByOperator(LeafId),
    /// Makes the leaf drain by itself and mark its replies.
    DrainByLeaf(LeafId),
    /// Starts a graceful shutdown of the broker.
    StopBroker(BrokerIndex),
    /// Kills the broker. The connections of its callers close.
    KillBroker(BrokerIndex),
    /// Makes callers send queries that are not repeatable with request keys, and retry them.
    ResendUnderKeys,
    /// Reduces the budget of the callers to this rate per second at each broker.
    CutBudget(u64),
    /// Sets the queue limit of each class.
    ShortenQueues(u32),
    /// Sets the lowest class that brokers admit.
    SetThreshold(u8),
    /// Removes the published index version of the shard from the leaf.
    LoseVersion(LeafId, ShardId),
}

/// A fault with its time.
pub type TimedFault = crate::fault_plan::TimedFault<Fault>;

/// A rule that the simulation disables by altering the input or output of the dispatcher, to show
/// that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// All queries are submitted as repeatable.
    EveryQueryRepeatable,
    /// All replies are attributed to the requested snapshot.
    EveryReplyOfSnapshot,
    /// The dispatcher is not notified of drains.
    NoDrainMarks,
    /// Failed requests are reported as never sent.
    BrokenMeansNotSent,
    /// Replies are passed to the query after the one to which they belong.
    RepliesOfOthers,
    /// Unknown outcomes are reported as "not run".
    UnknownSaidNotRun,
    /// Missing shards are omitted from answers.
    MissingShardsHidden,
    /// Missing shards with unknown outcomes are reported as "not run".
    UnknownShardsSaidNotRun,
    /// A graceful shutdown stops the broker immediately.
    StopCutsInFlight,
    /// Refusals are delayed until the deadline.
    RefusalsHeldBack,
    /// All queries are submitted in the same class.
    ClassesIgnored,
    /// The dispatcher does not receive request keys.
    KeysIgnored,
    /// The dispatcher is not notified of a reduced budget.
    BudgetUnheard,
    /// The dispatcher is not notified of the admission threshold.
    ThresholdUnheard,
}
