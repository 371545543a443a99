//! Observations of callers and leaves, which the checks take as the ground truth.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::CallerAccount;
use gingerkeel_domain::identifiers::{
    LeafId, LeafRequestId, PartitionEpoch, QueryId, ShardId, Snapshot,
};
use gingerkeel_domain::query::{QueryOutcome, Submission};
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;

/// Identifier of a query, unique over all brokers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GlobalQuery {
    /// Broker that received the query.
    pub broker: BrokerIndex,
    /// Identifier of the query at that broker.
    pub query: QueryId,
}

/// A query as observed by its caller.
#[derive(Debug, Clone)]
pub struct QueryRecord {
    /// Submission of the caller, before any change by a mutant.
    pub submission: Submission,
    /// Priority of the class; 0 is the highest.
    pub priority: u8,
    /// Submission time.
    pub submitted: Timestamp,
    /// Each outcome with the time of its arrival. More than one is a violation.
    pub outcomes: Vec<(Timestamp, QueryOutcome)>,
    /// Whether no outcome is required, since the broker was killed or the caller disconnected while
    /// the query was in flight.
    pub excused: bool,
}

/// A request executed by a leaf.
#[derive(Debug, Clone, Copy)]
pub struct LeafRun {
    /// The leaf.
    pub leaf: LeafId,
    /// Broker that sent the request.
    pub broker: BrokerIndex,
    /// Identifier of the request.
    pub request: LeafRequestId,
    /// Snapshot that was read.
    pub snapshot: Snapshot,
    /// Start of the execution.
    pub started: Timestamp,
}

/// A request that reached a leaf, executed or not.
#[derive(Debug, Clone, Copy)]
pub struct LeafArrival {
    /// The leaf.
    pub leaf: LeafId,
    /// Arrival time.
    pub arrived: Timestamp,
}

/// A leaf with a drain order.
#[derive(Debug, Clone, Copy)]
pub struct DrainRecord {
    /// The leaf.
    pub leaf: LeafId,
    /// Time of the drain order.
    pub ordered: Timestamp,
}

/// A broker with a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub struct StopRecord {
    /// The broker.
    pub broker: BrokerIndex,
    /// Time of the shutdown request.
    pub requested: Timestamp,
}

/// A reduced budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetRecord {
    /// Account with the reduced budget.
    pub account: CallerAccount,
    /// Time of the change.
    pub ordered: Timestamp,
    /// Time from which it is in force at every broker.
    pub in_force: Timestamp,
}

/// An admission threshold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThresholdRecord {
    /// Priority of the lowest class admitted.
    pub lowest_admitted: u8,
    /// Time from which it is in force at every broker.
    pub in_force: Timestamp,
}

/// Total charges of a broker at the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeRecord {
    /// The broker.
    pub broker: BrokerIndex,
    /// Number of charged queries.
    pub answered: u64,
    /// Sum of their prices.
    pub units: u64,
}

/// Observations of callers and leaves in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Queries by identifier.
    pub queries: BTreeMap<GlobalQuery, QueryRecord>,
    /// Executed requests, ordered by time.
    pub runs: Vec<LeafRun>,
    /// Requests that reached leaves, ordered by time.
    pub arrivals: Vec<LeafArrival>,
    /// Drain orders.
    pub drains: Vec<DrainRecord>,
    /// Graceful shutdowns of brokers.
    pub stops: Vec<StopRecord>,
    /// The reduced budget, if any.
    pub budget: Option<BudgetRecord>,
    /// The admission threshold, if any.
    pub threshold: Option<ThresholdRecord>,
    /// Charges of all brokers at the end.
    pub charges: Vec<ChargeRecord>,
    /// Shards of all partition maps by epoch.
    pub shards: BTreeMap<PartitionEpoch, Vec<ShardId>>,
}

/// Response body of a simulated leaf: broker, query, shard, snapshot read and snapshot requested.
pub fn leaf_body(query: GlobalQuery, shard: ShardId, read: Snapshot, asked: Snapshot) -> String {
    format!("{}/{}/{shard}/{read}={asked}", query.broker.0, query.query)
}
