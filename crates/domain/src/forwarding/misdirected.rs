//! Requests that arrived at another leaf than the one that was meant.
//!
//! They count as extra requests of the service of that leaf, which is known only once the list names a leaf
//! at the address. Until then they are kept here; then they are taken out of that service's budget.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Misdirected requests of one broker that no budget has covered yet, by the address at which they arrived.
#[derive(Debug, Default)]
pub struct MisdirectedRequests {
    uncovered: BTreeMap<SocketAddr, Vec<Timestamp>>,
}

impl MisdirectedRequests {
    /// A request arrived at an address of which no service is known.
    pub fn arrived(&mut self, now: Timestamp, address: SocketAddr) {
        self.uncovered.entry(address).or_default().push(now);
    }

    /// Takes the requests that arrived at an address within the last `window`: a leaf is known there.
    pub fn take(&mut self, now: Timestamp, window: Duration, address: SocketAddr) -> usize {
        self.uncovered.retain(|_, arrivals| {
            arrivals.retain(|arrived| now.since(*arrived) < window);
            !arrivals.is_empty()
        });
        self.uncovered.remove(&address).map_or(0, |arrivals| arrivals.len())
    }
}
