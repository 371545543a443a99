//! Tenants: keys, priority, quota and allowed regions.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::region_policy::RegionPolicy;
use crate::identifiers::TenantName;

/// Quotas are stored as integer thousandths, so that all processes compute exactly the same values.
const THOUSAND: f64 = 1_000.0;

/// SHA-256 digest of a caller's key. Brokers hold only digests, so they cannot leak keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as sent by a caller.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The digest of a key as written by an operator, or `None` if it is empty. Surrounding white
    /// space is removed, as it is from callers' keys.
    pub fn of_text(key: &str) -> Option<Self> {
        let key = key.trim();
        (!key.is_empty()).then(|| Self::of(key.as_bytes()))
    }

    /// Bucket for lookups, from the first 8 bytes. Buckets almost never hold more than one digest,
    /// so the lookup time reveals nothing about the remaining bytes.
    pub(super) fn bucket(&self) -> u64 {
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&self.0[..size_of::<u64>()]);
        u64::from_be_bytes(first)
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes a prefix only, since a guessable key can be recovered from its full digest.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// A group of callers with shared keys, priority and quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, sent to leaves in a header field.
    pub name: TenantName,
    /// Digests of the tenant's keys; several are valid during key rotation.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of the tenant's requests, overriding the route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Rate limit over all brokers together.
    #[serde(default)]
    pub quota: TenantQuota,
    /// Regions in which the tenant's requests may be processed; the route's policy applies as well.
    #[serde(default)]
    pub allowed_regions: RegionPolicy,
}

impl Tenant {
    /// Whether the name can be sent unchanged in a header field.
    pub fn has_usable_name(&self) -> bool {
        let name = self.name.as_str();
        !name.is_empty() && name.trim() == name && !name.contains(char::is_control)
    }
}

/// Rate limit of a tenant over all brokers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// Requests per 1000 s; 0 for no limit.
    pub requests_per_1000_s: u64,
    /// Burst size after an idle period, in thousandths of a request.
    pub burst_thousandths: u64,
}

impl TenantQuota {
    /// Whether the rate is limited.
    pub fn is_limited(self) -> bool {
        self.requests_per_1000_s > 0
    }

    /// Sustained rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.requests_per_1000_s as f64 / THOUSAND
    }

    /// Burst size in requests; at least 1, since no request could be admitted otherwise.
    pub fn burst(self) -> f64 {
        (self.burst_thousandths as f64 / THOUSAND).max(1.0)
    }
}
