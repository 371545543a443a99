//! Brokers that are subscribed to this process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::admission::{ADMIT_ALL, OverloadReport};
use gingerkeel_domain::catalog::{Catalog, MemberState, Placement};
use gingerkeel_domain::cluster::{
    BrokerOverload, ChargeCounter, ChargeKey, ChargeReceipt, ChargeReport, ClusterState,
};
use gingerkeel_domain::crash_suspects::{CrashFinding, FindingStore, Verdict};
use gingerkeel_domain::directory::{DirectoryDelta, DirectoryVersion};
use gingerkeel_domain::feed::{BrokerList, KnownBroker};
use gingerkeel_domain::identifiers::{BrokerName, Revision, ServiceName};
use gingerkeel_domain::leaf_warnings::{
    LeafObservation, LeafWarning, WarningAggregator, WarningCause,
};
use gingerkeel_domain::quota::FleetUsage;
use gingerkeel_domain::routes::RouteVersion;
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::{
    Document, FeedMessage, FeedRefusal, PROTOCOL_VERSION, ShortText, encode_document,
};
use local_sync::mpsc::unbounded::Tx;
use serde::Serialize;
use tracing::{error, info};

use super::reads::LeaseTicket;
use super::snapshot_cache::{SnapshotCache, pack};
use super::usage::QuotaUsage;
use super::{ConnectionId, SubscriberIdentity};

/// Duration of a broker's lease on its catalog, counted from its request. It bounds the time until
/// an accepted change is in force at every broker that serves.
const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Interval at which a broker is sent usage although nothing changed. Without it for longer, a
/// broker assumes that it is partitioned and limits tenants to its own share.
const USAGE_KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// A subscribed broker and what it was sent.
pub struct Subscriber {
    /// Name, run and placement of the broker.
    pub identity: SubscriberIdentity,
    /// The newest revision that the broker has in force.
    pub in_force: Revision,
    sent: Revision,
    routes_sent: Option<RouteVersion>,
    directory_sent: DirectoryVersion,
    /// Whether it was sent the complete list of refused requests, confirmed by a quorum.
    refused_requests_sent: bool,
    usage_sent: UsageSent,
    feed: Tx<FeedMessage>,
}

/// The last usage message to a broker.
#[derive(Debug, Default)]
struct UsageSent {
    at: Timestamp,
    /// The broker's own report that the message acknowledged.
    heard: u64,
}

/// All brokers that are subscribed to this process, with what was last published.
#[derive(Default)]
pub struct Subscribers {
    connections: BTreeMap<ConnectionId, Subscriber>,
    brokers: BrokerList,
    leaving_version: u64,
    thresholds: BTreeMap<ServiceName, u8>,
    controls: Vec<SocketAddr>,
    snapshot_cache: SnapshotCache,
    warnings: WarningAggregator,
    /// Warnings about refusing leaves that wait for the next usage tick.
    unsent_warnings: Vec<LeafWarning>,
    findings: FindingStore,
}

impl Subscribers {
    /// Opens a feed: sends the changes that the broker lacks, or the full catalog if the history no
    /// longer has them, and then everything else that the broker needs before it serves.
    pub fn subscribe(
        &mut self,
        now: Timestamp,
        state: &ClusterState,
        connection: ConnectionId,
        identity: SubscriberIdentity,
        revision: Revision,
        feed: Tx<FeedMessage>,
    ) {
        if state.catalog().broker_state(&identity.broker) == MemberState::Removed {
            info!(event = "broker_refused", broker = %identity.broker, reason = "removed");
            let reason = FeedRefusal::Removed;
            // If the writer has ended, the broker is gone.
            let _ = feed.send(FeedMessage::Refused { protocol_version: PROTOCOL_VERSION, reason });
            return;
        }
        info!(event = "broker_subscribed", broker = %identity.broker, revision = revision.0);
        let mut subscriber = Subscriber {
            identity,
            in_force: revision,
            sent: revision,
            routes_sent: None,
            directory_sent: DirectoryVersion(0),
            refused_requests_sent: false,
            usage_sent: UsageSent::default(),
            feed,
        };
        // A broker that is ahead of this process is sent no changes; its lease names the accepted
        // revision.
        if revision == Revision(0) || !subscriber.send_changes(state) {
            subscriber.send_catalog(state.catalog());
        }
        // Before the leaves: the number of brokers that share a leaf limits the requests to it.
        if let Some(delta) = pack(&broker_list(state).whole()) {
            subscriber.send(FeedMessage::Brokers { delta });
        }
        // Before the routes, so that the broker does not serve requests that are to be refused. The
        // list counts as complete only with the first lease: this process may have missed refusals
        // that the broker knows of.
        subscriber.send_refused_requests(&refused_requests(state), false);
        let findings = self.findings.current(now);
        if !findings.is_empty() {
            subscriber.send_findings(&findings);
        }
        subscriber.send_snapshots(state, &mut self.snapshot_cache);
        let controls = feed_addresses(state);
        subscriber.send_document(&controls, |addresses| FeedMessage::Controls { addresses });
        subscriber.send(leaving(state));
        // A broker from another control process may hold a threshold that is no longer in force.
        let thresholds = lowest_admitted(state);
        for service in state.catalog().services().keys() {
            subscriber.send_threshold(service, thresholds.get(service).copied());
        }
        self.drop_older_connections(&subscriber.identity.broker);
        self.connections.insert(connection, subscriber);
    }

