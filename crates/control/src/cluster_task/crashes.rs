//! Requests that crash leaves: brokers' findings are replicated through the log to all brokers.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{Command, CommandBody};
use gingerkeel_domain::crash_suspects::{CrashFinding, RequestDigest, Verdict};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::unpack_document;
use tracing::{debug, warn};

use super::proposal_retry::ProposalRetry;
use super::{ClusterTask, ConnectionId};

/// Time for which a finding that was not committed is proposed again.
const PROPOSAL_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of findings that wait to be committed.
const PENDING_LIMIT: usize = 512;

/// Findings of brokers subscribed here that are not committed yet.
#[derive(Default)]
pub struct PendingCrashFindings {
    pending: BTreeMap<RequestDigest, PendingFinding>,
}

/// A finding that waits to be committed.
struct PendingFinding {
    since: Timestamp,
    finding: CrashFinding,
    retry: ProposalRetry,
}

impl PendingCrashFindings {
    fn add(&mut self, now: Timestamp, finding: CrashFinding) {
        if self.pending.len() < PENDING_LIMIT {
            let retry = ProposalRetry::default();
            self.pending.insert(finding.digest, PendingFinding { since: now, finding, retry });
        }
    }

    /// Advances by one report tick and returns the findings to propose again.
    fn tick(&mut self, now: Timestamp) -> Vec<CrashFinding> {
        self.pending.retain(|_, pending| now.since(pending.since) < PROPOSAL_LIFETIME);
        let due = self.pending.values_mut().filter_map(|pending| {
            let is_due = pending.retry.tick();
            is_due.then(|| pending.finding.clone())
        });
        due.collect()
    }
}

impl ClusterTask {
    /// Handles a broker's findings of requests during which leaves crashed. Brokers subscribed here
    /// are notified at once, all others once the findings are committed.
    pub(super) fn report_crashes(&mut self, connection: ConnectionId, findings: Vec<CrashFinding>) {
        let now = self.clock.now();
        self.subscribers.publish_findings(now, Some(connection), findings.clone());
        let lasting = findings.iter().filter(|finding| finding.verdict != Verdict::Suspected);
        lasting.for_each(|finding| self.pending_crashes.add(now, finding.clone()));
        self.propose_crashes(findings);
    }

    /// Proposes findings again that are not committed yet.
    pub(super) fn propose_crashes_again(&mut self) {
        let due = self.pending_crashes.tick(self.clock.now());
        self.propose_crashes(due);
    }

    fn propose_crashes(&self, findings: Vec<CrashFinding>) {
        if !findings.is_empty() {
            self.propose_in_background(CommandBody::ReportCrashes(findings));
        }
    }

    /// Proposes a broker's request to try a refused request at one leaf. Without an answer the
    /// broker refuses the request.
    pub(super) fn request_trial(
        &self,
        connection: ConnectionId,
        ticket: u64,
        finding: CrashFinding,
    ) {
        if let Some(subscriber) = self.subscribers.get(connection) {
            let broker = subscriber.identity.broker.clone();
            self.propose_in_background(CommandBody::GrantTrial { broker, ticket, finding });
        }
    }

    /// Publishes refusals from recovered commands that are not known to be committed. Only a leader
    /// can tell whether they are; until there is one, subscribing brokers get them as hints, so
    /// that they do not send the crashing request again.
    pub(super) fn publish_unconfirmed_crashes(&mut self, command: &[u8]) {
        let Ok(Command { body: CommandBody::ReportCrashes(findings), .. }) =
            unpack_document(command)
        else {
            return;
        };
        let refused = |finding: &CrashFinding| finding.verdict == Verdict::Refused;
        let proofs = findings.into_iter().filter(refused).collect();
        self.subscribers.publish_findings(self.clock.now(), None, proofs);
    }

    fn propose_in_background(&self, command: CommandBody) {
        let replication = self.replication.clone();
        monoio::spawn(async move {
            if let Err(error) = replication.propose(command).await {
                debug!(event = "crash_command_not_taken", %error);
            }
        });
    }

    /// Handles findings that were committed and applied.
    pub(super) fn crashes_recorded(&mut self, findings: &[CrashFinding]) {
        let (suspected, lasting): (Vec<CrashFinding>, Vec<CrashFinding>) =
            findings.iter().cloned().partition(|finding| finding.verdict == Verdict::Suspected);
        self.subscribers.publish_findings(self.clock.now(), None, suspected);
        for finding in &lasting {
            self.pending_crashes.pending.remove(&finding.digest);
            self.log_verdict(finding);
        }
        self.publish_verdicts(lasting);
    }

    /// Publishes the release of a refused request, if an operator's change contains one.
    pub(super) fn request_released(&mut self, change: &Change) {
        if let Change::ReleaseRequest(digest) = change {
            let cleared = cleared(*digest);
            self.log_verdict(&cleared);
            self.publish_verdicts(vec![cleared]);
        }
    }

    /// Publishes the replicated verdicts on these requests.
    pub(super) fn publish_verdicts(&mut self, findings: Vec<CrashFinding>) {
        let refused = self.state.refused_requests();
        let current = findings.into_iter().map(|finding| {
            let held = refused.finding(self.state.now(), finding.digest);
            held.unwrap_or(CrashFinding { verdict: Verdict::Cleared, ..finding })
        });
        self.subscribers.publish_refused_requests(&current.collect::<Vec<_>>());
    }

    fn log_verdict(&self, finding: &CrashFinding) {
        let trials = self.state.refused_requests().get(finding.digest).map(|held| held.trials);
        warn!(
            event = "crash_verdict",
            route = finding.route,
            digest = %finding.digest,
            verdict = finding.verdict.as_str(),
            leaves = finding.leaves,
            trials
        );
    }
}

/// The finding that is sent for a request that an operator released.
fn cleared(digest: RequestDigest) -> CrashFinding {
    CrashFinding { digest, route: String::new(), leaves: 0, verdict: Verdict::Cleared, for_ms: 0 }
}
