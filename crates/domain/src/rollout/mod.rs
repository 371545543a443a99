//! Roll-outs: the requests of a service move to leaves of another software version, step by step.
//!
//! An operator orders a [`Rollout`] of a version within a time. A small share of the requests goes to the version
//! first. Brokers report what its leaves answer and how long that takes, beside what the other leaves do over the
//! same time ([`Evidence`]); [`evaluate`] compares the two. A version that fails or is several times slower is taken
//! back at once and for good. One that is sound gets all requests, once every broker has moved.
//!
//! Orders and their stages are part of the replicated catalog; evidence is replicated beside it, so that a judgement is
//! the same at every control process and survives all of them.

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
