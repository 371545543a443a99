//! Aggregates the reports of many brokers into warnings.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{LeafObservation, LeafWarning, WarningCause};
use crate::identifiers::{BrokerName, LeafIdentity};
use crate::time::Timestamp;

/// Time for which a report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Minimum number of reporting brokers: a single one may have a bad link or be slow itself.
const MIN_REPORTERS: usize = 2;
/// Minimum number of slow requests.
const MIN_SLOW_REQUESTS: usize = 3;
/// Minimum time over which the slow requests are spread. Leaves pause for some tenths of a second
/// in normal operation (garbage collection, compaction), and such a pause would be over before
/// other brokers heard of it. With 400 ms a quarter of the pauses of 300 ms led to a warning,
/// because of the requests queued up in them.
const MIN_SPREAD: Duration = Duration::from_millis(600);
/// Duration of the first warning of a leaf. No broker near it asks it meanwhile, so recovery can
/// first be seen when the warning ends.
const INITIAL_DURATION: Duration = Duration::from_secs(1);
/// Maximum duration of a warning; each one that follows another lasts twice as long.
const MAX_DURATION: Duration = Duration::from_secs(4);
/// Duration of the first warning of a refusing leaf: several times what hundreds of brokers that
/// share many leaves take to find out which of them refuse (docs/CAPACITY.md); otherwise these
/// would be asked again as fast as they are found.
const INITIAL_REFUSING_DURATION: Duration = Duration::from_secs(8);
/// Maximum duration of a warning of a refusing leaf.
const MAX_REFUSING_DURATION: Duration = Duration::from_secs(16);
/// Time after a warning in which one more bad request is enough for the next: the leaf has most
/// likely not recovered.
const RELAPSE_WINDOW: Duration = Duration::from_secs(2);
/// Minimum number of failed requests: one may be a connection that was just closed, two a leaf that
/// was restarted.
const MIN_FAILED_REQUESTS: usize = 3;
/// Maximum ratio of sound answers to failed requests for a warning. A request to dozens of shards
/// can do without one or two parts, but where a leaf loses one answer in ten, asking another one
/// first is worth the distance.
const MAX_SOUND_PER_FAILED: usize = 9;
/// Maximum ratio of sound answers to refused requests for a warning. A refusal is reported by the
/// leaf itself, so that one is enough where no answers are known; a leaf with many requests may be
/// full for a moment.
const MAX_SOUND_PER_REFUSED: usize = 4;
/// Maximum number of slow, failed and refused requests, each, kept of one leaf.
const MAX_KEPT_REQUESTS: usize = 64;

/// A slow, failed or refused request that a broker reported.
#[derive(Debug, Clone)]
struct ReportedRequest {
    began: Timestamp,
    broker: BrokerName,
}

/// A warning that was issued.
#[derive(Debug, Clone, Copy)]
struct IssuedWarning {
    cause: WarningCause,
    ends: Timestamp,
    duration: Duration,
}

/// Reported state of one leaf.
#[derive(Debug, Default)]
struct Reported {
    slow: VecDeque<ReportedRequest>,
    failed: VecDeque<ReportedRequest>,
    refused: VecDeque<ReportedRequest>,
    /// Sound answers in the latest report of each broker, and its time.
    sound: BTreeMap<BrokerName, (Timestamp, u32)>,
    /// Latest warning.
    warning: Option<IssuedWarning>,
}

/// Aggregated reports of all brokers connected to a control process.
#[derive(Debug, Default)]
pub struct WarningAggregator {
    leaves: BTreeMap<LeafIdentity, Reported>,
}

impl WarningAggregator {
    /// Adds a report of a broker; returns the warnings that follow from it.
    pub fn report(
        &mut self,
        now: Timestamp,
        broker: &BrokerName,
        observations: &[LeafObservation],
    ) -> Vec<LeafWarning> {
        self.forget(now);
        let mut warnings = Vec::new();
        for observation in observations {
            let leaf = self.leaves.entry(observation.leaf.clone()).or_default();
            leaf.take(now, broker, observation);
            if let Some(issued) = leaf.warn(now) {
                warnings.push(warning(now, &observation.leaf, issued));
            }
        }
        warnings
    }

    /// Applies warnings issued by another control process.
    pub fn adopt(&mut self, now: Timestamp, warnings: &[LeafWarning]) {
        for warning in warnings {
            let adopted = Duration::from_millis(warning.for_ms.into());
            let duration = adopted.min(max_duration(warning.cause));
            let adopted =
                IssuedWarning { cause: warning.cause, ends: now.after(duration), duration };
            let leaf = self.leaves.entry(warning.leaf.clone()).or_default();
            if leaf.warning.is_none_or(|issued| issued.ends < adopted.ends) {
                leaf.warning = Some(adopted);
            }
        }
    }

    /// The current warnings, for a broker that has just connected.
    pub fn current(&self, now: Timestamp) -> Vec<LeafWarning> {
        let current = self.leaves.iter().filter_map(|(leaf, reported)| {
            let issued = reported.warning.filter(|issued| issued.ends > now)?;
            Some(warning(now, leaf, issued))
        });
        current.collect()
    }

