//! Rollouts: gradual migration of a service's requests to leaves of another software version.
//!
//! An operator orders a [`Rollout`] of a version within a given time. A small share of the requests
//! goes to the version first (the trial). Brokers report the outcomes and latencies of its leaves
//! and of the other leaves over the same time ([`Evidence`]); [`evaluate`] compares them. A version
//! that fails or is several times slower is rolled back at once and stays so. A healthy version
//! receives all requests, once every broker has applied that stage.
//!
//! Orders and stages are part of the replicated catalog. Evidence is replicated beside it, so that
//! every control process reaches the same decision and none is lost with a process.

mod evidence;
mod gathered;
mod judgement;
mod latency_bucket;
mod order;
mod plan;
mod preference;
mod rollouts;
mod stage;

pub use evidence::{Evidence, LeafOutcomes, OutcomeCounts, RolloutReport, Stratum};
pub use gathered::{PendingEvidence, RolloutKey};
pub use judgement::{AnswerCounts, Comparison, Verdict, compare, evaluate};
pub use latency_bucket::LatencyBucket;
pub use order::{ExposureLimit, RolloutOrder};
pub use plan::{Progress, next_stage};
pub use preference::{RuleContext, VersionRule, VersionRules, rules};
pub use rollouts::{FormerRollouts, RolloutError, Rollouts};
pub use stage::{RollBackCause, Rollout, RolloutAdvance, RolloutStage};
