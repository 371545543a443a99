//! Token bucket in whole millionths of a price unit, which avoids rounding losses.

use std::time::Duration;

use crate::catalog::CallerAccount;
use crate::time::Timestamp;

/// Millionths per price unit. One unit per second is one millionth per microsecond.
const MILLIONTHS: u128 = 1_000_000;
/// Longest retry delay given to a caller whose budget is spent.
const MAXIMUM_WAIT: Duration = Duration::from_secs(60);

/// Remaining budget of one caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenBucket {
    rate: u128,
    capacity: u128,
    level: u128,
    refilled: Timestamp,
}

impl TokenBucket {
    pub(super) fn full(now: Timestamp, account: &CallerAccount) -> Self {
        let capacity = u128::from(account.burst) * MILLIONTHS;
        let rate = u128::from(account.budget_per_second);
        Self { rate, capacity, level: capacity, refilled: now }
    }

    pub(super) fn reconfigure(&mut self, now: Timestamp, account: &CallerAccount) {
        self.refill(now);
        self.rate = u128::from(account.budget_per_second);
        self.capacity = u128::from(account.burst) * MILLIONTHS;
        self.level = self.level.min(self.capacity);
    }

    /// Takes `price`, or gives the time after which the bucket will hold that much.
    pub(super) fn take(&mut self, now: Timestamp, price: u64) -> Result<(), Duration> {
        self.refill(now);
        let wanted = u128::from(price) * MILLIONTHS;
        if wanted > self.level {
            return Err(self.time_until(wanted));
        }
        self.level -= wanted;
        Ok(())
    }

    pub(super) fn refund(&mut self, now: Timestamp, price: u64) {
        self.refill(now);
        self.level = (self.level + u128::from(price) * MILLIONTHS).min(self.capacity);
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.refilled).as_micros() * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.refilled = now;
    }

    fn time_until(&self, wanted: u128) -> Duration {
        if wanted > self.capacity || self.rate == 0 {
            return MAXIMUM_WAIT;
        }
        let micros = (wanted - self.level).div_ceil(self.rate);
        let wait = u64::try_from(micros).map_or(MAXIMUM_WAIT, Duration::from_micros);
        wait.min(MAXIMUM_WAIT)
    }
}