    /// Drops older feeds of a broker: only its newest counts.
    fn drop_older_connections(&mut self, broker: &BrokerName) {
        self.connections.retain(|_, subscriber| &subscriber.identity.broker != broker);
    }

    /// Sends new catalog changes.
    pub fn publish_catalog(&mut self, state: &ClusterState) {
        let revision = state.catalog().revision();
        for subscriber in self.connections.values_mut().filter(|broker| broker.sent < revision) {
            if !subscriber.send_changes(state) {
                subscriber.send_catalog(state.catalog());
            }
        }
    }

    /// Sends changes of catalog, leaving leaves, routes, directory and thresholds, and drops
    /// removed brokers.
    pub fn publish(&mut self, state: &ClusterState) {
        self.publish_catalog(state);
        if state.leaf_hints().version() != self.leaving_version {
            self.leaving_version = state.leaf_hints().version();
            self.connections.values().for_each(|subscriber| subscriber.send(leaving(state)));
        }
        for subscriber in self.connections.values_mut() {
            subscriber.send_snapshots(state, &mut self.snapshot_cache);
        }
        self.publish_thresholds(state);
        let catalog = state.catalog();
        self.connections.retain(|_, subscriber| {
            catalog.broker_state(&subscriber.identity.broker) != MemberState::Removed
        });
    }

    /// Sends a directory delta that is already applied to the state, to brokers that hold its base
    /// version.
    pub fn publish_directory_delta(&mut self, state: &ClusterState, delta: &DirectoryDelta) {
        let version = state.directory().version();
        let current = |broker: &&mut Subscriber| broker.directory_sent == delta.base;
        let subscribers = self.connections.values_mut().filter(current);
        let Some(delta) = pack(delta) else {
            return;
        };
        for subscriber in subscribers {
            subscriber.send(FeedMessage::DirectoryChange { delta: delta.clone() });
            subscriber.directory_sent = version;
        }
    }

    fn publish_thresholds(&mut self, state: &ClusterState) {
        let newer = lowest_admitted(state);
        let before = std::mem::replace(&mut self.thresholds, newer);
        let services: BTreeSet<&ServiceName> =
            before.keys().chain(self.thresholds.keys()).collect();
        for service in services {
            let threshold = self.thresholds.get(service).copied();
            if before.get(service).copied() == threshold {
                continue;
            }
            info!(event = "threshold_changed", %service, lowest_admitted = threshold);
            for subscriber in self.connections.values() {
                subscriber.send_threshold(service, threshold);
            }
        }
    }

    /// Sends changes of the control processes, and the accumulated changes of the brokers.
    pub fn publish_members(&mut self, state: &ClusterState) {
        self.publish_controls(state);
        let newer = broker_list(state);
        let Some(delta) = self.brokers.delta_to(&newer) else {
            return;
        };
        if let Some(delta) = pack(&delta) {
            let subscribers = self.connections.values();
            subscribers.for_each(|subscriber| {
                subscriber.send(FeedMessage::Brokers { delta: delta.clone() })
            });
        }
        self.brokers = newer;
    }

