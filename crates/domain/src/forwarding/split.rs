//! Choice of a service out of a weighted split.

use crate::routes::WeightedService;

/// The part in whose share `draw` falls; `draw` is uniform over all numbers.
pub fn choose_part(parts: &[WeightedService], draw: u64) -> Option<&WeightedService> {
    let total: u64 = parts.iter().map(|part| part.weight).sum();
    if total == 0 {
        return None;
    }
    let mut left = draw % total;
    parts.iter().find(|part| {
        let falls_here = left < part.weight;
        left = left.saturating_sub(part.weight);
        falls_here
    })
}
