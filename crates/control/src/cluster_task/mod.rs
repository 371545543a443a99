//! The task that owns the replicated state of this process and serves reads from it.

mod copies;
mod crashes;
mod listed_leaves;
mod membership;
mod message;
mod proposal_rounds;
mod reads;
mod rollouts;
mod routes;
mod state_document;
mod subscribers;
mod usage;
mod waiting;
mod waiting_routes;

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

use crate::directory_polling::ReadAtOnce;
use crate::leaf_polling::PollPlan;
use crate::replication::{StateMachineMessage, StateSnapshot};
use crate::replication_client::ReplicationClient;
use crate::rollout_orders::ServiceView;
use crate::tables;

use crashes::UnrecordedCrashes;
use listed_leaves::ListedLeaves;
use membership::Membership;
pub use membership::OwnIdentity;
pub use message::{ClusterMessage, ConnectionId, FeedEvent, SubscriberIdentity, ZoneView};
use reads::{PendingRead, Reads};
use rollouts::RolloutWatch;
use state_document::{decode_state, encode_state};
use subscribers::Subscribers;
use usage::QuotaUse;
use waiting::{ChangeReply, WaitingChanges};
use waiting_routes::WaitingReplacements;

/// Time between two rounds of reports and deltas.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Messages that are handled before brokers are told what changed.
const MESSAGE_BATCH: usize = 256;

/// Other tasks of the process that are told what they have to do.
pub struct Outlets {
    /// The leaves to poll.
    pub polling: Tx<PollPlan>,
    /// That the outside list of leaves is to be read.
    pub read_directory: Tx<ReadAtOnce>,
}

/// The state of the task.
pub struct ClusterTask {
    state: ClusterState,
    replication: ReplicationClient,
    own_messages: Tx<ClusterMessage>,
    waiting_changes: WaitingChanges,
    waiting_routes: WaitingReplacements,
    reads: Reads,
    subscribers: Subscribers,
    quota_use: QuotaUse,
    rollouts: RolloutWatch,
    unrecorded_crashes: UnrecordedCrashes,
    membership: Membership,
    listed_leaves: ListedLeaves,
    clock: Clock,
    outlets: Outlets,
    /// Whether something was applied that brokers were not told of.
    changed: bool,
}

/// Starts the task on a channel that its users have already.
pub fn start(
    identity: OwnIdentity,
    replication: ReplicationClient,
    outlets: Outlets,
    own_messages: Tx<ClusterMessage>,
    messages: Rx<ClusterMessage>,
) {
    monoio::spawn(send_rounds(own_messages.clone()));
    monoio::spawn(usage::send_rounds(own_messages.clone()));
    let quota_use = QuotaUse::new(identity.name.clone(), identity.run);
    let task = ClusterTask {
        state: ClusterState::default(),
        replication,
        own_messages,
        waiting_changes: WaitingChanges::default(),
        waiting_routes: WaitingReplacements::default(),
        reads: Reads::default(),
        subscribers: Subscribers::default(),
        quota_use,
        rollouts: RolloutWatch::default(),
        unrecorded_crashes: UnrecordedCrashes::default(),
        membership: Membership::new(identity),
        listed_leaves: ListedLeaves::default(),
        clock: Clock::start(),
        outlets,
        changed: false,
    };
    monoio::spawn(task.run(messages));
}

/// Starts a task that hands the log's requests to the cluster task, and gives the way to it.
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

