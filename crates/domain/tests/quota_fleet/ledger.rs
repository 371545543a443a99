//! Records the requests of one tenant over all brokers and evaluates them.

use std::time::Duration;

use gingerkeel_domain::quota::QuotaSettings;
use gingerkeel_domain::routes::TenantQuota;

/// A request received by a broker.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at_ms: u64,
    /// Whether a single bucket of the whole quota would admit it.
    within: bool,
    admitted: bool,
}

/// The requests of one tenant in order of arrival.
#[derive(Debug)]
pub struct Ledger {
    quota: TenantQuota,
    level: f64,
    counted_ms: u64,
    arrivals: Vec<Arrival>,
}

impl Ledger {
    pub fn new(quota: TenantQuota) -> Self {
        Self { quota, level: quota.burst(), counted_ms: 0, arrivals: Vec::new() }
    }

    /// Changes the quota from `now_ms` on.
    pub fn change(&mut self, now_ms: u64, quota: TenantQuota) {
        self.refill(now_ms);
        self.quota = quota;
        self.level = self.level.min(quota.burst());
    }

    pub fn record(&mut self, now_ms: u64, admitted: bool) {
        self.refill(now_ms);
        let within = self.level >= 1.0;
        if within {
            self.level -= 1.0;
        }
        self.arrivals.push(Arrival { at_ms: now_ms, within, admitted });
    }

    /// Number of requests admitted in `from_ms..until_ms`.
    pub fn admitted(&self, from_ms: u64, until_ms: u64) -> usize {
        self.between(from_ms, until_ms).filter(|arrival| arrival.admitted).count()
    }

    /// Number of requests within the quota in `from_ms..until_ms`.
    pub fn within(&self, from_ms: u64, until_ms: u64) -> usize {
        self.between(from_ms, until_ms).filter(|arrival| arrival.within).count()
    }

    /// Fraction of the requests within the quota that were refused.
    pub fn wrongly_refused(&self, from_ms: u64, until_ms: u64) -> f64 {
        let refused = self
            .between(from_ms, until_ms)
            .filter(|arrival| arrival.within && !arrival.admitted)
            .count();
        refused as f64 / self.within(from_ms, until_ms).max(1) as f64
    }

    /// Largest number of requests admitted in a window over the tolerated number; above 1 is a
    /// violation.
    pub fn worst_window(&self, settings: &QuotaSettings, from_ms: u64) -> f64 {
        let window_ms = settings.window.as_millis() as u64;
        let admitted = self.arrivals.iter().filter(|arrival| arrival.admitted);
        let times: Vec<u64> =
            admitted.map(|arrival| arrival.at_ms).filter(|at| *at >= from_ms).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + window_ms <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 / tolerated(settings, self.quota)
    }

    fn between(&self, from_ms: u64, until_ms: u64) -> impl Iterator<Item = &Arrival> {
        self.arrivals
            .iter()
            .filter(move |arrival| arrival.at_ms >= from_ms && arrival.at_ms < until_ms)
    }

    fn refill(&mut self, now_ms: u64) {
        let passed = Duration::from_millis(now_ms - self.counted_ms).as_secs_f64();
        self.level = (self.level + passed * self.quota.per_second()).min(self.quota.burst());
        self.counted_ms = now_ms;
    }
}

/// Number of requests tolerated in a window.
fn tolerated(settings: &QuotaSettings, quota: TenantQuota) -> f64 {
    let allowed = quota.per_second() * settings.window.as_secs_f64() + quota.burst();
    allowed * (1.0 + settings.overshoot) + settings.slack
}
