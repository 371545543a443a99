//! Lookup of tenants by key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::tenant::{KeyDigest, Tenant};

/// The tenants of a configuration, indexed by the digests of their keys.
#[derive(Debug, Default)]
pub struct KeyIndex {
    tenants: Vec<Arc<Tenant>>,
    /// Priorities of the tenants; `None` for a tenant that uses the priority of the route.
    priorities: BTreeSet<Option<u32>>,
    /// Requests per 1000 s; 0 if no tenant has a limit.
    largest_quota: u64,
    buckets: BTreeMap<u64, Vec<(KeyDigest, Arc<Tenant>)>>,
}

impl KeyIndex {
    /// Indexes the tenants of a valid configuration, in which no key belongs to two tenants.
    pub fn new(tenants: Vec<Tenant>) -> Self {
        let mut index = Self::default();
        for tenant in tenants {
            index.add(Arc::new(tenant));
        }
        index
    }

    fn add(&mut self, tenant: Arc<Tenant>) {
        for key in &tenant.keys {
            let bucket = self.buckets.entry(key.bucket()).or_default();
            bucket.push((*key, tenant.clone()));
        }
        self.priorities.insert(tenant.priority);
        self.largest_quota = self.largest_quota.max(tenant.quota.requests_per_1000_s);
        self.tenants.push(tenant);
    }

    /// Whether requests need a key.
    pub fn is_required(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenants, in the order of the configuration.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        &self.tenants
    }

    /// The priorities of the tenants; contains `None` if a tenant uses the priority of the route.
    pub fn priorities(&self) -> &BTreeSet<Option<u32>> {
        &self.priorities
    }

    /// The largest quota of a tenant, in requests per 1000 s; 0 if no tenant has a limit.
    pub fn largest_quota(&self) -> u64 {
        self.largest_quota
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let bucket = self.buckets.get(&key.bucket())?;
        bucket.iter().find(|(held, _)| held.matches(key)).map(|(_, tenant)| tenant)
    }
}
