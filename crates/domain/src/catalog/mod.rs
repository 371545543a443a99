//! The catalog: the replicated configuration that operators change and brokers follow.

mod change;
mod error;
mod leaf;
mod service;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identifiers::{
    CallerName, ClassName, IndexVersion, LeafId, PartitionEpoch, Revision, ServiceName, ShardId,
};

pub use change::Change;
pub use error::CatalogError;
pub use leaf::{Leaf, LeafAddress, LeafState, Placement};
pub use service::{AnswerPolicy, CallerAccount, ClassPolicy, PartitionMap, Service};

/// The whole configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    revision: Revision,
    services: BTreeMap<ServiceName, Service>,
    leaves: BTreeMap<LeafId, Leaf>,
    callers: BTreeMap<CallerName, CallerAccount>,
}

impl Catalog {
    /// The revision that the last accepted change gave.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, Service> {
        &self.services
    }

    /// All leaves by number.
    pub fn leaves(&self) -> &BTreeMap<LeafId, Leaf> {
        &self.leaves
    }

    /// All callers' accounts by name.
    pub fn callers(&self) -> &BTreeMap<CallerName, CallerAccount> {
        &self.callers
    }

    /// Applies `change` and moves to the next revision.
    ///
    /// # Errors
    /// A [`CatalogError`] that names the remedy; the catalog is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<Revision, CatalogError> {
        match change {
            Change::AddLeaf(leaf) => self.add_leaf(leaf.clone())?,
            Change::SetLeafState { leaf, state } => self.leaf_mut(*leaf)?.state = *state,
            Change::RemoveLeaf(leaf) => self.remove_leaf(*leaf)?,
            Change::DefineService { service, concurrency } => {
                self.define_service(service, *concurrency)
            }
            Change::DefineClass { service, policy } => {
                self.service_mut(service)?.define_class(policy.clone())?
            }
            Change::AssignShard { service, shard, leaves } => {
                self.assign_shard(service, *shard, leaves)?
            }
            Change::Repartition { service, shards } => self.repartition(service, *shards)?,
            Change::PublishVersion { service, version } => {
                self.service_mut(service)?.publish(*version)?
            }
            Change::DefineCaller { caller, account } => {
                self.callers.insert(caller.clone(), account.clone());
            }
        }
        self.revision.0 += 1;
        Ok(self.revision)
    }

    /// The policy of a class, if both the service and the class exist.
    pub fn class(&self, service: &ServiceName, class: &ClassName) -> Option<&ClassPolicy> {
        self.services.get(service)?.class(class)
    }

    fn add_leaf(&mut self, leaf: Leaf) -> Result<(), CatalogError> {
        if self.leaves.contains_key(&leaf.id) {
            return Err(CatalogError::LeafExists(leaf.id));
        }
        self.leaves.insert(leaf.id, leaf);
        Ok(())
    }

    fn remove_leaf(&mut self, leaf: LeafId) -> Result<(), CatalogError> {
        self.leaf_mut(leaf)?;
        self.leaves.remove(&leaf);
        for service in self.services.values_mut() {
            service.forget_leaf(leaf);
        }
        Ok(())
    }

    fn define_service(&mut self, name: &ServiceName, concurrency: u32) {
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service::new(concurrency))
            .concurrency = concurrency;
    }

    fn assign_shard(
        &mut self,
        service: &ServiceName,
        shard: ShardId,
        leaves: &[LeafId],
    ) -> Result<(), CatalogError> {
        for leaf in leaves {
            self.leaf_mut(*leaf)?;
        }
        self.service_mut(service)?.assign_shard(shard, leaves);
        Ok(())
    }

    fn repartition(&mut self, service: &ServiceName, shards: u32) -> Result<(), CatalogError> {
        let service = self.service_mut(service)?;
        let epoch = PartitionEpoch(service.newest_epoch().0 + 1);
        service.add_partition(PartitionMap::empty(epoch, shards));
        Ok(())
    }

    fn service_mut(&mut self, name: &ServiceName) -> Result<&mut Service, CatalogError> {
        self.services.get_mut(name).ok_or_else(|| CatalogError::UnknownService(name.clone()))
    }

    fn leaf_mut(&mut self, id: LeafId) -> Result<&mut Leaf, CatalogError> {
        self.leaves.get_mut(&id).ok_or(CatalogError::UnknownLeaf(id))
    }
}

/// The index version before any is published.
pub const NO_VERSION: IndexVersion = IndexVersion(0);