async fn send_rounds(messages: Tx<ClusterMessage>) {
    while messages.send(ClusterMessage::Round).is_ok() {
        monoio::time::sleep(ROUND_INTERVAL).await;
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

    /// Tells brokers what changed, once for all messages of a batch, and then answers the reads
    /// that waited for it: a lease counts for what was sent before it.
    fn publish(&mut self) {
        if std::mem::take(&mut self.changed) {
            self.quota_use.follow_quotas(self.clock.now(), &self.state);
            self.subscribers.publish(&self.state);
            self.serve_reads();
        }
    }

    fn handle(&mut self, message: ClusterMessage) {
        match message {
            ClusterMessage::Log(message) => self.log_message(message),
            ClusterMessage::Change { request, reply } => self.propose_change(request, reply),
            ClusterMessage::ChangeNotProposed { request, error } => {
                self.waiting_changes.answer(&request, &Err(error))
            }
            ClusterMessage::Look { subject, reply } => {
                self.start_read(vec![PendingRead::Look { subject, reply }])
            }
            ClusterMessage::ReplaceRoutes { routes, reply } => self.replace_routes(routes, reply),
            ClusterMessage::RoutesNotProposed { routes, error } => {
                self.waiting_routes.not_proposed(&routes, &error)
            }
            ClusterMessage::ReadRoutes { reply } => {
                self.start_read(vec![PendingRead::Routes { reply }])
            }
            ClusterMessage::ReadZone { zone, reply } => {
                // Whoever asked may have given up.
                let _ = reply.send(self.view_zone(&zone));
            }
            ClusterMessage::ReadService { order, reply } => {
                // Whoever asked may have given up.
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
                self.membership.leaf_polled(leaf, health)
            }
            ClusterMessage::ReportsTaken => self.membership.reports_taken(),
            ClusterMessage::Round => self.round(),
            ClusterMessage::UsageRound => self.usage_round(),
        }
    }

    fn log_message(&mut self, message: StateMachineMessage) {
        match message {
            StateMachineMessage::Apply { index, command } => self.apply(index, &command),
            StateMachineMessage::Unconfirmed { command } => self.hint_at_crashes(&command),
            StateMachineMessage::Restore { index, snapshot } => self.restore(index, &snapshot),
            StateMachineMessage::TakeSnapshot { reply } => match encode_state(&self.state) {
                Ok(bytes) => {
                    let snapshot = StateSnapshot { index: self.state.applied(), bytes };
                    // The log may have changed its mind.
                    let _ = reply.send(snapshot);
                }
                Err(error) => error!(event = "snapshot_not_encoded", %error),
            },
            StateMachineMessage::PeerWarningsReceived(warnings) => {
                self.subscribers.peer_warned(self.clock.now(), &warnings)
            }
            StateMachineMessage::PeerUsageReceived(used) => {
                self.quota_use.peer_used(self.clock.now(), &used)
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
                self.waiting_changes.answer(request, &Ok(outcome));
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
                // Brokers wait for the trial after this one.
                self.tell_verdicts(vec![finding.clone()]);
                info!(event = "crash_trial", %broker, digest = %finding.digest, granted);
                self.subscribers.answer_trial(broker, *ticket, granted);
            }
            (CommandBody::ReportDirectory(delta), _) => {
                // Orders that came before the list go before it: a roll-out keeps requests from
                // leaves of its version.
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
                self.waiting_routes.accepted(self.state.routes().version());
                self.changed = true;
            }
            Ok(state) => {
                error!(event = "snapshot_older", offered = state.applied().0, index = index.0)
            }
            Err(error) => error!(event = "snapshot_not_understood", index = index.0, %error),
        }
    }

    fn propose_change(&mut self, request: ChangeRequest, reply: ChangeReply) {
        self.waiting_changes.add(request.clone(), reply);
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

    /// One confirmed read for all leases asked for since the last one began.
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
                PendingRead::Look { subject, reply } => {
                    // The operator may have hung up.
                    let use_of = |tenant: &TenantName| self.quota_use.level(tenant).cloned();
                    let _ = reply.send(Ok(tables::show(&self.state, &use_of, &subject)));
                }
                PendingRead::Routes { reply } => {
                    // The operator may have hung up.
                    let _ = reply.send(Ok(self.state.routes().current().cloned()));
                }
                PendingRead::Rollout { service, reply } => {
                    // As above.
                    let _ = reply.send(Ok(self.state.catalog().rollouts().get(&service).cloned()));
                }
                PendingRead::Leases(tickets) => {
                    self.subscribers.grant_leases(self.state.catalog().revision(), &tickets)
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
                self.subscribers.send_current_usage(now, connection, &self.quota_use);
            }
            FeedEvent::Renewed { connection, ticket, in_force } => {
                self.subscribers.in_force(connection, in_force);
                self.reads.ask_lease(connection, ticket);
                self.confirm_leases();
            }
            FeedEvent::InForce { connection, revision } => {
                self.subscribers.in_force(connection, revision)
            }
            FeedEvent::Charged { connection, run, sequence, counters } => {
                let report = self.subscribers.charge_report(connection, run, sequence, counters);
                self.membership.charged(report);
            }
            FeedEvent::Overloaded { connection, report } => {
                let report = self.subscribers.overload_report(connection, report);
                self.membership.overloaded(report);
            }
            FeedEvent::SawSlowLeaves { connection, observations } => {
                self.subscribers.saw_slow_leaves(self.clock.now(), connection, &observations)
            }
            FeedEvent::FoundCrashes { connection, findings } => {
                self.found_crashes(connection, findings)
            }
            FeedEvent::AskedTrial { connection, ticket, finding } => {
                self.asked_trial(connection, ticket, finding)
            }
            FeedEvent::UsedQuotas { connection, report } => {
                if let Some(follower) = self.subscribers.follower(connection) {
                    let broker = &follower.identity;
                    self.quota_use.broker_used(self.clock.now(), broker, &report);
                }
            }
            FeedEvent::ObservedRollouts { reports } => self.rollouts.report(reports),
            FeedEvent::Closed { connection, closed_by_broker } => {
                if let Some(gone) = self.subscribers.closed(connection) {
                    self.quota_use.broker_left(self.clock.now(), &gone.broker, closed_by_broker);
                }
            }
        }
    }

    /// Reports what changed and passes on what others reported.
    fn round(&mut self) {
        for request in self.waiting_changes.round() {
            self.propose_again(request);
        }
        self.propose_routes_again();
        self.follow_rollouts();
        self.propose_crashes_again();
        self.subscribers.publish_members(&self.state);
        self.quota_use.follow_members(self.clock.now(), &self.state);
        if let Some(plan) = self.membership.poll_plan(&self.state) {
            // The polling task lives as long as the process.
            let _ = self.outlets.polling.send(plan);
        }
        let followers = self.subscribers.followers();
        let commands = self.membership.reports(&self.state, followers);
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
            let _ = messages.send(ClusterMessage::ReportsTaken);
        });
    }
}
