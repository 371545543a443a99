//! What callers and leaves saw: the ground truth that checks are made against.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::CallerAccount;
use gingerkeel_domain::identifiers::{
    LeafId, LeafRequestId, PartitionEpoch, QueryId, ShardId, Snapshot,
};
use gingerkeel_domain::query::{QueryOutcome, Submission};
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;

/// Number of a query over all brokers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GlobalQuery {
    /// The broker that took it.
    pub broker: BrokerIndex,
    /// Its number at that broker.
    pub query: QueryId,
}

/// One query as its caller saw it.
#[derive(Debug, Clone)]
pub struct QueryRecord {
    /// What was submitted; not repeatable means what the caller meant, whatever a mutant makes of it.
    pub submission: Submission,
    /// Priority of its class.
    pub priority: u8,
    /// When it was submitted.
    pub submitted: Timestamp,
    /// Outcomes with the time at which each arrived; more than one is a fault.
    pub outcomes: Vec<(Timestamp, QueryOutcome)>,
    /// Its broker was killed while it was in flight, so no outcome is owed.
    pub excused: bool,
}

/// One request that a leaf ran.
#[derive(Debug, Clone, Copy)]
pub struct LeafRun {
    /// The leaf.
    pub leaf: LeafId,
    /// The broker that sent it.
    pub broker: BrokerIndex,
    /// The request.
    pub request: LeafRequestId,
    /// The snapshot that was read.
    pub snapshot: Snapshot,
    /// When it started.
    pub started: Timestamp,
}

/// One request that reached a leaf, whatever the leaf made of it.
#[derive(Debug, Clone, Copy)]
pub struct LeafArrival {
    /// The leaf.
    pub leaf: LeafId,
    /// When it arrived.
    pub arrived: Timestamp,
}

/// A leaf that was told to leave.
#[derive(Debug, Clone, Copy)]
pub struct DrainRecord {
    /// The leaf.
    pub leaf: LeafId,
    /// When it was told.
    pub ordered: Timestamp,
}

/// A broker that was told to stop.
#[derive(Debug, Clone, Copy)]
pub struct StopRecord {
    /// The broker.
    pub broker: BrokerIndex,
    /// When it was told.
    pub requested: Timestamp,
}

/// A budget that was cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetRecord {
    /// The account since then.
    pub account: CallerAccount,
    /// When it was ordered.
    pub ordered: Timestamp,
    /// When every broker knows it.
    pub in_force: Timestamp,
}

/// A threshold that was set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThresholdRecord {
    /// Priority of the lowest class admitted.
    pub lowest_admitted: u8,
    /// When every broker knows it.
    pub in_force: Timestamp,
}

/// What one broker had charged at the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeRecord {
    /// The broker.
    pub broker: BrokerIndex,
    /// Answered queries that it counted.
    pub answered: u64,
    /// Their prices together.
    pub units: u64,
}

/// All that callers and leaves saw in one run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Queries by number.
    pub queries: BTreeMap<GlobalQuery, QueryRecord>,
    /// Requests that leaves ran, in order of time.
    pub runs: Vec<LeafRun>,
    /// Requests that reached leaves, in order of time.
    pub arrivals: Vec<LeafArrival>,
    /// Leaves that were told to leave and not taken back.
    pub drains: Vec<DrainRecord>,
    /// Brokers that were told to stop.
    pub stops: Vec<StopRecord>,
    /// The budget, if it was cut.
    pub budget: Option<BudgetRecord>,
    /// The threshold, if one was set.
    pub threshold: Option<ThresholdRecord>,
    /// What brokers had charged at the end.
    pub charges: Vec<ChargeRecord>,
    /// Shards of every partition map that was ever in force.
    pub shards: BTreeMap<PartitionEpoch, Vec<ShardId>>,
}

/// The body that a leaf replies with: whose it is, what was read, and what was asked for.
pub fn leaf_body(query: GlobalQuery, shard: ShardId, read: Snapshot, asked: Snapshot) -> String {
    format!("{}/{}/{shard}/{read}={asked}", query.broker.0, query.query)
}
