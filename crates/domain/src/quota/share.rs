//! The part of a quota that a broker may use without news of the others.

use std::time::Duration;

use super::rate::remembered;

/// Time in which flows are averaged for shares: long enough that a broker with a request in three seconds knows
/// its part, and short against the time in which callers change their brokers for good.
pub(super) const FLOW_MEMORY: Duration = Duration::from_secs(30);
/// Least time of a flow that says something of it.
pub(super) const LEAST_FLOW_TIME: Duration = Duration::from_secs(5);
/// Time in which a share falls back to an equal one (by 1/e) without news. A process that ends closes its
/// connections and nothing is presumed of it; a broker that is silent for minutes is cut off or on a lost
/// machine, and what is known of its callers gets old.
const SHARE_MEMORY: Duration = Duration::from_secs(600);
/// ShareWithoutNews of a quota that is shared equally whatever the flows are, so that callers who turn to another
/// broker while news are missing find something there.
const EQUAL_PART: f64 = 0.1;
/// Requests seen at all brokers for which what was seen counts as much as the share by rates.
const PRIOR_REQUESTS: f64 = 20.0;

/// What is known of the flow of a tenant at one broker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Requests that came to the broker while those that came to all were known, and these.
    pub(super) seen: f64,
    pub(super) seen_by_all: f64,
    /// Requests a second that come to the broker.
    pub(super) rate: f64,
    /// Requests a second that come to all brokers, at most.
    pub(super) rate_of_all: f64,
}

impl Flow {
    /// The share of the broker; those of all brokers add up to about one.
    pub(super) fn share(&self, brokers: usize) -> f64 {
        let by_rates = (self.rate / self.rate_of_all).min(1.0);
        let seen = self.seen + PRIOR_REQUESTS * by_rates;
        let seen_by_all = self.seen_by_all.max(self.seen) + PRIOR_REQUESTS;
        (1.0 - EQUAL_PART) * seen / seen_by_all + EQUAL_PART * equal_share(brokers)
    }
}

/// A share after some time without news.
pub(super) fn aged_share(share: f64, without_news: Duration, brokers: usize) -> f64 {
    let kept = remembered(without_news, SHARE_MEMORY);
    share * kept + equal_share(brokers) * (1.0 - kept)
}

fn equal_share(brokers: usize) -> f64 {
    1.0 / brokers.max(1) as f64
}
