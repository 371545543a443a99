//! Version rules: which versions a request may be sent to.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::stage::{Rollout, RolloutStage};
use crate::identifiers::SoftwareVersion;
use crate::routes::PartsPerMillion;

/// Selects leaves by version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionRule {
    /// Leaves of all versions.
    Any,
    /// Leaves of this version.
    Only(SoftwareVersion),
    /// Leaves of all versions except these.
    AllBut(BTreeSet<SoftwareVersion>),
}

impl VersionRule {
    /// Whether leaves of `version` are selected.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::AllBut(barred) => !barred.contains(version),
        }
    }
}

/// Rules in order of preference: the second applies if no leaf selected by the first is available.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRules {
    /// The preferred rule.
    pub first: VersionRule,
    /// The fallback rule.
    pub then: Option<VersionRule>,
}

impl VersionRules {
    /// A single rule without a fallback.
    pub fn only(rule: VersionRule) -> Self {
        Self { first: rule, then: None }
    }

    /// The rules in order of preference.
    pub fn in_order(&self) -> impl Iterator<Item = &VersionRule> {
        std::iter::once(&self.first).chain(&self.then)
    }
}

/// Properties of an attempt and of its broker on which version rules depend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleContext {
    /// Whether this is the first attempt of the request.
    pub is_first: bool,
    /// A random number from 0 to 1, drawn once per request.
    pub draw: f64,
    /// Whether control has recently confirmed that this broker's catalog is current.
    pub is_fresh: bool,
}

/// The version rules for an attempt while `rollout` is the newest rollout of the service and the
/// versions in `taken_back` were rolled back before it.
///
/// In a trial, a random draw per request decides, so that the share holds over all brokers, however
/// few requests each of them has. Hedges and retries go to present leaves: a request reaches the
/// target version at most once, and can fall back to a healthy leaf. A broker whose catalog may be
/// stale sends nothing to a version on trial, which may have been rolled back. A broker that has
/// moved stays with the target version, since present leaves may have stopped.
pub fn rules(
    rollout: &Rollout,
    taken_back: &BTreeSet<SoftwareVersion>,
    context: RuleContext,
) -> VersionRules {
    let target = || VersionRule::Only(rollout.order.target.clone());
    let barred = || taken_back.iter().chain([&rollout.order.target]).cloned().collect();
    let present = || VersionRule::AllBut(barred());
    match rollout.stage {
        RolloutStage::Trial { share } if context.is_first && context.is_fresh => {
            match is_drawn(share, context.draw) {
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
