//! Inputs of a dispatcher.

use std::sync::Arc;

use crate::catalog::Catalog;
use crate::identifiers::{LeafId, LeafRequestId, QueryId, ServiceName};
use crate::query::{LeafFailure, LeafReply, Submission};
use crate::routing::subset::BrokerEntry;
use crate::time::Timestamp;

/// How a leaf request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeafCompletion {
    /// With a well-formed reply.
    Replied(LeafReply),
    /// Without a well-formed reply.
    Failed(LeafFailure),
}

/// An input of the dispatcher.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submitted a query.
    Submitted(Submission),
    /// The caller of a query disconnected.
    CallerGone(QueryId),
    /// A leaf request ended.
    LeafCompleted {
        /// The leaf that the request was sent to.
        leaf: LeafId,
        /// The request that ended.
        request: LeafRequestId,
        /// How it ended.
        completion: LeafCompletion,
        /// Draining mark of the reply; `None` when the reply carried none.
        draining: Option<bool>,
    },
    /// A leaf answered a probe.
    ProbeAnswered {
        /// The leaf that answered.
        leaf: LeafId,
        /// Whether the leaf is draining.
        draining: bool,
    },
    /// The time given by [`super::Dispatcher::next_timer`] has come.
    TimerElapsed,
    /// The accepted catalog changed; one with an older revision is ignored.
    CatalogChanged(Arc<Catalog>),
    /// End of the freshness lease; queries that would start at or after it are refused.
    FreshUntil(Timestamp),
    /// All brokers that share the leaves; empty while the list is unknown.
    BrokersChanged(Arc<[BrokerEntry]>),
    /// Complete list of the leaves whose machines the platform is about to stop.
    PlatformLeaving(Vec<LeafId>),
    /// The overload threshold of a service changed; lower classes are shed.
    ThresholdChanged {
        /// The service that the threshold applies to.
        service: ServiceName,
        /// Greatest priority number that is admitted.
        lowest_admitted: u8,
    },
    /// A graceful shutdown begins: new queries are refused, running ones finish.
    StopRequested,
}
