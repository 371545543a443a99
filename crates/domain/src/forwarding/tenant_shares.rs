//! Who has more than its share of what one priority gets while leaves run short.
//!
//! What the requests of a priority ask for and what begins of them is counted over some seconds. The share
//! is the greatest one, by weight, up to which all tenants can have what they ask for: tenants below it lose
//! nothing, and those above it get what is left. Where all ask alike, all are above it, and where nobody
//! has to go without, nobody is.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::hash::hash;
use crate::identifiers::TenantName;
use crate::time::Timestamp;

/// Time over which requests are counted, each with less weight the older it is: a broker that sees one
/// request a second counts about ten, enough to tell a tenant that sends half of them from one that sends
/// one, and a tenant that has come to rest is forgiven as soon.
const MEMORY: Duration = Duration::from_secs(10);
/// Time between two looks at the shares: to find them takes a look at all tenants.
const REVIEW: Duration = Duration::from_millis(200);
/// Requests below which a tenant is forgotten: what one request counts after four times [`MEMORY`].
const FORGOTTEN: f64 = 0.018;

/// Whose request it is, and by what weight it shares with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingTenant {
    /// Hash of its name.
    number: u64,
    weight: u64,
}

impl SharingTenant {
    /// A tenant of this weight, in any unit that all tenants have in common.
    pub fn new(name: &TenantName, weight: u64) -> Self {
        Self { number: hash(name.as_str().as_bytes(), 0), weight: weight.max(1) }
    }

    /// Who stands for all requests whose tenant is not known.
    const NOBODY: Self = Self { number: 0, weight: 1 };
}

/// The shares in each priority.
#[derive(Debug, Default)]
pub struct TenantShares {
    ranks: BTreeMap<u32, RankShares>,
}

impl TenantShares {
    /// A request comes.
    pub fn arrived(&mut self, now: Timestamp, rank: u32, tenant: Option<SharingTenant>) {
        self.ranks.entry(rank).or_default().arrived(now, tenant.unwrap_or(SharingTenant::NOBODY));
    }

    /// A request begins, at once or after a wait.
    pub fn begun(&mut self, rank: u32) {
        self.ranks.entry(rank).or_default().begun += 1.0;
    }

    /// Whether a tenant asks for more than its share.
    pub fn is_beyond(&self, rank: u32, tenant: Option<SharingTenant>) -> bool {
        let shares = self.ranks.get(&rank);
        shares.is_some_and(|shares| shares.is_beyond(tenant.unwrap_or(SharingTenant::NOBODY)))
    }
}

/// The shares in one priority.
#[derive(Debug, Default)]
struct RankShares {
    /// To when the counts have aged.
    reviewed: Timestamp,
    asked: BTreeMap<u64, Asked>,
    /// Requests that began.
    begun: f64,
    /// Requests that each unit of weight may have; none while all get what they ask for.
    share: Option<f64>,
}

/// What a tenant asks for.
#[derive(Debug, Clone, Copy)]
struct Asked {
    requests: f64,
    weight: f64,
}

impl Asked {
    fn per_weight(&self) -> f64 {
        self.requests / self.weight
    }
}

impl RankShares {
    fn arrived(&mut self, now: Timestamp, tenant: SharingTenant) {
        if now.since(self.reviewed) >= REVIEW {
            self.age(now);
            self.share = self.find_share();
        }
        let asked = self.asked.entry(tenant.number).or_insert(Asked { requests: 0.0, weight: 1.0 });
        asked.weight = tenant.weight as f64;
        asked.requests += 1.0;
    }

    /// The last request of the tenant does not count: a rare one is within every share.
    fn is_beyond(&self, tenant: SharingTenant) -> bool {
        let asked = self.asked.get(&tenant.number);
        let before = |asked: &Asked| asked.requests - 1.0;
        asked.zip(self.share).is_some_and(|(asked, share)| before(asked) > share * asked.weight)
    }

    fn age(&mut self, now: Timestamp) {
        let left = (-now.since(self.reviewed).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.reviewed = now;
        self.begun *= left;
        self.asked.retain(|_, asked| {
            asked.requests *= left;
            asked.requests >= FORGOTTEN
        });
    }

    /// The share up to which all get what they ask for, and of which all of what begins is taken up.
    fn find_share(&self) -> Option<f64> {
        let mut asked: Vec<Asked> = self.asked.values().copied().collect();
        asked.sort_by(|one, other| one.per_weight().total_cmp(&other.per_weight()));
        let mut left = self.begun;
        let mut weight: f64 = asked.iter().map(|asked| asked.weight).sum();
        for tenant in asked {
            if tenant.per_weight() * weight > left {
                return Some(left / weight);
            }
            left -= tenant.requests;
            weight -= tenant.weight;
        }
        None
    }
}
