//! Limits on how often a crashing request reaches leaves, over all brokers.

use std::collections::BTreeMap;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{
    ChangeOutcome, ChangeRequest, ClusterState, Command, CommandBody, CommandId, CommandOutcome,
    LogIndex, WallTime,
};
use gingerkeel_domain::crash_suspects::{
    CrashFinding, CrashSuspects, LeafEnd, RequestDigest, SendPolicy, Verdict,
};
use gingerkeel_domain::identifiers::{BrokerName, LeafIdentity, SessionName};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

const CRASHING: RequestDigest = RequestDigest(1);
const ROUTE: &str = "all";
/// Delay from one broker to all others through the log, in milliseconds.
const NEWS_MS: u64 = 150;
const SECOND_MS: u64 = 1_000;
/// Maximum interval between commands, in milliseconds.
const STEP_MS: u64 = 9 * SECOND_MS;
const HOUR_MS: u64 = 3_600 * SECOND_MS;
/// Required limit on how often a request may reach leaves after it has crashed three.
const MOST_AFTER_THREE: usize = 3;

fn refusal(for_ms: u32) -> CrashFinding {
    let route = ROUTE.to_owned();
    CrashFinding { digest: CRASHING, route, leaves: 3, verdict: Verdict::Refused, for_ms }
}

/// The replicated state with its log position.
#[derive(Default)]
struct Log {
    state: ClusterState,
    index: u64,
    last: u64,
}

impl Log {
    /// Applies a command, after filler commands that let the replicated time keep up.
    fn apply(&mut self, now: u64, body: CommandBody) -> CommandOutcome {
        for at in (self.last..now).step_by(STEP_MS as usize) {
            self.add(at, CommandBody::ReportCrashes(Vec::new()));
        }
        self.last = now;
        self.add(now, body)
    }

    fn add(&mut self, now: u64, body: CommandBody) -> CommandOutcome {
        self.index += 1;
        self.state.apply(LogIndex(self.index), &Command { at: WallTime(now), body })
    }

    fn grant(&mut self, now: u64, finding: CrashFinding) -> bool {
        let broker = BrokerName::new("b");
        let body = CommandBody::GrantTrial { broker, ticket: 7, finding };
        self.apply(now, body) == CommandOutcome::Trial { granted: true }
    }

    fn finding(&self) -> Option<CrashFinding> {
        self.state.refused_requests().finding(self.state.now(), CRASHING)
    }

