//! Settings of a dispatcher.

use crate::catalog::Placement;
use crate::identifiers::{BrokerName, BrokerRun, RegionName, ZoneName};
use crate::request_key::KeyLimits;
use crate::routing::RoutingPolicy;
use crate::routing::subset::BrokerEntry;
use crate::tail::TailSettings;

/// How queries are scheduled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SchedulingPolicy {
    /// Priority classes, latency-aware replica choice, subsets and hedges.
    #[default]
    Standard,
    /// Reference for experiments: a random replica of all, no hedges, no classes.
    Baseline,
}

/// Settings of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherSettings {
    /// Name of this broker.
    pub name: BrokerName,
    /// Number of this broker run, part of request keys and of charge reports.
    pub run: BrokerRun,
    /// Region and zone of this broker.
    pub placement: Placement,
    /// How queries are scheduled.
    pub policy: SchedulingPolicy,
    /// Budgets of hedges and retries.
    pub tail: TailSettings,
    /// Limits of the request key table.
    pub keys: KeyLimits,
}

impl DispatcherSettings {
    /// Settings with the standard policy and default limits.
    pub fn new(name: BrokerName, placement: Placement) -> Self {
        Self {
            name,
            run: BrokerRun::default(),
            placement,
            policy: SchedulingPolicy::Standard,
            tail: TailSettings::default(),
            keys: KeyLimits::default(),
        }
    }

    pub(super) fn entry(&self) -> BrokerEntry {
        BrokerEntry { name: self.name.clone(), placement: self.placement.clone() }
    }

    pub(super) fn routing_policy(&self) -> RoutingPolicy {
        match self.policy {
            SchedulingPolicy::Standard => RoutingPolicy::Measured,
            SchedulingPolicy::Baseline => RoutingPolicy::Random,
        }
    }

    pub(super) fn tail_settings(&self) -> TailSettings {
        let hedging = self.tail.hedging && self.policy == SchedulingPolicy::Standard;
        TailSettings { hedging, ..self.tail }
    }
}

impl Default for DispatcherSettings {
    fn default() -> Self {
        let placement = Placement { region: RegionName::new("r"), zone: ZoneName::new("z") };
        Self::new(BrokerName::new("broker"), placement)
    }
}
