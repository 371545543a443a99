//! Budget of extra sends over a sliding window of primary sends.

use std::collections::VecDeque;

/// Tolerance for the rounding error of share times count.
const ROUNDING: f64 = 1e-9;

/// Limits extra sends to a share of the primary sends in every window of `window` primary sends,
/// including the incomplete first one. Within a window they may be sent in one burst.
#[derive(Debug, Clone)]
pub struct SlidingBudget {
    share: f64,
    window: usize,
    /// Extra sends after each of the last `window` primary sends, oldest first.
    taken: VecDeque<u32>,
    total: u32,
}

impl SlidingBudget {
    /// A budget of `share`, from 0 to 1, over windows of `window` primary sends; it starts empty.
    pub fn new(share: f64, window: usize) -> Self {
        Self { share, window, taken: VecDeque::with_capacity(window), total: 0 }
    }

    /// Records one primary send and drops the oldest from a full window.
    pub fn earn(&mut self) {
        if self.taken.len() == self.window {
            self.total -= self.taken.pop_front().unwrap_or(0);
        }
        self.taken.push_back(0);
    }

    /// Takes one extra send; false when the window has used up its share.
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

    /// Returns the extra send that was taken last and not used.
    pub fn give_back(&mut self) {
        if let Some(last) = self.taken.iter_mut().rev().find(|count| **count > 0) {
            *last -= 1;
            self.total -= 1;
        }
    }
}
