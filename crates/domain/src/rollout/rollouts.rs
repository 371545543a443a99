//! The newest rollout of each service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::order::{ExposureLimit, RolloutOrder};
use super::preference::{RuleContext, VersionRule, VersionRules, rules};
use super::stage::{Rollout, RolloutAdvance, RolloutStage};
use crate::identifiers::{Revision, ServiceName, SoftwareVersion};
use crate::routes::PartsPerMillion;

/// Number of orders kept to detect retries: far more than operators issue within the retry window.
const ORDER_LIMIT: usize = 64;
/// Rolled-back versions kept per service: more than run at the same time.
const TAKEN_BACK_LIMIT: usize = 16;
/// Maximum number of services with a rollout.
const ROLLOUT_LIMIT: usize = 4_096;

quick_error! {
    /// Why an order or a stage change is refused; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum RolloutError {
        /// Another rollout of the service is in progress.
        UnderWay(service: ServiceName, target: SoftwareVersion) {
            display("a roll-out of version {target} of service {service} is under way: wait for its end, see SHOW ROLLOUTS")
        }
        /// The duration or the version is invalid.
        Unusable(service: ServiceName) {
            display("the roll-out of service {service} names no version, or a time that is not from 1 ms to 7 days: name both")
        }
        /// The limit of services with a rollout is reached.
        TooMany(limit: u64) {
            display("roll-outs of {limit} services are kept: no other service can have one")
        }
        /// The rollout has ended, or is already in a later stage.
        MovedOn(service: ServiceName) {
            display("the roll-out of service {service} has moved on: look at it with SHOW ROLLOUTS")
        }
    }
}

/// The rollouts of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceName, Rollout>,
    /// The most recent orders, oldest first.
    orders: VecDeque<RolloutOrder>,
    /// Rolled-back versions by service, except those ordered again since.
    taken_back: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

/// The stored format of earlier releases, which dropped a rolled-back version with the next order.
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
    /// The newest rollout of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The newest rollout of each service, ordered by service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Whether no service has a rollout.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Whether an order, or one that it retries, was accepted, whatever the stage of its rollout.
    pub fn took(&self, order: &RolloutOrder) -> bool {
        self.orders.iter().any(|earlier| order.repeats(earlier))
    }

    /// Begins a rollout at a revision. A retried order changes nothing.
    ///
    /// # Errors
    /// A [`RolloutError`], in which case nothing is changed.
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
        if self.orders.len() > ORDER_LIMIT {
            self.orders.pop_front();
        }
        Ok(())
    }

    /// Moves a rollout to another stage.
    ///
    /// # Errors
    /// [`RolloutError::MovedOn`] if it is not the newest rollout of its service, or if the
    /// transition is not allowed.
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

    /// The version rules for an attempt at a service.
    pub fn rules(&self, service: &ServiceName, context: RuleContext) -> VersionRules {
        let none = BTreeSet::new();
        let taken_back = self.taken_back.get(service).unwrap_or(&none);
        match self.by_service.get(service) {
            Some(rollout) => rules(rollout, taken_back, context),
            None => VersionRules::only(VersionRule::Any),
        }
    }

    /// Whether a version of a service was rolled back and not ordered again since.
    pub fn is_taken_back(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        self.taken_back.get(service).is_some_and(|versions| versions.contains(version))
    }

    /// Records a rolled-back version: its leaves may still run while another version is ordered.
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

/// The share with which a trial begins, while the request rate is unknown. It keeps within the
/// limit at any rate.
pub(super) fn first_share(limit: &ExposureLimit) -> PartsPerMillion {
    PartsPerMillion(limit.share.0 / 2)
}