    fn release(&mut self, now: u64, sequence: u64) -> ChangeOutcome {
        let id = CommandId { session: SessionName::new("operator"), sequence };
        let change = Change::ReleaseRequest(CRASHING);
        let request = ChangeRequest { id, based_on: None, change };
        match self.apply(now, CommandBody::Change(request)) {
            CommandOutcome::Change(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn two_trials_are_granted_and_no_third() {
    let mut log = Log::default();
    log.apply(0, CommandBody::ReportCrashes(vec![refusal(30_000)]));
    assert!(!log.grant(29_999, refusal(0)));
    assert!(log.grant(30_000, refusal(0)));
    assert!(!log.grant(30_001, refusal(0)), "one at a time");
    // The first trial crashed a leaf, and its broker reports the proof again.
    log.apply(30_100, CommandBody::ReportCrashes(vec![refusal(60_000)]));
    assert!(!log.grant(90_099, refusal(0)));
    assert!(log.grant(90_100, refusal(0)));
    for hour in 1..20 {
        assert!(!log.grant(hour * HOUR_MS, refusal(0)));
    }
    assert_eq!(log.finding().map(|finding| finding.for_ms), Some(u32::MAX));
}

#[test]
fn a_trial_of_which_nothing_is_heard_counts() {
    let mut log = Log::default();
    log.apply(0, CommandBody::ReportCrashes(vec![refusal(30_000)]));
    assert!(log.grant(30_000, refusal(0)));
    assert!(log.grant(HOUR_MS, refusal(0)));
    assert!(!log.grant(2 * HOUR_MS, refusal(0)));
}

#[test]
fn an_answer_or_an_operator_releases_a_request() {
    let mut log = Log::default();
    log.apply(0, CommandBody::ReportCrashes(vec![refusal(30_000)]));
    let cleared = CrashFinding { verdict: Verdict::Cleared, ..refusal(0) };
    log.apply(31_000, CommandBody::ReportCrashes(vec![cleared]));
    assert_eq!(log.finding(), None);
    assert!(matches!(log.release(32_000, 1), ChangeOutcome::Refused(_)), "it is not refused");
    log.apply(33_000, CommandBody::ReportCrashes(vec![refusal(30_000)]));
    assert!(matches!(log.release(34_000, 2), ChangeOutcome::Accepted { .. }));
    assert_eq!(log.finding(), None);
}

#[test]
fn a_proof_that_was_lost_on_its_way_is_made_up_for_with_the_first_question() {
    let mut log = Log::default();
    assert!(log.grant(60_000, refusal(0)));
    assert_eq!(log.state.refused_requests().get(CRASHING).map(|refused| refused.trials), Some(1));
}

#[test]
fn a_request_of_which_nothing_is_heard_for_a_day_is_forgotten() {
    let mut log = Log::default();
    log.apply(0, CommandBody::ReportCrashes(vec![refusal(30_000)]));
    log.apply(24 * HOUR_MS - 1, CommandBody::ReportCrashes(Vec::new()));
    assert!(log.finding().is_some());
    log.apply(24 * HOUR_MS, CommandBody::ReportCrashes(Vec::new()));
    assert_eq!(log.finding(), None);
}

#[test]
fn what_was_heard_of_longest_ago_makes_room() {
    let mut log = Log::default();
    for number in 0..600 {
        let finding = CrashFinding { digest: RequestDigest(number), ..refusal(30_000) };
        log.apply(number, CommandBody::ReportCrashes(vec![finding]));
    }
    assert_eq!(log.state.refused_requests().all().count(), 512);
    assert!(log.state.refused_requests().get(RequestDigest(599)).is_some());
}

/// Brokers that receive the same request, and the findings in transit to them.
struct Fleet {
    brokers: Vec<CrashSuspects>,
    log: Log,
    /// Finding in the log by the time at which it reaches all brokers.
    news: BTreeMap<u64, Option<CrashFinding>>,
    /// Times at which the request crashed a leaf.
    ends: Vec<u64>,
}

impl Fleet {
    fn new(brokers: usize) -> Self {
        let brokers = (0..brokers).map(|_| CrashSuspects::default()).collect();
        Self { brokers, log: Log::default(), news: BTreeMap::new(), ends: Vec::new() }
    }

    fn tell_all(&mut self, now: u64) {
        self.news.insert(now + NEWS_MS, self.log.finding());
    }

    fn hear(&mut self, now: u64) {
        let later = self.news.split_off(&(now + 1));
        for finding in std::mem::replace(&mut self.news, later).into_values().flatten() {
            for broker in &mut self.brokers {
                broker.recorded(at(now), std::slice::from_ref(&finding), false);
            }
        }
    }

    /// Restarts all brokers; they receive the finding in the log before they serve.
    fn restart_all(&mut self, now: u64) {
        let all: Vec<CrashFinding> = self.log.finding().into_iter().collect();
        for broker in &mut self.brokers {
            *broker = CrashSuspects::default();
            broker.recorded(at(now), &all, true);
        }
    }

    /// Sends the request to a broker.
    fn request(&mut self, now: u64, broker: usize) {
        self.hear(now);
        match self.brokers[broker].send_policy(at(now), ROUTE, CRASHING) {
            SendPolicy::Refused { .. } => {}
            SendPolicy::TrialDue => {
                let held = self.brokers[broker].refusal(at(now), CRASHING).expect("a refusal");
                if self.log.grant(now, held) {
                    self.end_leaf(now, broker, true);
                }
                self.tell_all(now);
            }
            SendPolicy::Suspected => self.end_leaf(now, broker, true),
            // Two canaries, and then one leaf alone.
            SendPolicy::Unrestricted | SendPolicy::Canary => {
                self.end_leaf(now, broker, false);
                self.end_leaf(now, broker, false);
                self.end_leaf(now + 1, broker, true);
            }
        }
    }

    fn end_leaf(&mut self, now: u64, broker: usize, alone: bool) {
        let leaf = LeafIdentity::new(format!("leaf-{}", self.ends.len()));
        let end = LeafEnd { digest: CRASHING, route: ROUTE, leaf: &leaf, sent: at(now), alone };
        self.ends.push(now);
        if let Some(found) = self.brokers[broker].leaf_ended(at(now), end)
            && found.verdict == Verdict::Refused
        {
            self.log.apply(now, CommandBody::ReportCrashes(vec![found]));
            self.tell_all(now);
        }
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

/// The request arrives four times a second for ten hours, at each broker in turn; in some cases all
/// brokers restart periodically.
#[rstest]
#[case::a_small_fleet(9, None)]
#[case::restarts(9, Some(20 * 60 * SECOND_MS))]
#[case::a_large_fleet(1_600, Some(3 * 3_600 * SECOND_MS))]
#[case::twice_as_large(3_200, None)]
fn a_crashing_request_does_not_reach_leaves_again_and_again(
    #[case] brokers: usize,
    #[case] restart_every: Option<u64>,
) {
    let mut fleet = Fleet::new(brokers);
    for (number, now) in (1_000..10 * HOUR_MS).step_by(250).enumerate() {
        if restart_every.is_some_and(|every| now % every < 250) {
            fleet.restart_all(now);
        }
        fleet.request(now, number % brokers);
    }
    let third = fleet.ends[2];
    let after = fleet.ends.iter().filter(|end| **end > third + 1).count();
    assert!(after > 0, "trials are made: {:?}", fleet.ends);
    assert!(after <= MOST_AFTER_THREE, "{after} more, at {:?}", fleet.ends);
}
