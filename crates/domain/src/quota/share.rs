//! The share of a quota that a broker may use without current fleet levels.

use std::time::Duration;

use super::rate::decay;

/// Time constant of the flow averages behind shares: long enough for a broker with one request in
/// three seconds to estimate its share, and short compared to the time in which callers move to
/// other brokers.
pub(super) const FLOW_MEMORY: Duration = Duration::from_secs(30);
/// Shortest observation time of a flow estimate.
pub(super) const MIN_FLOW_TIME: Duration = Duration::from_secs(5);
/// Time constant (1/e) with which a share decays to an equal one without fleet levels. A process
/// that ends closes its connections, and no use is presumed for it; a broker that is silent for
/// minutes is partitioned or on a lost machine, and the estimate of its flow becomes outdated.
const SHARE_MEMORY: Duration = Duration::from_secs(600);
/// Share of a quota that is split equally regardless of flows, so that callers who fail over to
/// another broker during an outage find some quota there.
const EQUAL_PART: f64 = 0.1;
/// Weight of the share by rates, in requests counted at all brokers.
const PRIOR_REQUESTS: f64 = 20.0;

/// Flow estimates of a tenant at one broker and at all brokers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Requests at this broker while the fleet total was known.
    pub(super) seen: f64,
    /// Requests at all brokers over the same time.
    pub(super) seen_by_all: f64,
    /// Requests per second at this broker.
    pub(super) rate: f64,
    /// Upper bound of the requests per second at all brokers.
    pub(super) rate_of_all: f64,
}

impl Flow {
    /// This broker's share; the shares of all brokers add up to about one.
    pub(super) fn share(&self, brokers: usize) -> f64 {
        let by_rates = (self.rate / self.rate_of_all).min(1.0);
        let seen = self.seen + PRIOR_REQUESTS * by_rates;
        let seen_by_all = self.seen_by_all.max(self.seen) + PRIOR_REQUESTS;
        (1.0 - EQUAL_PART) * seen / seen_by_all + EQUAL_PART * equal_share(brokers)
    }
}

/// The share of the brokers behind a silent control process, from the requests `seen` there and at
/// all brokers. Both sides of a partition compute it alike, so that their shares add up to one, also
/// shortly after the first requests.
pub(super) fn partition_share(seen: f64, seen_by_all: f64, equal_share: f64) -> f64 {
    (seen + PRIOR_REQUESTS * equal_share) / (seen_by_all.max(seen) + PRIOR_REQUESTS)
}

/// A share after some time without fleet levels.
pub(super) fn aged_share(share: f64, isolated_for: Duration, brokers: usize) -> f64 {
    let kept = decay(isolated_for, SHARE_MEMORY);
    share * kept + equal_share(brokers) * (1.0 - kept)
}

fn equal_share(brokers: usize) -> f64 {
    1.0 / brokers.max(1) as f64
}