    /// Sends the feed addresses of all control processes, if they changed.
    fn publish_controls(&mut self, state: &ClusterState) {
        let controls = feed_addresses(state);
        if self.controls == controls {
            return;
        }
        for subscriber in self.connections.values() {
            subscriber.send_document(&controls, |addresses| FeedMessage::Controls { addresses });
        }
        self.controls = controls;
    }

    /// Grants leases at the revision of a state that a quorum has confirmed.
    pub fn grant_leases(&mut self, state: &ClusterState, tickets: &[LeaseTicket]) {
        let revision = state.catalog().revision();
        for ticket in tickets {
            let Some(subscriber) = self.connections.get_mut(&ticket.connection) else {
                continue;
            };
            if !std::mem::replace(&mut subscriber.refused_requests_sent, true) {
                subscriber.send_refused_requests(&refused_requests(state), true);
            }
            subscriber.send(FeedMessage::Lease {
                ticket: ticket.ticket,
                revision: revision.0,
                duration_milliseconds: LEASE_DURATION.as_millis() as u32,
            });
        }
    }

    /// Records the revision that a broker has in force.
    pub fn in_force(&mut self, connection: ConnectionId, revision: Revision) {
        if let Some(subscriber) = self.connections.get_mut(&connection) {
            subscriber.in_force = subscriber.in_force.max(revision);
        }
    }

    /// Adds the broker's name to a report of charges; none if the connection is gone.
    pub fn charge_report(
        &self,
        connection: ConnectionId,
        run: u64,
        sequence: u64,
        counters: BTreeMap<ChargeKey, ChargeCounter>,
    ) -> Option<ChargeReport> {
        let broker = self.connections.get(&connection)?.identity.broker.clone();
        Some(ChargeReport { broker, run, sequence, counters })
    }

    /// Adds the broker's name to a report of overload; none if the connection is gone.
    pub fn overload_report(
        &self,
        connection: ConnectionId,
        report: OverloadReport,
    ) -> Option<BrokerOverload> {
        let broker = self.connections.get(&connection)?.identity.broker.clone();
        Some(BrokerOverload { broker, report })
    }

    /// Aggregates a broker's observations into warnings. Slow and failing leaves are published only
    /// to brokers subscribed here: if the whole fleet avoided a slow leaf at once, the others could
    /// not take its load. Refusing leaves have no capacity anyway and may number hundreds, so they
    /// are published fleet-wide in a batch with the next usage tick.
    pub fn report_slow_leaves(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        observations: &[LeafObservation],
    ) {
        let Some(reporter) = self.connections.get(&connection) else {
            return;
        };
        let warnings = self.warnings.report(now, &reporter.identity.broker, observations);
        for warning in &warnings {
            info!(event = "leaf_warning", leaf = %warning.leaf, cause = ?warning.cause, for_ms = warning.for_ms);
        }
        let is_for_all = |warning: &LeafWarning| warning.cause == WarningCause::Refusing;
        let (for_all, for_own): (Vec<LeafWarning>, Vec<LeafWarning>) =
            warnings.into_iter().partition(is_for_all);
        self.warn_brokers(&for_own);
        self.unsent_warnings.extend(for_all);
    }

    /// Sends the brokers subscribed here the warnings about refusing leaves since the last usage
    /// tick, and returns them for the other control processes.
    pub fn publish_warnings(&mut self) -> Vec<LeafWarning> {
        let warnings = std::mem::take(&mut self.unsent_warnings);
        self.warn_brokers(&warnings);
        warnings
    }

    /// Adopts warnings of another control process and forwards them to the brokers subscribed here.
    pub fn adopt_warnings(&mut self, now: Timestamp, warnings: &[LeafWarning]) {
        self.warnings.adopt(now, warnings);
        self.warn_brokers(warnings);
    }

    fn warn_brokers(&self, warnings: &[LeafWarning]) {
        if warnings.is_empty() {
            return;
        }
        for subscriber in self.connections.values() {
            subscriber.send_warnings(warnings);
        }
    }

