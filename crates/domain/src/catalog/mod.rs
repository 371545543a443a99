//! The catalog: the replicated configuration that operators change and brokers follow.

mod change;
mod error;
mod former;
mod leaf;
mod leaf_map;
mod member;
mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, PartitionEpoch, Revision,
    ServiceName, ShardId, ZoneName,
};
use crate::rollout::Rollouts;

pub use change::Change;
pub use error::CatalogError;
pub use former::{FormerCatalog, NoRollouts};
pub use leaf::{Leaf, LeafAddress, LeafState, Placement};
pub use leaf_map::LeafMap;
pub use member::{ControlMember, MemberState};
pub use service::{AnswerPolicy, CallerAccount, ClassPolicy, PartitionMap, Service};

/// The whole configuration at one revision.
///
/// Clones share services and leaves, so cloning is cheap, and parts that a change left untouched
/// are recognized by pointer equality.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    revision: Revision,
    services: BTreeMap<ServiceName, Arc<Service>>,
    leaves: LeafMap,
    callers: BTreeMap<CallerName, CallerAccount>,
    brokers: BTreeMap<BrokerName, MemberState>,
    controls: BTreeMap<ControlName, ControlMember>,
    evacuated: BTreeSet<ZoneName>,
    rollouts: Rollouts,
}

impl Catalog {
    /// The revision, incremented by each accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// All leaves by number.
    pub fn leaves(&self) -> &LeafMap {
        &self.leaves
    }

    /// All accounts by the name of their caller.
    pub fn callers(&self) -> &BTreeMap<CallerName, CallerAccount> {
        &self.callers
    }

    /// Brokers whose state operators have set.
    pub fn brokers(&self) -> &BTreeMap<BrokerName, MemberState> {
        &self.brokers
    }

    /// State of a broker; active unless operators have set another one.
    pub fn broker_state(&self, broker: &BrokerName) -> MemberState {
        self.brokers.get(broker).copied().unwrap_or(MemberState::Active)
    }

    /// Control processes that operators added, including removed ones.
    pub fn controls(&self) -> &BTreeMap<ControlName, ControlMember> {
        &self.controls
    }

