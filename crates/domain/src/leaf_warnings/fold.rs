//! The reports of many brokers, folded into warnings.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{LeafObservation, LeafWarning};
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
/// Time from the end of a warning in which one slow request is enough for the next: the leaf has most
/// likely not recovered.
const RELAPSE: Duration = Duration::from_secs(2);
/// Slow requests that are kept of one leaf.
const KEPT_REQUESTS: usize = 64;

/// A slow request that a broker reported.
#[derive(Debug, Clone)]
struct SlowRequest {
    began: Timestamp,
    broker: BrokerName,
}

/// What is known of one leaf.
#[derive(Debug, Default)]
struct Reported {
    slow: VecDeque<SlowRequest>,
    /// Sound answers that each broker reported last, and when.
    sound: BTreeMap<BrokerName, (Timestamp, u32)>,
    /// When the newest warning ends, and how long it lasts.
    warning: Option<(Timestamp, Duration)>,
}

/// The reports of all brokers that a control process feeds.
#[derive(Debug, Default)]
pub struct WarningFold {
    leaves: BTreeMap<LeafIdentity, Reported>,
}

impl WarningFold {
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
            if let Some(life) = leaf.warn(now) {
                warnings.push(warning(&observation.leaf, life));
            }
        }
        warnings
    }

    /// The warnings that last, for a broker that has just come.
    pub fn current(&self, now: Timestamp) -> Vec<LeafWarning> {
        let lasting = self.leaves.iter().filter_map(|(leaf, reported)| {
            let (ends, _) = reported.warning.filter(|(ends, _)| *ends > now)?;
            Some(warning(leaf, ends.since(now)))
        });
        lasting.collect()
    }

    fn forget(&mut self, now: Timestamp) {
        self.leaves.retain(|_, reported| {
            reported.forget(now);
            !reported.slow.is_empty() || reported.warning.is_some()
        });
    }
}

impl Reported {
    fn take(&mut self, now: Timestamp, broker: &BrokerName, observation: &LeafObservation) {
        for ago in &observation.slow_ms_ago {
            let began = before(now, Duration::from_millis((*ago).into()));
            self.slow.push_back(SlowRequest { began, broker: broker.clone() });
        }
        while self.slow.len() > KEPT_REQUESTS {
            self.slow.pop_front();
        }
        self.sound.insert(broker.clone(), (now, observation.sound));
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        self.slow.retain(|request| now.since(request.began) < REPORT_LIFE);
        self.sound.retain(|_, (at, _)| now.since(*at) < REPORT_LIFE);
        // A warning is remembered until nothing follows from it any more.
        self.warning = self.warning.filter(|(ends, _)| now < ends.after(RELAPSE));
    }

    /// How long to warn of the leaf now; none when there is no cause, or a warning lasts.
    fn warn(&mut self, now: Timestamp) -> Option<Duration> {
        let life = match self.warning {
            Some((ends, _)) if now < ends => return None,
            // Requests that began before its end were on their way when it came.
            Some((ends, former)) if self.slow.iter().any(|request| request.began >= ends) => {
                (former * 2).min(LONGEST_LIFE)
            }
            _ if self.is_slow() => FIRST_LIFE,
            _ => return None,
        };
        self.slow.clear();
        self.warning = Some((now.after(life), life));
        Some(life)
    }

    /// Whether enough brokers found the leaf slow, for long enough, and not more of them sound.
    fn is_slow(&self) -> bool {
        let brokers: BTreeSet<&BrokerName> =
            self.slow.iter().map(|request| &request.broker).collect();
        let first = self.slow.iter().map(|request| request.began).min();
        let last = self.slow.iter().map(|request| request.began).max();
        let spread = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        let sound: u32 = self.sound.values().map(|(_, count)| count).sum();
        brokers.len() >= REPORTERS
            && self.slow.len() >= SLOW_REQUESTS
            && spread >= LEAST_SPREAD
            && self.slow.len() >= sound as usize
    }
}

fn warning(leaf: &LeafIdentity, life: Duration) -> LeafWarning {
    LeafWarning { leaf: leaf.clone(), for_ms: life.as_millis() as u32 }
}

fn before(now: Timestamp, span: Duration) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(span.as_micros() as u64))
}
