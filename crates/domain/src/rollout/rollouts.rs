//! The newest roll-out of each service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::order::{ExposureLimit, RolloutOrder};
use super::preference::{RuleContext, VersionRule, VersionRules, rules};
use super::stage::{Rollout, RolloutAdvance, RolloutStage};
use crate::identifiers::{Revision, ServiceName, SoftwareVersion};
use crate::routes::PartsPerMillion;

/// Orders that are remembered to tell repeats of them: far more than operators give within the time of a repeat.
const REMEMBERED_ORDERS: usize = 64;
/// Versions of a service that are remembered as taken back: more than run beside each other.
const TAKEN_BACK_LIMIT: usize = 16;
/// Services of which a roll-out is kept.
const ROLLOUT_LIMIT: usize = 4_096;

quick_error! {
    /// Why an order or a step is refused; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum RolloutError {
        /// Another roll-out of the service is under way.
        UnderWay(service: ServiceName, target: SoftwareVersion) {
            display("a roll-out of version {target} of service {service} is under way: wait for its end, see SHOW ROLLOUTS")
        }
        /// The time or the version makes no sense.
        Unusable(service: ServiceName) {
            display("the roll-out of service {service} names no version, or a time that is not from 1 ms to 7 days: name both")
        }
        /// No further roll-out can be kept.
        TooMany(limit: u64) {
            display("roll-outs of {limit} services are kept: no other service can have one")
        }
        /// The roll-out has ended, or has come further.
        MovedOn(service: ServiceName) {
            display("the roll-out of service {service} has moved on: look at it with SHOW ROLLOUTS")
        }
    }
}

/// The roll-outs of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceName, Rollout>,
    /// The last orders, oldest first.
    orders: VecDeque<RolloutOrder>,
    /// Versions of a service that were taken back, and not ordered again since.
    taken_back: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

/// Roll-outs as releases laid them out that forgot a version which was taken back with the next order.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerRollouts {
    by_service: BTreeMap<ServiceName, Rollout>,
    orders: VecDeque<RolloutOrder>,
}

impl From<FormerRollouts> for Rollouts {
    fn from(former: FormerRollouts) -> Self {
        let mut rollouts = Self {
            by_service: former.by_service,
            orders: former.orders,
            taken_back: BTreeMap::new(),
        };
        let ended: Vec<Rollout> = rollouts.by_service.values().cloned().collect();
        ended.iter().for_each(|rollout| rollouts.note_end(rollout));
        rollouts
    }
}

impl Rollouts {
    /// The newest roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The newest roll-out of each service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Whether an order was taken, now or before, under whatever stage its roll-out is.
    pub fn took(&self, order: &RolloutOrder) -> bool {
        self.orders.iter().any(|earlier| order.repeats(earlier))
    }

    /// Begins a roll-out at a revision. An order that was taken before changes nothing.
    ///
    /// # Errors
    /// A [`RolloutError`]; nothing is changed then.
    pub fn begin(&mut self, order: &RolloutOrder, revision: Revision) -> Result<(), RolloutError> {
        if self.took(order) {
            return Ok(());
        }
        if !order.is_usable() {
            return Err(RolloutError::Unusable(order.service.clone()));
        }
        let earlier = self.by_service.get(&order.service);
        if let Some(other) = earlier.filter(|earlier| earlier.stage.is_under_way()) {
            let target = other.order.target.clone();
            return Err(RolloutError::UnderWay(order.service.clone(), target));
        }
        if earlier.is_none() && self.by_service.len() >= ROLLOUT_LIMIT {
            return Err(RolloutError::TooMany(ROLLOUT_LIMIT as u64));
        }
        let stage = RolloutStage::Trial { share: first_share(&order.limit) };
        let rollout = Rollout { order: order.clone(), begun: revision, stage };
        self.by_service.insert(order.service.clone(), rollout);
        if let Some(versions) = self.taken_back.get_mut(&order.service) {
            versions.remove(&order.target);
        }
        self.orders.push_back(order.clone());
        if self.orders.len() > REMEMBERED_ORDERS {
            self.orders.pop_front();
        }
        Ok(())
    }

    /// A roll-out goes on.
    ///
    /// # Errors
    /// [`RolloutError::MovedOn`] where it is not the newest of its service, or no way leads to the stage.
    pub fn advance(&mut self, step: &RolloutAdvance) -> Result<(), RolloutError> {
        let rollout = self.by_service.get_mut(&step.service);
        let rollout = rollout.filter(|rollout| rollout.begun == step.begun);
        let Some(rollout) = rollout else {
            return Err(RolloutError::MovedOn(step.service.clone()));
        };
        if !rollout.advance(step.stage) {
            return Err(RolloutError::MovedOn(step.service.clone()));
        }
        let rollout = rollout.clone();
        self.note_end(&rollout);
        Ok(())
    }

    /// Which leaves of a service a request may go to.
    pub fn rules(&self, service: &ServiceName, standing: RuleContext) -> VersionRules {
        let none = BTreeSet::new();
        let taken_back = self.taken_back.get(service).unwrap_or(&none);
        match self.by_service.get(service) {
            Some(rollout) => rules(rollout, taken_back, standing),
            None => VersionRules::only(VersionRule::Any),
        }
    }

    /// Whether a version of a service was taken back, and not ordered again since.
    pub fn is_taken_back(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.taken_back.get(service).is_some_and(|versions| versions.contains(version))
    }

    /// Remembers a version that was taken back: its leaves may run on while another one is ordered.
    fn note_end(&mut self, rollout: &Rollout) {
        if !matches!(rollout.stage, RolloutStage::RolledBack(_)) {
            return;
        }
        let versions = self.taken_back.entry(rollout.order.service.clone()).or_default();
        if versions.len() < TAKEN_BACK_LIMIT {
            versions.insert(rollout.order.target.clone());
        }
    }
}

/// The share with which a trial begins, while nothing is known of how many requests there are: what is within the
/// limit whatever comes.
pub(super) fn first_share(limit: &ExposureLimit) -> PartsPerMillion {
    PartsPerMillion(limit.share.0 / 2)
}
