//! A token bucket that earns with each primary send.

/// Extra sends in proportion to primary sends.
#[derive(Debug, Clone, Copy)]
pub struct SendBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl SendBudget {
    /// A bucket of `start` tokens, and `burst` at most, that earns `share` of a token per primary send.
    pub fn new(share: f64, burst: f64, start: f64) -> Self {
        Self { share, burst, tokens: start }
    }

    /// A primary request was sent.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one token; false when there is none.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Puts a token back that was not used.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
