//! Collects the observations of one broker between two reports.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LeafObservation, ObservedOutcome};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Span over which sound answers are counted; a report covers the current and the previous span.
const SOUND_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of leaves in one report. A request to a hundred shards of which a fifth are slow
/// fills a third.
const MAX_REPORT_LEAVES: usize = 64;
/// Maximum number of slow, failed and refused requests, each, reported of one leaf; more would not
/// change the aggregation.
const MAX_REPORTED_REQUESTS: usize = 8;

/// Observations of one leaf.
#[derive(Debug, Default)]
struct Observed {
    /// Start times of the requests in which the leaf was slow, since the last report.
    slow: Vec<Timestamp>,
    /// Start times of the requests that failed, since the last report.
    failed: Vec<Timestamp>,
    /// Start times of the requests that it refused, since the last report.
    refused: Vec<Timestamp>,
    /// Sound answers of the current and of the previous span.
    sound: [u32; 2],
}

impl Observed {
    fn has_reportable(&self) -> bool {
        !self.slow.is_empty() || !self.failed.is_empty() || !self.refused.is_empty()
    }
}

/// Turns the observations of a broker into reports.
#[derive(Debug, Default)]
pub struct ObservationLog {
    leaves: BTreeMap<LeafIdentity, Observed>,
    rotated: Timestamp,
}

impl ObservationLog {
    /// Records the outcome at a leaf of a request that began at `began`.
    pub fn observe(
        &mut self,
        now: Timestamp,
        leaf: &LeafIdentity,
        began: Timestamp,
        outcome: ObservedOutcome,
    ) {
        self.rotate(now);
        if !self.leaves.contains_key(leaf) {
            self.leaves.insert(leaf.clone(), Observed::default());
        }
        let Some(observed) = self.leaves.get_mut(leaf) else {
            return;
        };
        let reported = match outcome {
            ObservedOutcome::Sound => {
                observed.sound[0] += 1;
                return;
            }
            ObservedOutcome::Slow => &mut observed.slow,
            ObservedOutcome::Failed => &mut observed.failed,
            ObservedOutcome::Refused => &mut observed.refused,
        };
        if reported.len() < MAX_REPORTED_REQUESTS {
            reported.push(began);
        }
    }

    /// Returns the next report: the leaves that were slow, failed or refused since the last one.
    pub fn take(&mut self, now: Timestamp) -> Vec<LeafObservation> {
        self.rotate(now);
        let reportable = self.leaves.iter_mut().filter(|(_, observed)| observed.has_reportable());
        let ago = |began: Timestamp| now.since(began).as_millis() as u32;
        let report = reportable.take(MAX_REPORT_LEAVES).map(|(leaf, observed)| {
            let slow = std::mem::take(&mut observed.slow);
            let failed = std::mem::take(&mut observed.failed);
            let refused = std::mem::take(&mut observed.refused);
            LeafObservation {
                leaf: leaf.clone(),
                slow_ms_ago: slow.into_iter().map(ago).collect(),
                failed_ms_ago: failed.into_iter().map(ago).collect(),
                refused_ms_ago: refused.into_iter().map(ago).collect(),
                sound: observed.sound.iter().sum(),
            }
        });
        report.collect()
    }

    /// Drops counts older than two spans, and leaves without observations.
    fn rotate(&mut self, now: Timestamp) {
        let spans = now.since(self.rotated).as_micros() / SOUND_SPAN.as_micros();
        if spans == 0 {
            return;
        }
        self.rotated = now;
        for observed in self.leaves.values_mut() {
            let [current, _] = observed.sound;
            observed.sound = if spans == 1 { [0, current] } else { [0, 0] };
        }
        self.leaves.retain(|_, observed| observed.has_reportable() || observed.sound != [0, 0]);
    }
}