    /// Sends new findings of requests that crash leaves to the brokers subscribed here, except the
    /// one on the connection `reporter`, which reported them: it hears of a refusal only once the
    /// refusal is recorded, and keeps reporting it until then.
    pub fn publish_findings(
        &mut self,
        now: Timestamp,
        reporter: Option<ConnectionId>,
        findings: Vec<CrashFinding>,
    ) {
        let broker = reporter.and_then(|connection| self.connections.get(&connection));
        let new_findings = self.findings.report(now, findings);
        for finding in &new_findings {
            info!(
                event = "crash_finding",
                broker = broker.map(|broker| broker.identity.broker.as_str()),
                route = finding.route,
                digest = %finding.digest,
                leaves = finding.leaves,
                verdict = finding.verdict.as_str(),
                for_ms = finding.for_ms
            );
        }
        if new_findings.is_empty() {
            return;
        }
        let others =
            self.connections.iter().filter(|(connection, _)| Some(**connection) != reporter);
        for (_, subscriber) in others {
            subscriber.send_findings(&new_findings);
        }
    }

    /// Sends verdicts of the replicated state on refused requests to the brokers subscribed here. A
    /// released request is also removed from the hints for later subscribers.
    pub fn publish_refused_requests(&mut self, findings: &[CrashFinding]) {
        if findings.is_empty() {
            return;
        }
        let released = findings.iter().filter(|finding| finding.verdict == Verdict::Cleared);
        released.for_each(|finding| self.findings.forget(finding.digest));
        for subscriber in self.connections.values() {
            subscriber.send_refused_requests(findings, false);
        }
    }

    /// Sends a broker that is subscribed here the decision on its trial of a refused request.
    pub fn answer_trial(&self, broker: &BrokerName, ticket: u64, granted: bool) {
        let subscriber = self.connections.values().find(|known| known.identity.broker == *broker);
        if let Some(subscriber) = subscriber {
            subscriber.send(FeedMessage::Trial { ticket, granted });
        }
    }

    /// Sends a new subscriber the warnings that are still valid.
    pub fn send_current_warnings(&self, now: Timestamp, connection: ConnectionId) {
        let Some(subscriber) = self.connections.get(&connection) else {
            return;
        };
        let warnings = self.warnings.current(now);
        if !warnings.is_empty() {
            subscriber.send_warnings(&warnings);
        }
    }

    /// Sends quota usage to the brokers subscribed here: at once when tenants are near their quotas
    /// or a report of the broker is acknowledged, and otherwise as a keep-alive.
    pub fn publish_usage(&mut self, now: Timestamp, quota_usage: &QuotaUsage) {
        for subscriber in self.connections.values_mut() {
            let heard = quota_usage.heard(&subscriber.identity);
            let is_due = now.since(subscriber.usage_sent.at) >= USAGE_KEEPALIVE_INTERVAL;
            if !quota_usage.levels().is_empty() || heard != subscriber.usage_sent.heard || is_due {
                subscriber.send_usage(now, quota_usage);
            }
        }
    }

    /// Sends a new subscriber the current quota usage.
    pub fn send_current_usage(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        quota_usage: &QuotaUsage,
    ) {
        let subscriber = self.connections.get_mut(&connection);
        if let Some(subscriber) = subscriber.filter(|_| quota_usage.can_publish(now)) {
            subscriber.send_usage(now, quota_usage);
        }
    }

    /// The broker of a connection; none if the connection is gone.
    pub fn get(&self, connection: ConnectionId) -> Option<&Subscriber> {
        self.connections.get(&connection)
    }

    /// Acknowledges reports of charges to the brokers subscribed here.
    pub fn acknowledge_charges(&self, reports: &[ChargeReport], receipts: &[ChargeReceipt]) {
        for (report, receipt) in reports.iter().zip(receipts) {
            let subscriber =
                self.connections.values().find(|known| known.identity.broker == report.broker);
            let (run, sequence) = (report.run, report.sequence);
            if let Some(subscriber) = subscriber {
                subscriber.send(match receipt {
                    ChargeReceipt::Recorded => FeedMessage::ChargesRecorded { run, sequence },
                    ChargeReceipt::RunSettled => FeedMessage::RunSettled { run, sequence },
                });
            }
        }
    }

    /// Removes a connection that ended. Returns the broker, unless it has a newer connection.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<SubscriberIdentity> {
        let subscriber = self.connections.remove(&connection)?;
        info!(event = "broker_gone", broker = %subscriber.identity.broker);
        Some(subscriber.identity)
    }

    /// All subscribed brokers with their connections.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Subscriber)> {
        self.connections.iter().map(|(connection, subscriber)| (*connection, subscriber))
    }
}

