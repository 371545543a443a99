//! The task that owns this process's replica of the state, applies commands and serves reads.

mod crashes;
mod listed_leaves;
mod message;
mod pending_changes;
mod pending_routes;
mod proposal_retry;
mod reads;
mod rollouts;
mod routes;
mod snapshot_cache;
mod state_document;
mod state_reporter;
mod subscribers;
mod usage;

use std::time::Duration;

use gingerkeel_domain::cluster::{
    ChangeOutcome, ChangeRequest, ClusterState, Command, CommandBody, CommandOutcome, LogIndex,
};
use gingerkeel_domain::identifiers::{TenantName, ZoneName};
use gingerkeel_domain::rollout::RolloutOrder;
use gingerkeel_protocol::unpack_document;
use gingerkeel_transport::Clock;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use tracing::{debug, error, info};

use crate::directory_polling::RefreshRequest;
use crate::leaf_polling::PollPlan;
use crate::replication::{StateMachineMessage, StateSnapshot};
use crate::replication_client::ReplicationClient;
use crate::rollout_orders::ServiceView;
use crate::tables;

use crashes::PendingCrashFindings;
use listed_leaves::ListedLeaves;
pub use message::{ClusterMessage, ConnectionId, FeedEvent, SubscriberIdentity, ZoneView};
use pending_changes::{ChangeReply, PendingChanges};
use pending_routes::PendingRoutes;
use reads::{PendingRead, Reads};
use rollouts::RolloutTracker;
use state_document::{decode_state, encode_state};
pub use state_reporter::OwnIdentity;
use state_reporter::StateReporter;
use subscribers::Subscribers;
use usage::QuotaUsage;

/// Interval between report ticks.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of messages that are handled before changes are published to brokers.
const MESSAGE_BATCH: usize = 256;

/// Senders to other tasks of the process.
pub struct TaskSenders {
    /// Receives the plan of leaves to poll.
    pub polling: Tx<PollPlan>,
    /// Requests an immediate reading of the external directory.
    pub read_directory: Tx<RefreshRequest>,
}

/// State of the cluster task.
pub struct ClusterTask {
    state: ClusterState,
    replication: ReplicationClient,
    own_messages: Tx<ClusterMessage>,
    pending_changes: PendingChanges,
    pending_routes: PendingRoutes,
    reads: Reads,
    subscribers: Subscribers,
    quota_usage: QuotaUsage,
    rollouts: RolloutTracker,
    pending_crashes: PendingCrashFindings,
    state_reporter: StateReporter,
    listed_leaves: ListedLeaves,
    clock: Clock,
    senders: TaskSenders,
    /// Whether applied commands are not yet published to brokers.
    changed: bool,
}

/// Starts the cluster task, which receives `messages`; `own_messages` is the sender of that
/// channel.
pub fn start(
    identity: OwnIdentity,
    replication: ReplicationClient,
    senders: TaskSenders,
    own_messages: Tx<ClusterMessage>,
    messages: Rx<ClusterMessage>,
) {
    monoio::spawn(send_ticks(own_messages.clone()));
    monoio::spawn(usage::send_ticks(own_messages.clone()));
    let quota_usage = QuotaUsage::new(identity.name.clone(), identity.run);
    let task = ClusterTask {
        state: ClusterState::default(),
        replication,
        own_messages,
        pending_changes: PendingChanges::default(),
        pending_routes: PendingRoutes::default(),
        reads: Reads::default(),
        subscribers: Subscribers::default(),
        quota_usage,
        rollouts: RolloutTracker::default(),
        pending_crashes: PendingCrashFindings::default(),
        state_reporter: StateReporter::new(identity),
        listed_leaves: ListedLeaves::default(),
        clock: Clock::start(),
        senders,
        changed: false,
    };
    monoio::spawn(task.run(messages));
}

/// Starts a task that forwards messages of the replicated log to the cluster task, and returns its
/// sender.
pub fn state_machine(cluster: Tx<ClusterMessage>) -> Tx<StateMachineMessage> {
    let (sender, mut receiver) = unbounded::channel();
    monoio::spawn(async move {
        while let Some(message) = receiver.recv().await {
            if cluster.send(ClusterMessage::Log(message)).is_err() {
                return;
            }
        }
    });
    sender
}

