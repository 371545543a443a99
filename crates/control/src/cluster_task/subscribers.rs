//! The brokers that this process feeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::admission::{ADMIT_ALL, OverloadReport};
use gingerkeel_domain::catalog::{Catalog, MemberState, Placement};
use gingerkeel_domain::cluster::{
    BrokerOverload, ChargeCounter, ChargeKey, ChargeReceipt, ChargeReport, ClusterState,
};
use gingerkeel_domain::crash_suspects::{CrashFinding, FindingFold, Verdict};
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

use super::copies::{Copies, packed};
use super::reads::LeaseTicket;
use super::usage::QuotaUse;
use super::{ConnectionId, SubscriberIdentity};

/// How long a broker may rely on its catalog after it asked. With it, an accepted change is in
/// force at every broker that serves within this time.
const FRESHNESS_LEASE: Duration = Duration::from_secs(4);

/// Time after which a broker hears of the use of quotas though nothing changed: one that hears nothing
/// for longer takes itself for cut off, and limits tenants by its share alone.
const USAGE_SIGN_INTERVAL: Duration = Duration::from_millis(500);

/// A broker that follows the catalog here.
pub struct Follower {
    /// Who it is.
    pub identity: SubscriberIdentity,
    /// The revision that it has in force.
    pub in_force: Revision,
    sent: Revision,
    routes_sent: Option<RouteVersion>,
    directory_sent: DirectoryVersion,
    usage_sent: UsageSent,
    feed: Tx<FeedMessage>,
}

/// What a broker was last told of the use of quotas.
#[derive(Debug, Default)]
struct UsageSent {
    at: Timestamp,
    /// The report of its own that was acknowledged.
    heard: u64,
}

/// All brokers that this process feeds.
#[derive(Default)]
pub struct Subscribers {
    connections: BTreeMap<ConnectionId, Follower>,
    brokers: BrokerList,
    leaving_version: u64,
    thresholds: BTreeMap<ServiceName, u8>,
    controls: Vec<SocketAddr>,
    copies: Copies,
    warnings: WarningAggregator,
    /// Refusing leaves that brokers and other control processes were not told of yet.
    untold: Vec<LeafWarning>,
    findings: FindingFold,
}