impl Subscriber {
    /// Sends the changes since the last ones sent; false if the history no longer has them.
    fn send_changes(&mut self, state: &ClusterState) -> bool {
        let newest = state.catalog().revision();
        if self.sent > newest {
            return true;
        }
        let Some(changes) = state.history().since(newest, self.sent) else {
            return false;
        };
        for accepted in changes {
            let revision = accepted.revision.0;
            self.send_document(&accepted.change, |change| FeedMessage::Change { revision, change });
        }
        self.sent = newest;
        true
    }

    /// Sends the routes and the directory if the broker lacks the newest version.
    fn send_snapshots(&mut self, state: &ClusterState, snapshot_cache: &mut SnapshotCache) {
        let accepted = state.routes().current();
        let newest = accepted.map(|accepted| accepted.configuration.version);
        if self.routes_sent < newest {
            snapshot_cache.routes(state).into_iter().for_each(|message| self.send(message));
            self.routes_sent = newest;
        }
        if self.directory_sent < state.directory().version() {
            snapshot_cache.directory(state).into_iter().for_each(|message| self.send(message));
            self.directory_sent = state.directory().version();
        }
    }

    fn send_catalog(&mut self, catalog: &Catalog) {
        self.send_document(catalog, |catalog| FeedMessage::FullCatalog { catalog });
        self.sent = catalog.revision();
    }

    fn send_threshold(&self, service: &ServiceName, threshold: Option<u8>) {
        let lowest_admitted = threshold.unwrap_or(ADMIT_ALL);
        let service = ShortText::new(service.as_str());
        self.send(FeedMessage::Threshold { service, lowest_admitted });
    }

    fn send_warnings(&self, warnings: &[LeafWarning]) {
        self.send_document(&warnings, |warnings| FeedMessage::LeafWarnings { warnings });
    }

    fn send_findings(&self, findings: &[CrashFinding]) {
        self.send_document(&findings, |findings| FeedMessage::CrashFindings { findings });
    }

    fn send_refused_requests(&self, findings: &[CrashFinding], is_whole: bool) {
        let message = |findings| FeedMessage::RefusedRequests { is_whole, findings };
        self.send_document(&findings, message);
    }

    fn send_usage(&mut self, now: Timestamp, quota_usage: &QuotaUsage) {
        let heard = quota_usage.heard(&self.identity);
        let usage = FleetUsage { heard, levels: quota_usage.levels().to_vec() };
        self.send_document(&usage, |usage| FeedMessage::Usage { usage });
        self.usage_sent = UsageSent { at: now, heard };
    }

    fn send_document(
        &self,
        document: &impl Serialize,
        message: impl FnOnce(Document) -> FeedMessage,
    ) {
        match encode_document(document) {
            Ok(bytes) => self.send(message(Document::from(bytes))),
            Err(error) => error!(event = "document_not_encoded", %error),
        }
    }

    fn send(&self, message: FeedMessage) {
        // If the writer has ended, the end of the connection is reported separately.
        let _ = self.feed.send(message);
    }
}

/// All brokers that may be serving: subscribed ones and recently departed ones.
fn broker_list(state: &ClusterState) -> BrokerList {
    let known = |name: &BrokerName, placement: &Placement, live| KnownBroker {
        entry: BrokerEntry { name: name.clone(), placement: placement.clone() },
        live,
    };
    let members = state.members();
    let live = members.brokers().iter().map(|(name, broker)| known(name, &broker.placement, true));
    let gone = members.departed().iter().map(|(name, gone)| known(name, &gone.placement, false));
    BrokerList::new(gone.chain(live))
}

/// The findings of all requests that the replicated state refuses.
fn refused_requests(state: &ClusterState) -> Vec<CrashFinding> {
    let refused = state.refused_requests();
    let findings = refused.all().filter_map(|(digest, _)| refused.finding(state.now(), digest));
    findings.collect()
}

fn feed_addresses(state: &ClusterState) -> Vec<SocketAddr> {
    state.members().controls().values().map(|control| control.renewal.feed).collect()
}

fn lowest_admitted(state: &ClusterState) -> BTreeMap<ServiceName, u8> {
    let thresholds = state.thresholds().services().iter();
    thresholds.map(|(service, threshold)| (service.clone(), threshold.lowest_admitted)).collect()
}

fn leaving(state: &ClusterState) -> FeedMessage {
    let leaves = state.leaf_hints().leaving().into_iter().map(|leaf| leaf.0).collect();
    FeedMessage::Leaving { leaves }
}
