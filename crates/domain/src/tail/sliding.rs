//! A budget that holds in every window of primary sends.

use std::collections::VecDeque;

/// Tolerance for the rounding of a share times a count.
const ROUNDING: f64 = 1e-9;

/// Extra sends as a share of primary sends, in every window of so many primary sends and from the
/// first send on. Within a window they may come all at once.
#[derive(Debug, Clone)]
pub struct SlidingBudget {
    share: f64,
    window: usize,
    /// Extra sends that followed each of the last primary sends, oldest first.
    taken: VecDeque<u32>,
    total: u32,
}

impl SlidingBudget {
    /// A budget of `share`, from 0 to 1, over windows of `window` primary sends; nothing is saved
    /// up at the start.
    pub fn new(share: f64, window: usize) -> Self {
        Self { share, window, taken: VecDeque::with_capacity(window), total: 0 }
    }

    /// A primary request was sent.
    pub fn earn(&mut self) {
        if self.taken.len() == self.window {
            self.total -= self.taken.pop_front().unwrap_or(0);
        }
        self.taken.push_back(0);
    }

    /// Takes one extra send; false when the window has no room for it.
    pub fn take(&mut self) -> bool {
        let allowed = (self.share * self.taken.len() as f64 + ROUNDING) as u32;
        match self.taken.back_mut() {
            Some(newest) if self.total < allowed => {
                *newest += 1;
                self.total += 1;
                true
            }
            _ => false,
        }
    }

    /// Gives back what was taken last and not used.
    pub fn give_back(&mut self) {
        if let Some(last) = self.taken.iter_mut().rev().find(|count| **count > 0) {
            *last -= 1;
            self.total -= 1;
        }
    }
}
