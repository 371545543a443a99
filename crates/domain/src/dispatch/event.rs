//! What a dispatcher is told.

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
    /// Without one.
    Failed(LeafFailure),
}

/// Something that happened to the broker.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submitted a query.
    Submitted(Submission),
    /// The caller of a query hung up.
    CallerGone(QueryId),
    /// A leaf request ended.
    LeafCompleted {
        /// The leaf that was asked.
        leaf: LeafId,
        /// The request.
        request: LeafRequestId,
        /// How it ended.
        completion: LeafCompletion,
        /// Whether the leaf said that it is leaving; none when it said nothing.
        draining: Option<bool>,
    },
    /// A leaf answered a probe with its mark.
    ProbeAnswered {
        /// The leaf.
        leaf: LeafId,
        /// Whether it is leaving.
        draining: bool,
    },
    /// The time that [`super::Dispatcher::next_timer`] named has come.
    TimerElapsed,
    /// A newer catalog is to be put in force.
    CatalogChanged(Arc<Catalog>),
    /// New queries may start until then, as the freshness lease says; later ones are refused.
    FreshUntil(Timestamp),
    /// The brokers that share the leaves, all of them; empty while they are not known.
    BrokersChanged(Arc<[BrokerEntry]>),
    /// The platform's list of leaving machines, as leaves, whole.
    PlatformLeaving(Vec<LeafId>),
    /// The brokers of a service admit no class lower than this one.
    ThresholdChanged {
        /// The service.
        service: ServiceName,
        /// Priority of the lowest class admitted.
        lowest_admitted: u8,
    },
    /// A planned stop begins: new queries are refused, those in flight finish.
    StopRequested,
}
