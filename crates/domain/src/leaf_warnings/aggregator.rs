//! The reports of many brokers, folded into warnings.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{LeafObservation, LeafWarning, WarningCause};
use crate::identifiers::{BrokerName, LeafIdentity};
use crate::time::Timestamp;

/// Time for which a report counts.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Brokers that have to find a leaf slow: one may sit behind a bad link, or be slow itself.
const REPORTERS: usize = 2;
/// Slow requests that it takes.
const SLOW_REQUESTS: usize = 3;
/// Time over which the slow requests have to be spread. Leaves stop for some tenths of a second in
/// their ordinary work (garbage collection, compaction); by the time that others heard of such a stop it
/// would be over. With 400 ms a quarter of the stops of 300 ms led to a warning, for the requests that
/// had piled up.
const LEAST_SPREAD: Duration = Duration::from_millis(600);
/// How long the first warning of a leaf lasts. Nobody near it asks it meanwhile, so that its end is the
/// first chance to see that it has recovered.
const FIRST_LIFE: Duration = Duration::from_secs(1);
/// How long a warning lasts at most; each one that follows another lasts twice as long as that.
const LONGEST_LIFE: Duration = Duration::from_secs(4);
/// The same of a leaf that refuses requests: several times what hundreds of brokers that share many leaves take to find
/// out which of them refuse (docs/CAPACITY.md), or they would be asked again as fast as they are found.
const FIRST_REFUSING_LIFE: Duration = Duration::from_secs(8);
const LONGEST_REFUSING_LIFE: Duration = Duration::from_secs(16);
/// Time from the end of a warning in which one slow request is enough for the next: the leaf has most
/// likely not recovered.
const RELAPSE: Duration = Duration::from_secs(2);
/// Failed requests that it takes: one may be a connection that ended just then, two a leaf that was restarted.
const FAILED_REQUESTS: usize = 3;
/// Sound answers for each failed request up to which a leaf is warned of. A request to dozens of shards can do
/// without one or two: where a leaf loses one answer in ten, asking another one first is worth its way.
const SOUND_PER_FAILED: usize = 9;
/// Sound answers for each refused request up to which a leaf is warned of. A refusal is the leaf's own word, so that one
/// is enough where nobody knows of answers; a leaf that has many requests may be full for a moment.
const SOUND_PER_REFUSED: usize = 4;
/// Slow requests, failed ones, and refused ones, that are kept of one leaf.
const KEPT_REQUESTS: usize = 64;

/// A slow or failed request that a broker reported.
#[derive(Debug, Clone)]
struct ReportedRequest {
    began: Timestamp,
    broker: BrokerName,
}

/// A warning that was given.
#[derive(Debug, Clone, Copy)]
struct GivenWarning {
    cause: WarningCause,
    ends: Timestamp,
    life: Duration,
}

/// What is known of one leaf.
#[derive(Debug, Default)]
struct Reported {
    slow: VecDeque<ReportedRequest>,
    failed: VecDeque<ReportedRequest>,
    refused: VecDeque<ReportedRequest>,
    /// Sound answers that each broker reported last, and when.
    sound: BTreeMap<BrokerName, (Timestamp, u32)>,
    /// The newest warning.
    warning: Option<GivenWarning>,
}

/// The reports of all brokers that a control process feeds.
#[derive(Debug, Default)]
pub struct WarningAggregator {
    leaves: BTreeMap<LeafIdentity, Reported>,
}

