//! Requests that arrived at another leaf than the intended one.
//!
//! They count as extra requests of the service of that leaf, which is known only once the directory
//! lists a leaf at the address. Until then they are kept here; then they are charged to the budget
//! of that service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Misdirected requests of one broker that no budget has covered yet, by the address at which they
/// arrived.
#[derive(Debug, Default)]
pub struct MisdirectedRequests {
    uncovered: BTreeMap<SocketAddr, Vec<Timestamp>>,
}

impl MisdirectedRequests {
    /// Records a request that arrived at an address whose service is unknown.
    pub fn arrived(&mut self, now: Timestamp, address: SocketAddr) {
        self.uncovered.entry(address).or_default().push(now);
    }

    /// Removes the requests that arrived at an address within the last `window` and returns their
    /// number.
    pub fn take(&mut self, now: Timestamp, window: Duration, address: SocketAddr) -> usize {
        self.uncovered.retain(|_, arrivals| {
            arrivals.retain(|arrived| now.since(*arrived) < window);
            !arrivals.is_empty()
        });
        self.uncovered.remove(&address).map_or(0, |arrivals| arrivals.len())
    }
}