impl Subscribers {
    /// Opens a feed: the changes that the broker lacks, or the whole catalog when they are not
    /// kept any more.
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
            // A writer that ended means that the broker is gone.
            let _ = feed.send(FeedMessage::Refused { protocol_version: PROTOCOL_VERSION, reason });
            return;
        }
        info!(event = "broker_subscribed", broker = %identity.broker, revision = revision.0);
        let mut follower = Follower {
            identity,
            in_force: revision,
            sent: revision,
            routes_sent: None,
            directory_sent: DirectoryVersion(0),
            usage_sent: UsageSent::default(),
            feed,
        };
        // A broker that is ahead of this process waits: the lease tells it what is accepted.
        if revision == Revision(0) || !follower.send_changes(state) {
            follower.send_catalog(state.catalog());
        }
        // Before the leaves: who shares them bounds what may be sent to them.
        if let Some(delta) = packed(&broker_list(state).whole()) {
            follower.send(FeedMessage::Brokers { delta });
        }
        // Before the routes, so that a broker does not serve without knowing them.
        follower.send_refused_requests(&refused_requests(state), true);
        let findings = self.findings.current(now);
        if !findings.is_empty() {
            follower.send_findings(&findings);
        }
        follower.send_copies(state, &mut self.copies);
        let controls = feed_addresses(state);
        follower.send_document(&controls, |addresses| FeedMessage::Controls { addresses });
        follower.send(leaving(state));
        // A broker that comes from another control process may still hold one that has ended.
        let thresholds = lowest_admitted(state);
        for service in state.catalog().services().keys() {
            follower.send_threshold(service, thresholds.get(service).copied());
        }
        self.forget_older_connections(&follower.identity.broker);
        self.connections.insert(connection, follower);
    }

    /// A broker has one feed: the newest.
    fn forget_older_connections(&mut self, broker: &BrokerName) {
        self.connections.retain(|_, follower| &follower.identity.broker != broker);
    }

    /// Sends what changed in the catalog.
    pub fn publish_catalog(&mut self, state: &ClusterState) {
        let revision = state.catalog().revision();
        for follower in self.connections.values_mut().filter(|broker| broker.sent < revision) {
            if !follower.send_changes(state) {
                follower.send_catalog(state.catalog());
            }
        }
    }

    /// Sends what changed in the catalog and among leaving leaves.
    pub fn publish(&mut self, state: &ClusterState) {
        self.publish_catalog(state);
        if state.leaf_hints().version() != self.leaving_version {
            self.leaving_version = state.leaf_hints().version();
            self.connections.values().for_each(|follower| follower.send(leaving(state)));
        }
        for follower in self.connections.values_mut() {
            follower.send_copies(state, &mut self.copies);
        }
        self.publish_thresholds(state);
        let catalog = state.catalog();
        self.connections.retain(|_, follower| {
            catalog.broker_state(&follower.identity.broker) != MemberState::Removed
        });
    }

    /// Sends a change of the list of leaves, which the state holds already.
    pub fn publish_directory_delta(&mut self, state: &ClusterState, delta: &DirectoryDelta) {
        let version = state.directory().version();
        let current = |broker: &&mut Follower| broker.directory_sent == delta.base;
        let followers = self.connections.values_mut().filter(current);
        let Some(delta) = packed(delta) else {
            return;
        };
        for follower in followers {
            follower.send(FeedMessage::DirectoryChange { delta: delta.clone() });
            follower.directory_sent = version;
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
            for follower in self.connections.values() {
                follower.send_threshold(service, threshold);
            }
        }
    }

    /// Sends what changed among the brokers, once for all that came and went since.
    pub fn publish_members(&mut self, state: &ClusterState) {
        self.publish_controls(state);
        let newer = broker_list(state);
        let Some(delta) = self.brokers.delta_to(&newer) else {
            return;
        };
        if let Some(delta) = packed(&delta) {
            let followers = self.connections.values();
            followers
                .for_each(|follower| follower.send(FeedMessage::Brokers { delta: delta.clone() }));
        }
        self.brokers = newer;
    }

    /// Tells brokers where else they may go.
    fn publish_controls(&mut self, state: &ClusterState) {
        let controls = feed_addresses(state);
        if self.controls == controls {
            return;
        }
        for follower in self.connections.values() {
            follower.send_document(&controls, |addresses| FeedMessage::Controls { addresses });
        }
        self.controls = controls;
    }

    /// Grants leases at the revision that a quorum confirmed.
    pub fn grant_leases(&self, revision: Revision, tickets: &[LeaseTicket]) {
        for ticket in tickets {
            let Some(follower) = self.connections.get(&ticket.connection) else {
                continue;
            };
            follower.send(FeedMessage::Lease {
                ticket: ticket.ticket,
                revision: revision.0,
                duration_milliseconds: FRESHNESS_LEASE.as_millis() as u32,
            });
        }
    }

    /// A broker reports what it has in force.
    pub fn in_force(&mut self, connection: ConnectionId, revision: Revision) {
        if let Some(follower) = self.connections.get_mut(&connection) {
            follower.in_force = follower.in_force.max(revision);
        }
    }

    /// A report of charges under the name of the broker; none when it is not known any more.
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

    /// A report of overload under the name of the broker; none when it is not known any more.
    pub fn overload_report(
        &self,
        connection: ConnectionId,
        report: OverloadReport,
    ) -> Option<BrokerOverload> {
        let broker = self.connections.get(&connection)?.identity.broker.clone();
        Some(BrokerOverload { broker, report })
    }

    /// A broker saw slow, failing or refusing leaves. The brokers that feed here are warned of those that many find slow or
    /// failing: if all brokers of the fleet turned away from a slow leaf at once, the others would not bear its load.
    /// Leaves that refuse have no room anyway, and there may be hundreds: they are told to all, with the next round.
    pub fn saw_slow_leaves(
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
        self.untold.extend(for_all);
    }

    /// Warns the brokers that feed here of the refusing leaves that came to light since the last round; gives what other
    /// control processes are to be told.
    pub fn publish_warnings(&mut self) -> Vec<LeafWarning> {
        let warnings = std::mem::take(&mut self.untold);
        self.warn_brokers(&warnings);
        warnings
    }

    /// Another control process warned its brokers: so are those that feed here.
    pub fn peer_warned(&mut self, now: Timestamp, warnings: &[LeafWarning]) {
        self.warnings.adopt(now, warnings);
        self.warn_brokers(warnings);
    }

    fn warn_brokers(&self, warnings: &[LeafWarning]) {
        if warnings.is_empty() {
            return;
        }
        for follower in self.connections.values() {
            follower.send_warnings(warnings);
        }
    }

    /// Requests under which leaves have ended: the brokers that feed here are told of what is news. `reporter` is the
    /// broker that found it, where that feeds here.
    pub fn tell_findings(
        &mut self,
        now: Timestamp,
        reporter: Option<ConnectionId>,
        findings: Vec<CrashFinding>,
    ) {
        let reporter = reporter.and_then(|connection| self.connections.get(&connection));
        let news = self.findings.report(now, findings);
        for finding in &news {
            info!(
                event = "crash_finding",
                broker = reporter.map(|reporter| reporter.identity.broker.as_str()),
                route = finding.route,
                digest = %finding.digest,
                leaves = finding.leaves,
                verdict = finding.verdict.as_str(),
                for_ms = finding.for_ms
            );
        }
        if news.is_empty() {
            return;
        }
        for follower in self.connections.values() {
            follower.send_findings(&news);
        }
    }

    /// Tells the brokers that feed here which requests the replicated state refuses, or does not any more. What it has
    /// released is no hint either to those that come later.
    pub fn tell_refused_requests(&mut self, findings: &[CrashFinding]) {
        if findings.is_empty() {
            return;
        }
        let released = findings.iter().filter(|finding| finding.verdict == Verdict::Cleared);
        released.for_each(|finding| self.findings.forget(finding.digest));
        for follower in self.connections.values() {
            follower.send_refused_requests(findings, false);
        }
    }

    /// Tells a broker that feeds here whether it may try a refused request.
    pub fn answer_trial(&self, broker: &BrokerName, ticket: u64, granted: bool) {
        let follower = self.connections.values().find(|known| known.identity.broker == *broker);
        if let Some(follower) = follower {
            follower.send(FeedMessage::Trial { ticket, granted });
        }
    }

    /// Tells a broker that has just come of the warnings that last.
    pub fn send_current_warnings(&self, now: Timestamp, connection: ConnectionId) {
        let Some(follower) = self.connections.get(&connection) else {
            return;
        };
        let warnings = self.warnings.current(now);
        if !warnings.is_empty() {
            follower.send_warnings(&warnings);
        }
    }

    /// Tells brokers that feed here of the use of quotas. A broker hears at once of tenants that come near
    /// their quotas and of its own reports, and otherwise as a sign of life.
    pub fn publish_usage(&mut self, now: Timestamp, quota_use: &QuotaUse) {
        for follower in self.connections.values_mut() {
            let heard = quota_use.heard(&follower.identity);
            let is_due = now.since(follower.usage_sent.at) >= USAGE_SIGN_INTERVAL;
            if !quota_use.levels().is_empty() || heard != follower.usage_sent.heard || is_due {
                follower.send_usage(now, quota_use);
            }
        }
    }

    /// Tells a broker that has just come how the quotas stand.
    pub fn send_current_usage(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        quota_use: &QuotaUse,
    ) {
        let follower = self.connections.get_mut(&connection);
        if let Some(follower) = follower.filter(|_| quota_use.can_tell(now)) {
            follower.send_usage(now, quota_use);
        }
    }

    /// The broker of a connection; none when it is not known any more.
    pub fn follower(&self, connection: ConnectionId) -> Option<&Follower> {
        self.connections.get(&connection)
    }

    /// Tells brokers that feed here what became of their reports.
    pub fn acknowledge_charges(&self, reports: &[ChargeReport], receipts: &[ChargeReceipt]) {
        for (report, receipt) in reports.iter().zip(receipts) {
            let follower =
                self.connections.values().find(|known| known.identity.broker == report.broker);
            let (run, sequence) = (report.run, report.sequence);
            if let Some(follower) = follower {
                follower.send(match receipt {
                    ChargeReceipt::Recorded => FeedMessage::ChargesRecorded { run, sequence },
                    ChargeReceipt::RunSettled => FeedMessage::RunSettled { run, sequence },
                });
            }
        }
    }

    /// A connection is lost. Gives the broker, unless it has come on another one.
    pub fn closed(&mut self, connection: ConnectionId) -> Option<SubscriberIdentity> {
        let follower = self.connections.remove(&connection)?;
        info!(event = "broker_gone", broker = %follower.identity.broker);
        Some(follower.identity)
    }

    /// All brokers that are fed here.
    pub fn followers(&self) -> impl Iterator<Item = (ConnectionId, &Follower)> {
        self.connections.iter().map(|(connection, follower)| (*connection, follower))
    }
}

impl Follower {
    /// Sends the changes after what was sent; false when they are not kept.
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

    /// Sends the routes and the list of leaves where the broker lacks the newest.
    fn send_copies(&mut self, state: &ClusterState, copies: &mut Copies) {
        let accepted = state.routes().current();
        let newest = accepted.map(|accepted| accepted.configuration.version);
        if self.routes_sent < newest {
            copies.routes(state).into_iter().for_each(|message| self.send(message));
            self.routes_sent = newest;
        }
        if self.directory_sent < state.directory().version() {
            copies.directory(state).into_iter().for_each(|message| self.send(message));
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

    fn send_usage(&mut self, now: Timestamp, quota_use: &QuotaUse) {
        let heard = quota_use.heard(&self.identity);
        let usage = FleetUsage { heard, levels: quota_use.levels().to_vec() };
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
        // A writer that ended reports the connection as closed.
        let _ = self.feed.send(message);
    }
}

/// All brokers that may be serving as the replicated state knows them.
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

/// What brokers are told of all requests that the replicated state refuses.
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
