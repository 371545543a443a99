//! Messages to the cluster task.

use std::collections::BTreeMap;
use std::sync::Arc;

use gingerkeel_domain::admission::OverloadReport;
use gingerkeel_domain::catalog::Placement;
use gingerkeel_domain::cluster::{
    ChangeOutcome, ChangeRequest, ChargeCounter, ChargeKey, LeafHealth, LogIndex,
};
use gingerkeel_domain::crash_suspects::CrashFinding;
use gingerkeel_domain::directory::DirectoryReading;
use gingerkeel_domain::identifiers::{BrokerName, LeafId, Revision, ServiceName, ZoneName};
use gingerkeel_domain::leaf_warnings::LeafObservation;
use gingerkeel_domain::quota::UsageReport;
use gingerkeel_domain::rollout::{Rollout, RolloutOrder, RolloutReport};
use gingerkeel_domain::routes::AcceptedRoutes;
use gingerkeel_protocol::FeedMessage;
use gingerkeel_statement::{StatementReply, Subject};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;

use super::pending_routes::RoutesReply;
use super::reads::{LeaseTicket, PendingRead};
use crate::replication::{ProposeError, ReadError, StateMachineMessage};
use crate::rollout_orders::ServiceView;

/// Number of a broker's connection within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Identity of a subscribed broker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberIdentity {
    /// Name of the broker.
    pub broker: BrokerName,
    /// Number of the broker's run.
    pub run: u64,
    /// Region and zone of the broker.
    pub placement: Placement,
}

/// What this process knows about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneView {
    /// Revision of the catalog that this view reflects.
    pub revision: Revision,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// Whether a broker, a leaf or an evacuation names it.
    pub named: bool,
    /// Whether a broker, a leaf or an evacuation names any zone.
    pub names_any: bool,
}

/// An event on a broker's connection.
pub enum FeedEvent {
    /// The broker opened its feed.
    Subscribed {
        /// The connection.
        connection: ConnectionId,
        /// The broker.
        subscriber: SubscriberIdentity,
        /// The revision that the broker holds.
        revision: Revision,
        /// Sends messages to the broker.
        feed: Tx<FeedMessage>,
    },
    /// The broker requested a lease.
    LeaseRequested {
        /// The connection.
        connection: ConnectionId,
        /// Number of the request within the connection.
        ticket: u64,
        /// The revision that the broker has in force.
        in_force: Revision,
    },
    /// The broker put a revision in force.
    InForce {
        /// The connection.
        connection: ConnectionId,
        /// The revision.
        revision: Revision,
    },
    /// The broker reported charges.
    ChargesReported {
        /// The connection.
        connection: ConnectionId,
        /// The run of the broker that counted the charges.
        run: u64,
        /// Sequence number of the report.
        sequence: u64,
        /// The counters by key.
        counters: BTreeMap<ChargeKey, ChargeCounter>,
    },
    /// The broker reported load and refusals.
    OverloadReported {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: OverloadReport,
    },
    /// The broker observed slow, failing or refusing leaves.
    SlowLeavesReported {
        /// The connection.
        connection: ConnectionId,
        /// The observations by leaf.
        observations: Vec<LeafObservation>,
    },
    /// The broker found requests during which leaves crashed.
    CrashesReported {
        /// The connection.
        connection: ConnectionId,
        /// The findings by request.
        findings: Vec<CrashFinding>,
    },
    /// The broker asks to try a refused request at one leaf.
    TrialRequested {
        /// The connection.
        connection: ConnectionId,
        /// Number of the request for the trial.
        ticket: u64,
        /// The finding that refuses the request.
        finding: CrashFinding,
    },
    /// The broker reported tenants' usage of their quotas.
    UsageReported {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: UsageReport,
    },
    /// A broker reported evidence on roll-outs.
    RolloutsReported {
        /// The evidence by roll-out.
        reports: Vec<RolloutReport>,
    },
    /// The connection ended.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the broker closed the connection: it has stopped or moved to another control
        /// process.
        closed_by_broker: bool,
    },
}

/// A message to the cluster task.
pub enum ClusterMessage {
    /// A message from the replicated log.
    Log(StateMachineMessage),
    /// Propose an operator's change.
    Change {
        /// The change.
        request: ChangeRequest,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<ChangeOutcome, ProposeError>>,
    },
    /// The proposal of a change failed; the change may still be committed.
    ChangeNotProposed {
        /// The change.
        request: ChangeRequest,
        /// The error of the proposal.
        error: ProposeError,
    },
    /// Show a table to an operator.
    Show {
        /// The table to show.
        subject: Subject,
        /// Receives the table.
        reply: oneshot::Sender<Result<StatementReply, ReadError>>,
    },
    /// Replace the route configuration.
    ReplaceRoutes {
        /// The newer configuration.
        routes: Arc<AcceptedRoutes>,
        /// Answered once this version or a higher one is accepted.
        reply: RoutesReply,
    },
    /// The proposal of a replacement failed; it may still be committed.
    RoutesNotProposed {
        /// The configuration.
        routes: Arc<AcceptedRoutes>,
        /// The error of the proposal.
        error: ProposeError,
    },
    /// Read what this process knows about a zone, without a quorum.
    ReadZone {
        /// The zone.
        zone: ZoneName,
        /// Receives the view.
        reply: oneshot::Sender<ZoneView>,
    },
    /// Read what this process knows about the service of a roll-out order, without a quorum.
    ReadService {
        /// The order.
        order: RolloutOrder,
        /// Receives the view.
        reply: oneshot::Sender<ServiceView>,
    },
    /// Read the newest roll-out of a service, confirmed by a quorum.
    ReadRollout {
        /// The service that is rolled out.
        service: ServiceName,
        /// Receives the roll-out; none if the service had none.
        reply: oneshot::Sender<Result<Option<Rollout>, ReadError>>,
    },
    /// Read the route configuration, confirmed by a quorum.
    ReadRoutes {
        /// Receives the configuration; none if none was accepted yet.
        reply: oneshot::Sender<Result<Option<Arc<AcceptedRoutes>>, ReadError>>,
    },
    /// The external list of leaves was read.
    DirectoryRead(DirectoryReading),
    /// A quorum confirmed reads, or failed to.
    ReadConfirmed {
        /// The reads that were to be confirmed.
        reads: Vec<PendingRead>,
        /// The index that must be applied before they are served.
        outcome: Result<LogIndex, ReadError>,
    },
    /// A quorum confirmed a batch of leases, or failed to.
    LeasesConfirmed {
        /// The requests of the batch.
        tickets: Vec<LeaseTicket>,
        /// The index that must be applied before they are granted.
        outcome: Result<LogIndex, ReadError>,
    },
    /// An event on a broker's connection.
    Feed(FeedEvent),
    /// A leaf was polled.
    LeafPolled {
        /// The leaf.
        leaf: LeafId,
        /// The health that it reported.
        health: LeafHealth,
    },
    /// The reports of the last tick were proposed, or the proposal failed.
    ReportsProposed,
    /// Time to propose reports and to publish changes of the members.
    ReportTick,
    /// Time to publish quota usage and leaf warnings.
    UsageTick,
}
