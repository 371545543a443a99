//! What one broker has seen of leaves since it last reported.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LeafObservation;
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Time for which sound answers speak for a leaf: they count in the present and the former such span.
const SOUND_SPAN: Duration = Duration::from_secs(1);
/// Most leaves of one report. A request to a hundred shards of which a fifth are slow fills a third.
const REPORT_LEAVES: usize = 64;
/// Most slow requests that are told of one leaf: more do not change what is made of them.
const SLOW_REQUESTS: usize = 8;

/// What was seen of one leaf.
#[derive(Debug, Default)]
struct Seen {
    /// When the requests began in which it was slow, since the last report.
    slow: Vec<Timestamp>,
    /// Sound answers of the present span and of the former one.
    sound: [u32; 2],
}

/// Turns what a broker sees into reports.
#[derive(Debug, Default)]
pub struct ObservationLog {
    leaves: BTreeMap<LeafIdentity, Seen>,
    rotated: Timestamp,
}

impl ObservationLog {
    /// A leaf was slow, or not, in a request that began then.
    pub fn observe(&mut self, now: Timestamp, leaf: &LeafIdentity, began: Timestamp, slow: bool) {
        self.rotate(now);
        if !self.leaves.contains_key(leaf) {
            self.leaves.insert(leaf.clone(), Seen::default());
        }
        let Some(seen) = self.leaves.get_mut(leaf) else {
            return;
        };
        match slow {
            true if seen.slow.len() < SLOW_REQUESTS => seen.slow.push(began),
            true => {}
            false => seen.sound[0] += 1,
        }
    }

    /// What there is to report: the leaves that were slow since the last report.
    pub fn take(&mut self, now: Timestamp) -> Vec<LeafObservation> {
        self.rotate(now);
        let slow = self.leaves.iter_mut().filter(|(_, seen)| !seen.slow.is_empty());
        let report = slow.take(REPORT_LEAVES).map(|(leaf, seen)| {
            let began = std::mem::take(&mut seen.slow);
            let ago = |began: Timestamp| now.since(began).as_millis() as u32;
            LeafObservation {
                leaf: leaf.clone(),
                slow_ms_ago: began.into_iter().map(ago).collect(),
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
        self.leaves.retain(|_, seen| !seen.slow.is_empty() || seen.sound != [0, 0]);
    }
}
