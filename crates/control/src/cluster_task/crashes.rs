//! Requests that crash leaves: what brokers find goes to the log, and from there to all brokers.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{Command, CommandBody};
use gingerkeel_domain::crash_suspects::{CrashFinding, RequestDigest, Verdict};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::unpack_document;
use tracing::{debug, warn};

use super::proposal_rounds::ProposalRounds;
use super::{ClusterTask, ConnectionId};

/// Time for which a finding that the log did not take is proposed again.
const PROPOSAL_LIFE: Duration = Duration::from_secs(60);
/// Findings that wait for the log.
const UNRECORDED_LIMIT: usize = 512;

/// What brokers that are fed here found and the log does not have yet.
#[derive(Default)]
pub struct UnrecordedCrashes {
    waiting: BTreeMap<RequestDigest, Unrecorded>,
}

/// A finding that waits for the log.
struct Unrecorded {
    since: Timestamp,
    finding: CrashFinding,
    rounds: ProposalRounds,
}

impl UnrecordedCrashes {
    fn add(&mut self, now: Timestamp, finding: CrashFinding) {
        if self.waiting.len() < UNRECORDED_LIMIT {
            let rounds = ProposalRounds::default();
            self.waiting.insert(finding.digest, Unrecorded { since: now, finding, rounds });
        }
    }

    /// What is to be proposed again after one more round.
    fn round(&mut self, now: Timestamp) -> Vec<CrashFinding> {
        self.waiting.retain(|_, waiting| now.since(waiting.since) < PROPOSAL_LIFE);
        let due = self.waiting.values_mut().filter_map(|waiting| {
            let is_due = waiting.rounds.pass();
            is_due.then(|| waiting.finding.clone())
        });
        due.collect()
    }
}

impl ClusterTask {
    /// A broker found requests under which leaves have ended. The brokers that feed here are told at once, all others once
    /// the log has it.
    pub(super) fn found_crashes(&mut self, connection: ConnectionId, findings: Vec<CrashFinding>) {
        let now = self.clock.now();
        self.subscribers.tell_findings(now, Some(connection), findings.clone());
        let lasting = findings.iter().filter(|finding| finding.verdict != Verdict::Suspected);
        lasting.for_each(|finding| self.unrecorded_crashes.add(now, finding.clone()));
        self.propose_crashes(findings);
    }

    /// Proposes what a leader did not take.
    pub(super) fn propose_crashes_again(&mut self) {
        let due = self.unrecorded_crashes.round(self.clock.now());
        self.propose_crashes(due);
    }

    fn propose_crashes(&self, findings: Vec<CrashFinding>) {
        if !findings.is_empty() {
            self.propose_unanswered(CommandBody::ReportCrashes(findings));
        }
    }

    /// A broker asks whether it may try a refused request at one leaf. Without an answer it refuses the request.
    pub(super) fn asked_trial(&self, connection: ConnectionId, ticket: u64, finding: CrashFinding) {
        if let Some(follower) = self.subscribers.follower(connection) {
            let broker = follower.identity.broker.clone();
            self.propose_unanswered(CommandBody::GrantTrial { broker, ticket, finding });
        }
    }

    /// A process that has just started may have a proof in its log of which it learns only from a leader whether it was
    /// accepted. Brokers that subscribe before there is one are told as of a hint, lest they send the request again.
    pub(super) fn hint_at_crashes(&mut self, command: &[u8]) {
        let Ok(Command { body: CommandBody::ReportCrashes(findings), .. }) =
            unpack_document(command)
        else {
            return;
        };
        let refused = |finding: &CrashFinding| finding.verdict == Verdict::Refused;
        let proofs = findings.into_iter().filter(refused).collect();
        self.subscribers.tell_findings(self.clock.now(), None, proofs);
    }

    fn propose_unanswered(&self, command: CommandBody) {
        let replication = self.replication.clone();
        monoio::spawn(async move {
            if let Err(error) = replication.propose(command).await {
                debug!(event = "crash_command_not_taken", %error);
            }
        });
    }

    /// The replicated state has these findings.
    pub(super) fn crashes_recorded(&mut self, findings: &[CrashFinding]) {
        let (suspected, lasting): (Vec<CrashFinding>, Vec<CrashFinding>) =
            findings.iter().cloned().partition(|finding| finding.verdict == Verdict::Suspected);
        self.subscribers.tell_findings(self.clock.now(), None, suspected);
        for finding in &lasting {
            self.unrecorded_crashes.waiting.remove(&finding.digest);
            self.log_verdict(finding);
        }
        self.tell_verdicts(lasting);
    }

    /// An operator's change may release a request.
    pub(super) fn request_released(&mut self, change: &Change) {
        if let Change::ReleaseRequest(digest) = change {
            let cleared = cleared(*digest);
            self.log_verdict(&cleared);
            self.tell_verdicts(vec![cleared]);
        }
    }

    /// Tells brokers what the replicated state has of these requests now.
    pub(super) fn tell_verdicts(&mut self, findings: Vec<CrashFinding>) {
        let refused = self.state.refused_requests();
        let current = findings.into_iter().map(|finding| {
            let held = refused.finding(self.state.now(), finding.digest);
            held.unwrap_or(CrashFinding { verdict: Verdict::Cleared, ..finding })
        });
        self.subscribers.tell_refused_requests(&current.collect::<Vec<_>>());
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

/// What brokers are told of a request that an operator released.
fn cleared(digest: RequestDigest) -> CrashFinding {
    CrashFinding { digest, route: String::new(), leaves: 0, verdict: Verdict::Cleared, for_ms: 0 }
}
