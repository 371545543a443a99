//! Max-min fair shares of tenants within a priority while leaves run short of capacity.
//!
//! Requested and started work is counted per priority with exponential decay. The share is the
//! largest one, by weight, up to which every tenant can have what it asks for: tenants below the
//! share lose nothing, and those above it get what is left. Where all ask alike, all are above it;
//! where all requests start, none is.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::hash::hash;
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time constant of the decay of the counts: a broker that sees one request a second counts about
/// ten, enough to tell a tenant that sends half of them from one that sends a single one, and an
/// idle tenant is cleared as soon.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Interval between two computations of the shares, which iterate over all tenants.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Count below which a tenant is forgotten: the weight of a single request after four times
/// [`DECAY_TIME`].
const FORGET_BELOW: f64 = 0.018;

/// A tenant and its weight in the sharing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingTenant {
    /// Hash of the tenant name.
    number: u64,
    weight: u64,
}

impl SharingTenant {
    /// A tenant with a weight in any unit common to all tenants.
    pub fn new(name: &TenantName, weight: u64) -> Self {
        Self { number: hash(name.as_str().as_bytes(), 0), weight: weight.max(1) }
    }

    /// Stands for all requests whose tenant is unknown.
    const UNKNOWN: Self = Self { number: 0, weight: 1 };
}

/// The tenant shares of each priority.
#[derive(Debug, Default)]
pub struct TenantShares {
    ranks: BTreeMap<u32, RankShares>,
}

impl TenantShares {
    /// Counts an arriving request.
    pub fn arrived(&mut self, now: Timestamp, rank: u32, tenant: Option<SharingTenant>) {
        self.ranks.entry(rank).or_default().arrived(now, tenant.unwrap_or(SharingTenant::UNKNOWN));
    }

    /// Counts a starting request, queued or not.
    pub fn begun(&mut self, rank: u32) {
        self.ranks.entry(rank).or_default().started += 1.0;
    }

    /// Whether a tenant asks for more than its share.
    pub fn is_beyond(&self, rank: u32, tenant: Option<SharingTenant>) -> bool {
        let shares = self.ranks.get(&rank);
        shares.is_some_and(|shares| shares.is_beyond(tenant.unwrap_or(SharingTenant::UNKNOWN)))
    }
}

/// The tenant shares of one priority.
#[derive(Debug, Default)]
struct RankShares {
    /// Time up to which the counts have decayed.
    reviewed: Timestamp,
    demand: BTreeMap<u64, Demand>,
    /// Requests that started.
    started: f64,
    /// Share of each unit of weight in requests, `None` while all get what they ask for.
    share: Option<f64>,
}

/// Demand of a tenant.
#[derive(Debug, Clone, Copy)]
struct Demand {
    requests: f64,
    weight: f64,
}

impl Demand {
    fn per_weight(&self) -> f64 {
        self.requests / self.weight
    }
}

impl RankShares {
    fn arrived(&mut self, now: Timestamp, tenant: SharingTenant) {
        if now.since(self.reviewed) >= REVIEW_INTERVAL {
            self.decay(now);
            self.share = self.max_min_share();
        }
        let demand =
            self.demand.entry(tenant.number).or_insert(Demand { requests: 0.0, weight: 1.0 });
        demand.weight = tenant.weight as f64;
        demand.requests += 1.0;
    }

    /// The latest request of the tenant is not counted: a rare request is within every share.
    fn is_beyond(&self, tenant: SharingTenant) -> bool {
        let demand = self.demand.get(&tenant.number);
        let before = |demand: &Demand| demand.requests - 1.0;
        demand.zip(self.share).is_some_and(|(demand, share)| before(demand) > share * demand.weight)
    }

    fn decay(&mut self, now: Timestamp) {
        let left = (-now.since(self.reviewed).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.reviewed = now;
        self.started *= left;
        self.demand.retain(|_, demand| {
            demand.requests *= left;
            demand.requests >= FORGET_BELOW
        });
    }

    /// Finds the max-min fair share: tenants below it get all they ask for, and the started
    /// requests are used up.
    fn max_min_share(&self) -> Option<f64> {
        let mut demand: Vec<Demand> = self.demand.values().copied().collect();
        demand.sort_by(|one, other| one.per_weight().total_cmp(&other.per_weight()));
        let mut left = self.started;
        let mut weight: f64 = demand.iter().map(|demand| demand.weight).sum();
        for tenant in demand {
            if tenant.per_weight() * weight > left {
                return Some(left / weight);
            }
            left -= tenant.requests;
            weight -= tenant.weight;
        }
        None
    }
}
