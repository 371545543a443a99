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

use super::reads::{LeaseTicket, PendingRead};
use super::waiting_routes::RoutesReply;
use crate::replication::{ProposeError, ReadError, StateMachineMessage};
use crate::rollout_orders::ServiceView;

/// Number of a broker's connection within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Who subscribed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberIdentity {
    /// The broker.
    pub broker: BrokerName,
    /// Number of its run.
    pub run: u64,
    /// Where it runs.
    pub placement: Placement,
}

/// What this process knows of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneView {
    /// The revision of the catalog that says so.
    pub revision: Revision,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// Whether a broker, a leaf or an evacuation names it.
    pub named: bool,
    /// Whether a broker, a leaf or an evacuation names any zone.
    pub names_any: bool,
}

/// What happened on a broker's connection.
pub enum FeedEvent {
    /// The broker opened its feed.
    Subscribed {
        /// The connection.
        connection: ConnectionId,
        /// The broker.
        subscriber: SubscriberIdentity,
        /// The revision that it holds.
        revision: Revision,
        /// Where its messages go.
        feed: Tx<FeedMessage>,
    },
    /// The broker asked for a lease.
    Renewed {
        /// The connection.
        connection: ConnectionId,
        /// Number of the renewal.
        ticket: u64,
        /// The revision that it has in force.
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
    Charged {
        /// The connection.
        connection: ConnectionId,
        /// The run that counted.
        run: u64,
        /// Number of the report.
        sequence: u64,
        /// The counters.
        counters: BTreeMap<ChargeKey, ChargeCounter>,
    },
    /// The broker reported load and refusals.
    Overloaded {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: OverloadReport,
    },
    /// The broker saw leaves that were slow.
    SawSlowLeaves {
        /// The connection.
        connection: ConnectionId,
        /// What it saw.
        observations: Vec<LeafObservation>,
    },
    /// The broker found requests under which leaves have ended.
    FoundCrashes {
        /// The connection.
        connection: ConnectionId,
        /// What it found.
        findings: Vec<CrashFinding>,
    },
    /// The broker asks for a trial of a request that is refused.
    AskedTrial {
        /// The connection.
        connection: ConnectionId,
        /// Number of the question.
        ticket: u64,
        /// What it holds of the request.
        finding: CrashFinding,
    },
    /// The broker reported what tenants used of their quotas.
    UsedQuotas {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: UsageReport,
    },
    /// A broker reported what came to light of roll-outs.
    ObservedRollouts {
        /// What it reported.
        reports: Vec<RolloutReport>,
    },
    /// The connection is lost.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the broker closed it, which says that it has ended or turned elsewhere.
        closed_by_broker: bool,
    },
}

/// A message to the cluster task.
pub enum ClusterMessage {
    /// A request of the log.
    Log(StateMachineMessage),
    /// Propose an operator's change.
    Change {
        /// The change.
        request: ChangeRequest,
        /// Where its outcome goes.
        reply: oneshot::Sender<Result<ChangeOutcome, ProposeError>>,
    },
    /// A change was perhaps not proposed.
    ChangeNotProposed {
        /// The change.
        request: ChangeRequest,
        /// Why.
        error: ProposeError,
    },
    /// Look something up.
    Look {
        /// What.
        subject: Subject,
        /// Where the table goes.
        reply: oneshot::Sender<Result<StatementReply, ReadError>>,
    },
    /// Replace the configuration of routes.
    ReplaceRoutes {
        /// The newer configuration.
        routes: Arc<AcceptedRoutes>,
        /// Told once one of its version or a higher one is accepted.
        reply: RoutesReply,
    },
    /// A replacement was perhaps not proposed.
    RoutesNotProposed {
        /// The configuration.
        routes: Arc<AcceptedRoutes>,
        /// Why.
        error: ProposeError,
    },
    /// A look at what is known here of a zone.
    ReadZone {
        /// The zone.
        zone: ZoneName,
        /// Where it goes.
        reply: oneshot::Sender<ZoneView>,
    },
    /// A look at what is known here of a service that is to be rolled out.
    ReadService {
        /// The order.
        order: RolloutOrder,
        /// Where it goes.
        reply: oneshot::Sender<ServiceView>,
    },
    /// Read the newest roll-out of a service.
    ReadRollout {
        /// The service.
        service: ServiceName,
        /// Where it goes.
        reply: oneshot::Sender<Result<Option<Rollout>, ReadError>>,
    },
    /// Read the configuration of routes.
    ReadRoutes {
        /// Where it goes.
        reply: oneshot::Sender<Result<Option<Arc<AcceptedRoutes>>, ReadError>>,
    },
    /// The whole list of leaves was read.
    DirectoryRead(DirectoryReading),
    /// A quorum confirmed reads, or not.
    ReadConfirmed {
        /// The reads.
        reads: Vec<PendingRead>,
        /// The index that they need.
        outcome: Result<LogIndex, ReadError>,
    },
    /// A quorum confirmed a batch of leases, or not.
    LeasesConfirmed {
        /// The batch.
        tickets: Vec<LeaseTicket>,
        /// The index that they need.
        outcome: Result<LogIndex, ReadError>,
    },
    /// Something happened on a broker's connection.
    Feed(FeedEvent),
    /// A leaf was polled.
    LeafPolled {
        /// The leaf.
        leaf: LeafId,
        /// What it said.
        health: LeafHealth,
    },
    /// The reports of the last round are taken, or given up.
    ReportsTaken,
    /// Time for a round of reports and deltas.
    Round,
    /// Time for a round of the use of quotas.
    UsageRound,
}