    fn forget(&mut self, now: Timestamp) {
        self.leaves.retain(|_, reported| {
            reported.forget(now);
            reported.has_reports() || reported.warning.is_some()
        });
    }
}

impl Reported {
    fn take(&mut self, now: Timestamp, broker: &BrokerName, observation: &LeafObservation) {
        keep(&mut self.slow, now, broker, &observation.slow_ms_ago);
        keep(&mut self.failed, now, broker, &observation.failed_ms_ago);
        keep(&mut self.refused, now, broker, &observation.refused_ms_ago);
        self.sound.insert(broker.clone(), (now, observation.sound));
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        self.slow.retain(|request| now.since(request.began) < REPORT_LIFETIME);
        self.failed.retain(|request| now.since(request.began) < REPORT_LIFETIME);
        self.refused.retain(|request| now.since(request.began) < REPORT_LIFETIME);
        self.sound.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        // A warning is kept for as long as a relapse may follow.
        self.warning = self.warning.filter(|issued| now < issued.ends.after(RELAPSE_WINDOW));
    }

    /// Issues a warning if there is a cause and none is current.
    fn warn(&mut self, now: Timestamp) -> Option<IssuedWarning> {
        let (cause, duration) = match self.warning {
            Some(issued) if now < issued.ends => return None,
            Some(issued) if self.relapsed(issued) => {
                (issued.cause, (issued.duration * 2).min(max_duration(issued.cause)))
            }
            _ if self.is_failing() => (WarningCause::Failing, INITIAL_DURATION),
            _ if self.is_refusing() => (WarningCause::Refusing, INITIAL_REFUSING_DURATION),
            _ if self.is_slow() => (WarningCause::Slow, INITIAL_DURATION),
            _ => return None,
        };
        self.slow.clear();
        self.failed.clear();
        self.refused.clear();
        self.warning = Some(IssuedWarning { cause, ends: now.after(duration), duration });
        self.warning
    }

    /// Whether the cause of a warning persists after it. Requests that began before its end were
    /// already under way.
    fn relapsed(&self, issued: IssuedWarning) -> bool {
        let requests = match issued.cause {
            WarningCause::Slow => &self.slow,
            WarningCause::Failing => &self.failed,
            WarningCause::Refusing => &self.refused,
        };
        requests.iter().any(|request| request.began >= issued.ends)
    }

    fn has_reports(&self) -> bool {
        !self.slow.is_empty() || !self.failed.is_empty() || !self.refused.is_empty()
    }

    /// Whether the leaf refused requests, and did not accept far more.
    fn is_refusing(&self) -> bool {
        !self.refused.is_empty() && self.sound() <= self.refused.len() * MAX_SOUND_PER_REFUSED
    }

    /// Whether enough requests of enough brokers failed, relative to the sound answers.
    fn is_failing(&self) -> bool {
        self.failed.len() >= MIN_FAILED_REQUESTS
            && reporters(&self.failed) >= MIN_REPORTERS
            && self.sound() <= self.failed.len() * MAX_SOUND_PER_FAILED
    }

    /// Whether enough brokers found the leaf slow for long enough, and sound answers do not
    /// prevail.
    fn is_slow(&self) -> bool {
        let first = self.slow.iter().map(|request| request.began).min();
        let last = self.slow.iter().map(|request| request.began).max();
        let spread = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        reporters(&self.slow) >= MIN_REPORTERS
            && self.slow.len() >= MIN_SLOW_REQUESTS
            && spread >= MIN_SPREAD
            && self.slow.len() >= self.sound()
    }

    /// Sound answers recently reported by all brokers.
    fn sound(&self) -> usize {
        self.sound.values().map(|(_, count)| *count as usize).sum()
    }
}

fn max_duration(cause: WarningCause) -> Duration {
    match cause {
        WarningCause::Slow | WarningCause::Failing => MAX_DURATION,
        WarningCause::Refusing => MAX_REFUSING_DURATION,
    }
}

fn keep(
    kept: &mut VecDeque<ReportedRequest>,
    now: Timestamp,
    broker: &BrokerName,
    began_ms_ago: &[u32],
) {
    for ago in began_ms_ago {
        let began = now.before(Duration::from_millis((*ago).into()));
        kept.push_back(ReportedRequest { began, broker: broker.clone() });
    }
    while kept.len() > MAX_KEPT_REQUESTS {
        kept.pop_front();
    }
}

fn reporters(requests: &VecDeque<ReportedRequest>) -> usize {
    let brokers: BTreeSet<&BrokerName> = requests.iter().map(|request| &request.broker).collect();
    brokers.len()
}

fn warning(now: Timestamp, leaf: &LeafIdentity, issued: IssuedWarning) -> LeafWarning {
    let for_ms = issued.ends.since(now).as_millis() as u32;
    LeafWarning { leaf: leaf.clone(), cause: issued.cause, for_ms }
}
