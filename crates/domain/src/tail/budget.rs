//! Token bucket that is refilled by primary sends.

/// Token bucket that limits extra sends to a share of the primary sends plus a burst.
#[derive(Debug, Clone, Copy)]
pub struct SendBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl SendBudget {
    /// A bucket with `start` tokens and a capacity of `burst`, which gains `share` of a token with
    /// each primary send.
    pub fn new(share: f64, burst: f64, start: f64) -> Self {
        Self { share, burst, tokens: start }
    }

    /// Adds `share` of a token for one primary send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one token; false when less than one is left.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns a token that was taken but not used.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