impl WarningAggregator {
    /// A broker reports; gives the warnings that follow from it.
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
            if let Some(given) = leaf.warn(now) {
                warnings.push(warning(now, &observation.leaf, given));
            }
        }
        warnings
    }

    /// Another control process gave these warnings.
    pub fn adopt(&mut self, now: Timestamp, warnings: &[LeafWarning]) {
        for warning in warnings {
            let told = Duration::from_millis(warning.for_ms.into());
            let life = told.min(longest_life(warning.cause));
            let told = GivenWarning { cause: warning.cause, ends: now.after(life), life };
            let leaf = self.leaves.entry(warning.leaf.clone()).or_default();
            if leaf.warning.is_none_or(|given| given.ends < told.ends) {
                leaf.warning = Some(told);
            }
        }
    }

    /// The warnings that last, for a broker that has just come.
    pub fn current(&self, now: Timestamp) -> Vec<LeafWarning> {
        let lasting = self.leaves.iter().filter_map(|(leaf, reported)| {
            let given = reported.warning.filter(|given| given.ends > now)?;
            Some(warning(now, leaf, given))
        });
        lasting.collect()
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
        self.slow.retain(|request| now.since(request.began) < REPORT_LIFE);
        self.failed.retain(|request| now.since(request.began) < REPORT_LIFE);
        self.refused.retain(|request| now.since(request.began) < REPORT_LIFE);
        self.sound.retain(|_, (at, _)| now.since(*at) < REPORT_LIFE);
        // A warning is remembered until nothing follows from it any more.
        self.warning = self.warning.filter(|given| now < given.ends.after(RELAPSE));
    }

    /// What to warn of now; none when there is no cause, or a warning lasts.
    fn warn(&mut self, now: Timestamp) -> Option<GivenWarning> {
        let (cause, life) = match self.warning {
            Some(given) if now < given.ends => return None,
            Some(given) if self.relapsed(given) => {
                (given.cause, (given.life * 2).min(longest_life(given.cause)))
            }
            _ if self.is_failing() => (WarningCause::Failing, FIRST_LIFE),
            _ if self.is_refusing() => (WarningCause::Refusing, FIRST_REFUSING_LIFE),
            _ if self.is_slow() => (WarningCause::Slow, FIRST_LIFE),
            _ => return None,
        };
        self.slow.clear();
        self.failed.clear();
        self.refused.clear();
        self.warning = Some(GivenWarning { cause, ends: now.after(life), life });
        self.warning
    }

    /// Whether the leaf goes on as it was warned of. Requests that began before the end of the warning were on
    /// their way when it came.
    fn relapsed(&self, given: GivenWarning) -> bool {
        let requests = match given.cause {
            WarningCause::Slow => &self.slow,
            WarningCause::Failing => &self.failed,
            WarningCause::Refusing => &self.refused,
        };
        requests.iter().any(|request| request.began >= given.ends)
    }

    fn has_reports(&self) -> bool {
        !self.slow.is_empty() || !self.failed.is_empty() || !self.refused.is_empty()
    }

    /// Whether the leaf refused requests, and took not many more.
    fn is_refusing(&self) -> bool {
        !self.refused.is_empty() && self.sound() <= self.refused.len() * SOUND_PER_REFUSED
    }

    /// Whether enough brokers had enough requests fail, beside the sound answers that they got.
    fn is_failing(&self) -> bool {
        self.failed.len() >= FAILED_REQUESTS
            && reporters(&self.failed) >= REPORTERS
            && self.sound() <= self.failed.len() * SOUND_PER_FAILED
    }

    /// Whether enough brokers found the leaf slow, for long enough, and not more of them sound.
    fn is_slow(&self) -> bool {
        let first = self.slow.iter().map(|request| request.began).min();
        let last = self.slow.iter().map(|request| request.began).max();
        let spread = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        reporters(&self.slow) >= REPORTERS
            && self.slow.len() >= SLOW_REQUESTS
            && spread >= LEAST_SPREAD
            && self.slow.len() >= self.sound()
    }

    /// Sound answers that its reporters had lately.
    fn sound(&self) -> usize {
        self.sound.values().map(|(_, count)| *count as usize).sum()
    }
}

fn longest_life(cause: WarningCause) -> Duration {
    match cause {
        WarningCause::Slow | WarningCause::Failing => LONGEST_LIFE,
        WarningCause::Refusing => LONGEST_REFUSING_LIFE,
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
    while kept.len() > KEPT_REQUESTS {
        kept.pop_front();
    }
}

fn reporters(requests: &VecDeque<ReportedRequest>) -> usize {
    let brokers: BTreeSet<&BrokerName> = requests.iter().map(|request| &request.broker).collect();
    brokers.len()
}

fn warning(now: Timestamp, leaf: &LeafIdentity, given: GivenWarning) -> LeafWarning {
    let for_ms = given.ends.since(now).as_millis() as u32;
    LeafWarning { leaf: leaf.clone(), cause: given.cause, for_ms }
}
