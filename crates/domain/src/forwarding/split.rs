//! Choice of a service out of a weighted split.

use crate::routes::WeightedService;

/// Takes the parts of a split in turns, in proportion to their weights: after any number of turns
/// each part is off its share by less than one turn for each other part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SplitTurns {
    /// What each part has earned by its weight and not spent by its turns.
    credits: Vec<i128>,
}

impl SplitTurns {
    /// Turns that begin at another place for each `start`, so that brokers with few requests do
    /// not all begin with the same part.
    pub fn starting_at(parts: &[WeightedService], start: u64) -> Self {
        let total = total(parts);
        let offset = i128::from(start % total.max(1));
        let count = parts.len() as i128;
        let credit = |number: usize| (offset * (number as i128 + 1)) % i128::from(total.max(1));
        let credits: Vec<i128> = (0..parts.len()).map(credit).collect();
        let mean = credits.iter().sum::<i128>() / count.max(1);
        Self { credits: credits.into_iter().map(|credit| credit - mean).collect() }
    }

    /// The part whose turn it is; none when no part has a weight.
    pub fn next<'parts>(
        &mut self,
        parts: &'parts [WeightedService],
    ) -> Option<&'parts WeightedService> {
        let total = total(parts);
        if total == 0 {
            return None;
        }
        self.credits.resize(parts.len(), 0);
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i128::from(part.weight);
        }
        let weighted = (0..parts.len()).filter(|number| parts[*number].weight > 0);
        let chosen = weighted.max_by_key(|number| self.credits[*number])?;
        self.credits[chosen] -= i128::from(total);
        parts.get(chosen)
    }
}

fn total(parts: &[WeightedService]) -> u64 {
    parts.iter().map(|part| part.weight).sum()
}