    /// Evacuated zones, whose leaves get no new work.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// Roll-outs of software versions by service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Applies `change` and increments the revision.
    ///
    /// # Errors
    /// A [`CatalogError`] that names the remedy; the catalog is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<Revision, CatalogError> {
        match change {
            Change::AddLeaf(leaf) => self.add_leaf(leaf.clone())?,
            Change::SetLeafState { leaf, state } => self.leaf_mut(*leaf)?.state = *state,
            Change::RemoveLeaf(leaf) => self.remove_leaf(*leaf)?,
            Change::DefineService { service, concurrency } => {
                self.define_service(service, *concurrency)?
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
            Change::RemoveService(service) => self.remove_service(service)?,
            Change::RemoveClass { service, class } => self.remove_class(service, class)?,
            Change::SetPrice { service, class, price } => self.set_price(service, class, *price)?,
            Change::RemoveCaller(caller) => self.remove_caller(caller)?,
            Change::AddBroker { broker } => self.add_broker(broker)?,
            Change::SetBrokerState { broker, state } => self.set_broker_state(broker, *state)?,
            Change::RemoveBroker(broker) => self.set_broker_state(broker, MemberState::Removed)?,
            Change::AddControl(control) => self.add_control(control)?,
            Change::SetControlState { control, state } => self.control_mut(control)?.state = *state,
            Change::RemoveControl(control) => {
                self.control_mut(control)?.state = MemberState::Removed
            }
            Change::EvacuateZone(zone) => self.evacuate(zone)?,
            // Idempotent: an order to evacuate or restore may be repeated.
            Change::RestoreZone(zone) => {
                self.evacuated.remove(zone);
            }
            Change::BeginRollout(order) => {
                self.rollouts.begin(order, Revision(self.revision.0 + 1))?
            }
            Change::AdvanceRollout(step) => self.rollouts.advance(step)?,
            // Refused requests are stored outside the catalog, since brokers get them separately.
            Change::ReleaseRequest(_) => {}
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
        self.leaves.insert(leaf);
        Ok(())
    }

    fn remove_leaf(&mut self, leaf: LeafId) -> Result<(), CatalogError> {
        self.leaf_mut(leaf)?;
        self.leaves.remove(&leaf);
        for service in self.services.values_mut().filter(|service| service.lists_leaf(leaf)) {
            Arc::make_mut(service).remove_leaf(leaf);
        }
        Ok(())
    }

    fn define_service(&mut self, name: &ServiceName, concurrency: u32) -> Result<(), CatalogError> {
        if concurrency == 0 {
            return Err(number_error("concurrency", 0, "use a number from 1"));
        }
        let service =
            self.services.entry(name.clone()).or_insert_with(|| Service::new(concurrency).into());
        Arc::make_mut(service).concurrency = concurrency;
        Ok(())
    }

    fn remove_service(&mut self, name: &ServiceName) -> Result<(), CatalogError> {
        self.service_mut(name)?;
        self.services.remove(name);
        Ok(())
    }

    fn remove_class(
        &mut self,
        service: &ServiceName,
        class: &ClassName,
    ) -> Result<(), CatalogError> {
        if self.service_mut(service)?.remove_class(class) {
            return Ok(());
        }
        Err(CatalogError::UnknownClass(service.clone(), class.clone()))
    }

    fn set_price(
        &mut self,
        service: &ServiceName,
        class: &ClassName,
        price: u64,
    ) -> Result<(), CatalogError> {
        if self.service_mut(service)?.set_price(class, price) {
            return Ok(());
        }
        Err(CatalogError::UnknownClass(service.clone(), class.clone()))
    }

    fn remove_caller(&mut self, caller: &CallerName) -> Result<(), CatalogError> {
        let removed = self.callers.remove(caller);
        removed.map(|_| ()).ok_or_else(|| CatalogError::UnknownCaller(caller.clone()))
    }

    fn add_broker(&mut self, broker: &BrokerName) -> Result<(), CatalogError> {
        match self.brokers.get(broker) {
            None | Some(MemberState::Removed) => {
                self.brokers.insert(broker.clone(), MemberState::Active);
                Ok(())
            }
            Some(_) => Err(CatalogError::BrokerExists(broker.clone())),
        }
    }

    fn set_broker_state(
        &mut self,
        broker: &BrokerName,
        state: MemberState,
    ) -> Result<(), CatalogError> {
        if self.broker_state(broker) == MemberState::Removed {
            return Err(CatalogError::UnknownBroker(broker.clone()));
        }
        self.brokers.insert(broker.clone(), state);
        Ok(())
    }

    /// Names are never reused: a process whose disk was lost no longer knows its votes.
    fn add_control(&mut self, control: &ControlMember) -> Result<(), CatalogError> {
        if self.controls.contains_key(&control.name) {
            return Err(CatalogError::ControlExists(control.name.clone()));
        }
        self.controls.insert(control.name.clone(), control.clone());
        Ok(())
    }

    fn control_mut(&mut self, name: &ControlName) -> Result<&mut ControlMember, CatalogError> {
        self.controls
            .get_mut(name)
            .filter(|control| control.state != MemberState::Removed)
            .ok_or_else(|| CatalogError::UnknownControl(name.clone()))
    }

    fn evacuate(&mut self, zone: &ZoneName) -> Result<(), CatalogError> {
        if self.evacuated.len() >= EVACUATION_LIMIT && !self.evacuated.contains(zone) {
            return Err(CatalogError::TooManyEvacuations(EVACUATION_LIMIT as u64));
        }
        self.evacuated.insert(zone.clone());
        Ok(())
    }

    fn assign_shard(
        &mut self,
        service: &ServiceName,
        shard: ShardId,
        leaves: &[LeafId],
    ) -> Result<(), CatalogError> {
        for (index, leaf) in leaves.iter().enumerate() {
            self.leaf_mut(*leaf)?;
            if leaves[..index].contains(leaf) {
                return Err(CatalogError::DuplicateReplica(shard, *leaf));
            }
        }
        if shard.0 >= SHARD_LIMIT {
            let remedy = format!("use a number below {SHARD_LIMIT}");
            return Err(number_error("shard", shard.0, &remedy));
        }
        self.service_mut(service)?.assign_shard(shard, leaves);
        Ok(())
    }

    fn repartition(&mut self, service: &ServiceName, shards: u32) -> Result<(), CatalogError> {
        let service = self.service_mut(service)?;
        if !(1..=SHARD_LIMIT).contains(&shards) {
            let remedy = format!("use a number from 1 to {SHARD_LIMIT}");
            return Err(number_error("shards", shards, &remedy));
        }
        let epoch = PartitionEpoch(service.newest_epoch().0 + 1);
        service.add_partition(PartitionMap::empty(epoch, shards));
        Ok(())
    }

    fn service_mut(&mut self, name: &ServiceName) -> Result<&mut Service, CatalogError> {
        let service = self.services.get_mut(name).map(Arc::make_mut);
        service.ok_or_else(|| CatalogError::UnknownService(name.clone()))
    }

    fn leaf_mut(&mut self, id: LeafId) -> Result<&mut Leaf, CatalogError> {
        self.leaves.get_mut(&id).ok_or(CatalogError::UnknownLeaf(id))
    }
}

fn number_error(field: &str, value: u32, remedy: &str) -> CatalogError {
    CatalogError::BadNumber(field.to_owned(), value.into(), remedy.to_owned())
}

/// Maximum number of evacuated zones: well above the number of zones, and bounded in memory.
const EVACUATION_LIMIT: usize = 1_024;

/// Maximum number of shards of a service.
const SHARD_LIMIT: u32 = 4096;

/// The index version before the first publication.
pub const NO_VERSION: IndexVersion = IndexVersion(0);
