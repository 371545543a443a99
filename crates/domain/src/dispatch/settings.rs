//! What a dispatcher is told of its own broker.

use crate::catalog::Placement;
use crate::identifiers::{BrokerName, BrokerRun, RegionName, ZoneName};
use crate::request_key::KeyLimits;
use crate::routing::RoutingPolicy;
use crate::routing::subset::BrokerEntry;
use crate::tail::TailSettings;

/// How queries are scheduled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SchedulingPolicy {
    /// Classes, measured replica choice, subsets and hedges.
    #[default]
    Standard,
    /// What experiments compare with: a random replica out of all, no hedge, no classes.
    Baseline,
}

/// What a dispatcher is told of its own broker.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatcherSettings {
    /// Name of the broker.
    pub name: BrokerName,
    /// Number of its run, part of request keys and of charge reports.
    pub run: BrokerRun,
    /// Where it runs.
    pub placement: Placement,
    /// How queries are scheduled.
    pub policy: SchedulingPolicy,
    /// Extra load that leaves may be given.
    pub tail: TailSettings,
    /// Bounds of the table of request keys.
    pub keys: KeyLimits,
}

impl DispatcherSettings {
    /// The standard policy for a broker at a place.
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
