//! Choice of a service out of a weighted split.
//!
//! Each broker walks round a circle on which every part has an arc as long as its weight, from a
//! random start and by the golden ratio of the circle at a time. So each turn of a broker falls to each
//! part with the probability of its weight, and the turns of one broker are spread as evenly as can be:
//! shares are right for many brokers with a request each as well as for one with many. Taking the part
//! that has earned most gave a part of a tenth nothing of the first two requests of each broker.

use crate::routes::WeightedService;

/// The golden ratio of the circle, whose whole is 2 to the 64th.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Where a broker stands on the circle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SplitSequence {
    position: u64,
}

impl SplitSequence {
    /// Turns that begin at another place for each `start`.
    pub fn starting_at(start: u64) -> Self {
        Self { position: start }
    }

    /// The part whose turn it is; none when no part has a weight.
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
