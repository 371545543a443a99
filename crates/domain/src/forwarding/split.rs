//! Weighted choice of a service from a split.
//!
//! Each broker walks around a circle on which every part has an arc proportional to its weight,
//! from a random start and in steps of the golden ratio. Every draw falls on each part with the
//! probability of its weight, and the draws of one broker are spread evenly: the shares are right
//! for many brokers with one request each as well as for one broker with many. Taking the part with
//! the largest deficit would give a part of a tenth none of the first two requests of each broker.

use crate::routes::WeightedService;

/// Golden ratio of the circle, whose circumference is 2^64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Position of a broker on the circle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SplitSequence {
    position: u64,
}

impl SplitSequence {
    /// A sequence that begins at `start`.
    pub fn starting_at(start: u64) -> Self {
        Self { position: start }
    }

    /// The next part of the sequence, `None` if no part has a weight.
    pub fn next<'parts>(
        &mut self,
        parts: &'parts [WeightedService],
    ) -> Option<&'parts WeightedService> {
        let total: u128 = parts.iter().map(|part| u128::from(part.weight)).sum();
        let place = (u128::from(self.position) * total) >> u64::BITS;
        self.position = self.position.wrapping_add(STEP);
        let mut end = 0;
        parts.iter().find(|part| {
            end += u128::from(part.weight);
            place < end
        })
    }
}
