//! Tenants: who may call, at what priority, how much, and where their requests may be served.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::region_policy::RegionPolicy;
use crate::identifiers::TenantName;

/// Thousandths of a whole: quotas are whole numbers of them, so that processes agree on every one.
const THOUSAND: f64 = 1_000.0;

/// Digest of a caller's key (SHA-256). Brokers know digests only, so that no key of theirs can leak.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as its caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The digest of a key as an operator writes it; none of an empty one. Callers' keys come without space
    /// around them, so that one is left out here as well.
    pub fn of_text(key: &str) -> Option<Self> {
        let key = key.trim();
        (!key.is_empty()).then(|| Self::of(key.as_bytes()))
    }

    /// Digests of the same bucket differ hardly ever: by it a digest is looked up, so that how long the
    /// look-up takes tells nothing of the rest.
    pub(super) fn bucket(&self) -> u64 {
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_be_bytes(first)
    }

    /// Whether both are of the same key; takes as long whether or not they are.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    /// Short, since a digest of a guessable key tells the key to whoever tries all of them.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Callers who share keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which leaves are told.
    pub name: TenantName,
    /// Digests of its keys; a tenant may have several while they are exchanged.
    pub keys: BTreeSet<KeyDigest>,
    /// Rank of its requests, instead of their route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u32>,
    /// How many requests it may send.
    #[serde(default)]
    pub quota: TenantQuota,
    /// Where its requests may be served; the policy of the route binds as well.
    #[serde(default)]
    pub allowed_regions: RegionPolicy,
}

impl Tenant {
    /// Whether leaves can be told the name in a header field as it is.
    pub fn has_usable_name(&self) -> bool {
        let name = self.name.as_str();
        !name.is_empty() && name.trim() == name && !name.contains(char::is_control)
    }
}

/// How many requests a tenant may send, over all brokers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// Requests in a thousand seconds; 0 for no limit.
    pub requests_per_1000_s: u64,
    /// Thousandths of the requests that may come at once after a rest.
    pub burst_thousandths: u64,
}

impl TenantQuota {
    /// Whether there is a limit.
    pub fn is_limited(self) -> bool {
        self.requests_per_1000_s > 0
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.requests_per_1000_s as f64 / THOUSAND
    }

    /// Requests that may come at once after a rest: one at least, or none could ever come.
    pub fn burst(self) -> f64 {
        (self.burst_thousandths as f64 / THOUSAND).max(1.0)
    }
}