async fn send_ticks(messages: Tx<ClusterMessage>) {
    while messages.send(ClusterMessage::ReportTick).is_ok() {
        monoio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl ClusterTask {
    async fn run(mut self, mut messages: Rx<ClusterMessage>) {
        while let Some(message) = messages.recv().await {
            self.handle(message);
            for _ in 1..MESSAGE_BATCH {
                let Ok(message) = messages.try_recv() else {
                    break;
                };
                self.handle(message);
            }
            self.publish();
        }
    }

    /// Publishes changes to brokers, once per batch of messages, and then serves the reads that
    /// waited for them. The order matters: a lease covers only what was sent before it.
    fn publish(&mut self) {
        if std::mem::take(&mut self.changed) {
            self.quota_usage.update_quotas(self.clock.now(), &self.state);
            self.subscribers.publish(&self.state);
            self.serve_reads();
        }
    }

    fn handle(&mut self, message: ClusterMessage) {
        match message {
            ClusterMessage::Log(message) => self.log_message(message),
            ClusterMessage::Change { request, reply } => self.propose_change(request, reply),
            ClusterMessage::ChangeNotProposed { request, error } => {
                self.pending_changes.answer(&request, &Err(error))
            }
            ClusterMessage::Show { subject, reply } => {
                self.start_read(vec![PendingRead::Show { subject, reply }])
            }
            ClusterMessage::ReplaceRoutes { routes, reply } => self.replace_routes(routes, reply),
            ClusterMessage::RoutesNotProposed { routes, error } => {
                self.pending_routes.not_proposed(&routes, &error)
            }
            ClusterMessage::ReadRoutes { reply } => {
                self.start_read(vec![PendingRead::Routes { reply }])
            }
            ClusterMessage::ReadZone { zone, reply } => {
                // The requester may have given up.
                let _ = reply.send(self.view_zone(&zone));
            }
            ClusterMessage::ReadService { order, reply } => {
                // The requester may have given up.
                let _ = reply.send(self.view_service(&order));
            }
            ClusterMessage::ReadRollout { service, reply } => {
                self.start_read(vec![PendingRead::Rollout { service, reply }])
            }
            ClusterMessage::DirectoryRead(listed) => self.directory_read(listed),
            ClusterMessage::ReadConfirmed { reads, outcome } => {
                self.publish();
                self.reads.confirmed(reads, outcome);
                self.serve_reads();
            }
            ClusterMessage::LeasesConfirmed { tickets, outcome } => {
                self.publish();
                self.reads.leases_confirmed(tickets, outcome);
                self.serve_reads();
                self.confirm_leases();
            }
            ClusterMessage::Feed(event) => self.feed_event(event),
            ClusterMessage::LeafPolled { leaf, health } => {
                self.state_reporter.leaf_polled(leaf, health)
            }
            ClusterMessage::ReportsProposed => self.state_reporter.reports_proposed(),
            ClusterMessage::ReportTick => self.tick(),
            ClusterMessage::UsageTick => self.usage_tick(),
        }
    }

    fn log_message(&mut self, message: StateMachineMessage) {
        match message {
            StateMachineMessage::Apply { index, command } => self.apply(index, &command),
            StateMachineMessage::Unconfirmed { command } => {
                self.publish_unconfirmed_crashes(&command)
            }
            StateMachineMessage::Restore { index, snapshot } => self.restore(index, &snapshot),
            StateMachineMessage::TakeSnapshot { reply } => match encode_state(&self.state) {
                Ok(bytes) => {
                    let snapshot = StateSnapshot { index: self.state.applied(), bytes };
                    // The replication task may have stopped.
                    let _ = reply.send(snapshot);
                }
                Err(error) => error!(event = "snapshot_not_encoded", %error),
            },
            StateMachineMessage::PeerWarningsReceived(warnings) => {
                self.subscribers.adopt_warnings(self.clock.now(), &warnings)
            }
            StateMachineMessage::PeerUsageReceived(report) => {
                self.quota_usage.add_peer_report(self.clock.now(), &report)
            }
        }
    }

    fn apply(&mut self, index: LogIndex, command: &[u8]) {
        let command: Command = match unpack_document(command) {
            Ok(command) => command,
            Err(error) => {
                error!(event = "command_not_understood", index = index.0, %error);
                return;
            }
        };
        let outcome = self.state.apply(index, &command);
        self.applied(&command.body, outcome);
        self.changed = true;
    }

    fn applied(&mut self, body: &CommandBody, outcome: CommandOutcome) {
        match (body, outcome) {
            (CommandBody::Change(request), CommandOutcome::Change(outcome)) => {
                if let ChangeOutcome::Accepted { revision, .. } = &outcome {
                    info!(event = "change_accepted", revision = revision.0, command = %request.id);
                    self.request_released(&request.change);
                }
                self.pending_changes.answer(request, &Ok(outcome));
            }
            (CommandBody::ReportCharges(reports), CommandOutcome::Charges(receipts)) => {
                self.subscribers.acknowledge_charges(reports, &receipts)
            }
            (body, CommandOutcome::Routes(outcome)) => {
                let version = body.routes_version().map(|version| version.0);
                info!(event = "routes_replaced", version, ?outcome);
                self.routes_replaced();
            }
            (_, CommandOutcome::Rollouts(steps)) => self.rollouts_advanced(&steps),
            (CommandBody::ReportCrashes(findings), _) => self.crashes_recorded(findings),
            (
                CommandBody::GrantTrial { broker, ticket, finding },
                CommandOutcome::Trial { granted },
            ) => {
                // All brokers learn of this trial first, so that they wait for the next one.
                self.publish_verdicts(vec![finding.clone()]);
                info!(event = "crash_trial", %broker, digest = %finding.digest, granted);
                self.subscribers.answer_trial(broker, *ticket, granted);
            }
            (CommandBody::ReportDirectory(delta), _) => {
                // Catalog changes that precede the delta are sent first: a roll-out must restrict
                // requests to leaves of its version before those leaves are listed.
                self.subscribers.publish_catalog(&self.state);
                let version = self.state.directory().version().0;
                info!(event = "directory_changed", version);
                self.subscribers.publish_directory_delta(&self.state, delta);
            }
            _ => {}
        }
    }

    fn restore(&mut self, index: LogIndex, snapshot: &[u8]) {
        match decode_state(snapshot) {
            Ok(state) if state.applied() >= self.state.applied() => {
                info!(event = "snapshot_restored", index = index.0);
                self.state = state;
                self.pending_routes.accepted(self.state.routes().version());
                self.changed = true;
            }
            Ok(state) => {
                error!(event = "snapshot_older", offered = state.applied().0, index = index.0)
            }
            Err(error) => error!(event = "snapshot_not_understood", index = index.0, %error),
        }
    }

    fn propose_change(&mut self, request: ChangeRequest, reply: ChangeReply) {
        self.pending_changes.add(request.clone(), reply);
        let replication = self.replication.clone();
        let messages = self.own_messages.clone();
        monoio::spawn(async move {
            let body = CommandBody::Change(request.clone());
            if let Err(error) = replication.propose(body).await {
                // This task lives as long as the process.
                let _ = messages.send(ClusterMessage::ChangeNotProposed { request, error });
            }
        });
    }

    fn view_zone(&self, zone: &ZoneName) -> ZoneView {
        let catalog = self.state.catalog();
        let named = tables::named_zones(&self.state);
        ZoneView {
            revision: catalog.revision(),
            evacuated: catalog.evacuated().contains(zone),
            named: named.contains(zone),
            names_any: !named.is_empty(),
        }
    }

    fn view_service(&self, order: &RolloutOrder) -> ServiceView {
        let leaves = || self.state.directory().leaves().values();
        let routes = self.state.routes().current();
        let routed = routes.iter().flat_map(|accepted| &accepted.configuration.services);
        let of_service = || leaves().filter(|leaf| leaf.service == order.service);
        let is_routed = routed.clone().any(|service| service.name == order.service);
        let is_listed = of_service().next().is_some();
        ServiceView {
            named: is_routed || is_listed,
            names_any: routed.clone().next().is_some() || leaves().next().is_some(),
            already_running: is_listed && of_service().all(|leaf| leaf.version == order.target),
            accepted_before: self.state.catalog().rollouts().took(order),
        }
    }

    fn propose_again(&self, request: ChangeRequest) {
        let replication = self.replication.clone();
        monoio::spawn(async move {
            let command = request.id.to_string();
            if let Err(error) = replication.propose(CommandBody::Change(request)).await {
                info!(event = "change_not_proposed_again", command, %error);
            }
        });
    }

    fn start_read(&mut self, reads: Vec<PendingRead>) {
        let replication = self.replication.clone();
        let messages = self.own_messages.clone();
        monoio::spawn(async move {
            let outcome = replication.confirm_read().await;
            // This task lives as long as the process.
            let _ = messages.send(ClusterMessage::ReadConfirmed { reads, outcome });
        });
    }

    /// Starts one quorum read for all leases requested since the last one began.
    fn confirm_leases(&mut self) {
        let Some(tickets) = self.reads.next_lease_batch() else {
            return;
        };
        let replication = self.replication.clone();
        let messages = self.own_messages.clone();
        monoio::spawn(async move {
            let outcome = replication.confirm_read().await;
            // This task lives as long as the process.
            let _ = messages.send(ClusterMessage::LeasesConfirmed { tickets, outcome });
        });
    }

    fn serve_reads(&mut self) {
        for read in self.reads.due(self.state.applied()) {
            match read {
                PendingRead::Show { subject, reply } => {
                    // The operator may have disconnected.
                    let use_of = |tenant: &TenantName| self.quota_usage.level(tenant).cloned();
                    let _ = reply.send(Ok(tables::show(&self.state, &use_of, &subject)));
                }
                PendingRead::Routes { reply } => {
                    // The operator may have disconnected.
                    let _ = reply.send(Ok(self.state.routes().current().cloned()));
                }
                PendingRead::Rollout { service, reply } => {
                    // The operator may have disconnected.
                    let _ = reply.send(Ok(self.state.catalog().rollouts().get(&service).cloned()));
                }
                PendingRead::Leases(tickets) => {
                    self.subscribers.grant_leases(&self.state, &tickets)
                }
            }
        }
    }

    fn feed_event(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Subscribed { connection, subscriber, revision, feed } => {
                let now = self.clock.now();
                let state = &self.state;
                self.subscribers.subscribe(now, state, connection, subscriber, revision, feed);
                self.subscribers.send_current_warnings(now, connection);
                self.subscribers.send_current_usage(now, connection, &self.quota_usage);
            }
            FeedEvent::LeaseRequested { connection, ticket, in_force } => {
                self.subscribers.in_force(connection, in_force);
                self.reads.request_lease(connection, ticket);
                self.confirm_leases();
            }
            FeedEvent::InForce { connection, revision } => {
                self.subscribers.in_force(connection, revision)
            }
            FeedEvent::ChargesReported { connection, run, sequence, counters } => {
                let report = self.subscribers.charge_report(connection, run, sequence, counters);
                self.state_reporter.add_charges(report);
            }
            FeedEvent::OverloadReported { connection, report } => {
                let report = self.subscribers.overload_report(connection, report);
                self.state_reporter.add_overload(report);
            }
            FeedEvent::SlowLeavesReported { connection, observations } => {
                self.subscribers.report_slow_leaves(self.clock.now(), connection, &observations)
            }
            FeedEvent::CrashesReported { connection, findings } => {
                self.report_crashes(connection, findings)
            }
            FeedEvent::TrialRequested { connection, ticket, finding } => {
                self.request_trial(connection, ticket, finding)
            }
            FeedEvent::UsageReported { connection, report } => {
                if let Some(subscriber) = self.subscribers.get(connection) {
                    let broker = &subscriber.identity;
                    self.quota_usage.add_broker_report(self.clock.now(), broker, &report);
                }
            }
            FeedEvent::RolloutsReported { reports } => self.rollouts.report(reports),
            FeedEvent::Closed { connection, closed_by_broker } => {
                if let Some(gone) = self.subscribers.remove(connection) {
                    self.quota_usage.broker_left(self.clock.now(), &gone.broker, closed_by_broker);
                }
            }
        }
    }

    /// Retries proposals, publishes changes of the members and proposes this process's reports.
    fn tick(&mut self) {
        for request in self.pending_changes.tick() {
            self.propose_again(request);
        }
        self.propose_routes_again();
        self.advance_rollouts();
        self.propose_crashes_again();
        self.subscribers.publish_members(&self.state);
        self.quota_usage.update_members(self.clock.now(), &self.state);
        if let Some(plan) = self.state_reporter.poll_plan(&self.state) {
            // The polling task lives as long as the process.
            let _ = self.senders.polling.send(plan);
        }
        let subscribers = self.subscribers.iter();
        let commands = self.state_reporter.reports(&self.state, subscribers);
        if commands.is_empty() {
            return;
        }
        let replication = self.replication.clone();
        let messages = self.own_messages.clone();
        monoio::spawn(async move {
            for command in commands {
                if let Err(error) = replication.propose(command).await {
                    debug!(event = "report_not_taken", %error);
                }
            }
            // This task lives as long as the process.
            let _ = messages.send(ClusterMessage::ReportsProposed);
        });
    }
}
