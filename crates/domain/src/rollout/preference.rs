//! Which versions a request may go to.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::stage::{Rollout, RolloutStage};
use crate::identifiers::SoftwareVersion;
use crate::routes::PartsPerMillion;

/// Leaves by their version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionRule {
    /// All of them.
    Any,
    /// Those of this version.
    Only(SoftwareVersion),
    /// Those of other versions than these.
    AllBut(BTreeSet<SoftwareVersion>),
}

impl VersionRule {
    /// Whether leaves of a version are among them.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::AllBut(barred) => !barred.contains(version),
        }
    }
}

/// Rules in the order in which they are tried: the next one counts where no leaf of the one before can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRules {
    /// What is tried first.
    pub first: VersionRule,
    /// What is tried then.
    pub then: Option<VersionRule>,
}

impl VersionRules {
    /// One rule, and nothing else.
    pub fn only(rule: VersionRule) -> Self {
        Self { first: rule, then: None }
    }

    /// The rules in order.
    pub fn in_order(&self) -> impl Iterator<Item = &VersionRule> {
        std::iter::once(&self.first).chain(&self.then)
    }
}

/// What is known of a request and of the broker that has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleContext {
    /// Whether no leaf was asked for the request yet.
    pub is_first: bool,
    /// A number from 0 to 1, drawn once for the request.
    pub draw: f64,
    /// Whether control confirmed lately what this broker holds.
    pub is_fresh: bool,
}

/// Which leaves of a service a request may go to while `rollout` is the newest of the service, and these versions were
/// taken back before it.
///
/// In a trial the lot of each request decides, so that the share holds over all brokers together, however few
/// requests each of them has. Hedges and retries go to present leaves: a request meets the version once at most, and
/// has a sound leaf to turn to. A broker that does not know the newest word asks no leaf of a version on trial, which may
/// have been taken back. One that has moved stays with the version: present leaves may have stopped meanwhile.
pub fn rules(
    rollout: &Rollout,
    taken_back: &BTreeSet<SoftwareVersion>,
    standing: RuleContext,
) -> VersionRules {
    let target = || VersionRule::Only(rollout.order.target.clone());
    let barred = || taken_back.iter().chain([&rollout.order.target]).cloned().collect();
    let present = || VersionRule::AllBut(barred());
    match rollout.stage {
        RolloutStage::Trial { share } if standing.is_first && standing.is_fresh => {
            match is_drawn(share, standing.draw) {
                true => VersionRules { first: target(), then: Some(present()) },
                false => VersionRules::only(present()),
            }
        }
        RolloutStage::Trial { .. } | RolloutStage::RolledBack(_) => VersionRules::only(present()),
        RolloutStage::Moving | RolloutStage::Completed => {
            VersionRules { first: target(), then: Some(present()) }
        }
    }
}

fn is_drawn(share: PartsPerMillion, draw: f64) -> bool {
    draw * f64::from(PartsPerMillion::WHOLE) < f64::from(share.0)
}
