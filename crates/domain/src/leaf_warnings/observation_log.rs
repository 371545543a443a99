//! What one broker has seen of leaves since it last reported.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LeafObservation, ObservedOutcome};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Time for which sound answers speak for a leaf: they count in the present and the former such span.
const SOUND_SPAN: Duration = Duration::from_secs(1);
/// Most leaves of one report. A request to a hundred shards of which a fifth are slow fills a third.
const REPORT_LEAVES: usize = 64;
/// Most slow requests, and most failed ones, that are told of one leaf: more do not change what is made of
/// them.
const TOLD_REQUESTS: usize = 8;

/// What was seen of one leaf.
#[derive(Debug, Default)]
struct Seen {
    /// When the requests began in which it was slow, since the last report.
    slow: Vec<Timestamp>,
    /// The same of those that it failed.
    failed: Vec<Timestamp>,
    /// The same of those that it refused.
    refused: Vec<Timestamp>,
    /// Sound answers of the present span and of the former one.
    sound: [u32; 2],
}

impl Seen {
    fn has_news(&self) -> bool {
        !self.slow.is_empty() || !self.failed.is_empty() || !self.refused.is_empty()
    }
}

/// Turns what a broker sees into reports.
#[derive(Debug, Default)]
pub struct ObservationLog {
    leaves: BTreeMap<LeafIdentity, Seen>,
    rotated: Timestamp,
}

impl ObservationLog {
    /// A leaf did so in a request that began then.
    pub fn observe(
        &mut self,
        now: Timestamp,
        leaf: &LeafIdentity,
        began: Timestamp,
        conduct: ObservedOutcome,
    ) {
        self.rotate(now);
        if !self.leaves.contains_key(leaf) {
            self.leaves.insert(leaf.clone(), Seen::default());
        }
        let Some(seen) = self.leaves.get_mut(leaf) else {
            return;
        };
        let told = match conduct {
            ObservedOutcome::Sound => {
                seen.sound[0] += 1;
                return;
            }
            ObservedOutcome::Slow => &mut seen.slow,
            ObservedOutcome::Failed => &mut seen.failed,
            ObservedOutcome::Refused => &mut seen.refused,
        };
        if told.len() < TOLD_REQUESTS {
            told.push(began);
        }
    }

    /// What there is to report: the leaves that were slow, failed or refused since the last report.
    pub fn take(&mut self, now: Timestamp) -> Vec<LeafObservation> {
        self.rotate(now);
        let noted = self.leaves.iter_mut().filter(|(_, seen)| seen.has_news());
        let ago = |began: Timestamp| now.since(began).as_millis() as u32;
        let report = noted.take(REPORT_LEAVES).map(|(leaf, seen)| {
            let slow = std::mem::take(&mut seen.slow);
            let failed = std::mem::take(&mut seen.failed);
            let refused = std::mem::take(&mut seen.refused);
            LeafObservation {
                leaf: leaf.clone(),
                slow_ms_ago: slow.into_iter().map(ago).collect(),
                failed_ms_ago: failed.into_iter().map(ago).collect(),
                refused_ms_ago: refused.into_iter().map(ago).collect(),
                sound: seen.sound.iter().sum(),
            }
        });
        report.collect()
    }

    /// Forgets what is older than two spans, and leaves of which nothing is left.
    fn rotate(&mut self, now: Timestamp) {
        let spans = now.since(self.rotated).as_micros() / SOUND_SPAN.as_micros();
        if spans == 0 {
            return;
        }
        self.rotated = now;
        for seen in self.leaves.values_mut() {
            let [present, _] = seen.sound;
            seen.sound = if spans == 1 { [0, present] } else { [0, 0] };
        }
        self.leaves.retain(|_, seen| seen.has_news() || seen.sound != [0, 0]);
    }
}
