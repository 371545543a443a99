//! Stages of a rollout.

use serde::{Deserialize, Serialize};

use super::gathered::RolloutKey;
use super::order::RolloutOrder;
use crate::identifiers::{Revision, ServiceName};
use crate::routes::PartsPerMillion;

/// Why a version was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RollBackCause {
    /// Its leaves fail, and those of other versions do not.
    Failing,
    /// Its leaves are several times slower than those of other versions.
    Slow,
    /// It was not shown to be healthy within the duration of the rollout.
    NotProven,
}

impl RollBackCause {
    /// One word, as written to logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::NotProven => "not_proven",
        }
    }
}

/// The stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStage {
    /// A share of the requests goes to the target version.
    Trial {
        /// Share of the requests.
        share: PartsPerMillion,
    },
    /// All requests go to the target version; leaves of other versions still run.
    Moving,
    /// All requests have moved; leaves of other versions may stop.
    Completed,
    /// No request goes to the target version.
    RolledBack(RollBackCause),
}

impl RolloutStage {
    /// Whether the rollout is in progress, that is, not in a final stage.
    pub fn is_under_way(self) -> bool {
        matches!(self, Self::Trial { .. } | Self::Moving)
    }

    /// Whether the transition to `next` is allowed. Final stages allow none.
    fn leads_to(self, next: Self) -> bool {
        match self {
            Self::Trial { .. } => !matches!(next, Self::Completed),
            Self::Moving => matches!(next, Self::Completed | Self::RolledBack(_)),
            Self::Completed | Self::RolledBack(_) => false,
        }
    }

    /// The share of the requests in a trial; none in other stages.
    pub fn trial_share(self) -> Option<PartsPerMillion> {
        match self {
            Self::Trial { share } => Some(share),
            _ => None,
        }
    }

    /// Why the version was rolled back; none in other stages.
    pub fn roll_back_cause(self) -> Option<RollBackCause> {
        match self {
            Self::RolledBack(cause) => Some(cause),
            _ => None,
        }
    }

    /// One word, as written to logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial { .. } => "trial",
            Self::Moving => "moving",
            Self::Completed => "completed",
            Self::RolledBack(_) => "rolled_back",
        }
    }
}

/// A rollout and its stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order that began it.
    pub order: RolloutOrder,
    /// The catalog revision that began it, unique among the rollouts of the service.
    pub begun: Revision,
    /// The current stage.
    pub stage: RolloutStage,
}

impl Rollout {
    /// The unique key of the rollout.
    pub fn key(&self) -> RolloutKey {
        (self.order.service.clone(), self.begun)
    }

    /// Moves to another stage. Returns false if the transition is not allowed.
    pub(super) fn advance(&mut self, next: RolloutStage) -> bool {
        let allowed = self.stage.leads_to(next) && self.stage != next;
        if allowed {
            self.stage = next;
        }
        allowed
    }
}

/// A stage change of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAdvance {
    /// The service of the rollout.
    pub service: ServiceName,
    /// The catalog revision that began the rollout.
    pub begun: Revision,
    /// The new stage.
    pub stage: RolloutStage,
}
