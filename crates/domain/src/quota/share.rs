//! The part of a quota that a broker may use without news of the others.

use std::time::Duration;

use super::rate::remembered;

/// Time in which flows are averaged for shares: long enough that a broker with a request a second knows
/// its part, and short against the time in which callers change their brokers for good.
pub(super) const FLOW_MEMORY: Duration = Duration::from_secs(10);
/// Time in which a share falls back to an equal one (by 1/e) without news: callers of a broker that ended
/// come to others, and callers of one that is cut off come and go.
const SHARE_MEMORY: Duration = Duration::from_secs(30);
/// Part of a quota that is shared equally whatever the flows are, so that callers who turn to another
/// broker while news are missing find something there.
const EQUAL_PART: f64 = 0.2;
/// Requests of equally spread flow that are added to what was seen: with few requests seen, shares tend to
/// equal ones.
const PRIOR_REQUESTS: f64 = 20.0;

/// The share of a broker that saw `own` of the `fleet` requests of a tenant in [`FLOW_MEMORY`]. The shares of
/// all brokers add up to one.
pub(super) fn flow_share(own: f64, fleet: f64, brokers: usize) -> f64 {
    let equal = equal_share(brokers);
    let seen = (own + PRIOR_REQUESTS * equal) / (fleet.max(own) + PRIOR_REQUESTS);
    (1.0 - EQUAL_PART) * seen + EQUAL_PART * equal
}

/// A share after some time without news.
pub(super) fn aged_share(share: f64, without_news: Duration, brokers: usize) -> f64 {
    let kept = remembered(without_news, SHARE_MEMORY);
    share * kept + equal_share(brokers) * (1.0 - kept)
}

pub(super) fn equal_share(brokers: usize) -> f64 {
    1.0 / brokers.max(1) as f64
}
