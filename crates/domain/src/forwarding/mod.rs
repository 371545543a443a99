//! Request forwarding: leaf selection, retries and hedges, admission, and merging of answers.

mod admission_queue;
mod attempts;
mod cold_leaves;
mod connection_allowance;
mod connection_plan;
mod connection_share;
mod delivery;
mod eligibility;
mod execution;
mod extra_load;
mod gathering;
mod greatest;
mod liveness;
mod load_report;
mod misdirected;
mod overload;
mod planned_stop;
mod replica;
mod replica_set;
mod split;
mod tenant_shares;

pub use admission_queue::{AdmissionQueue, Candidate, TicketNumber};
pub use attempts::{AfterAttempt, AttemptError, RequestAttempts, hedge_delay};
pub use cold_leaves::{ColdLeaves, ColdShare, ColdStart};
pub use connection_allowance::ConnectionAllowance;
pub use connection_plan::{BrokerCensus, ConnectionPlan, PlanningBroker};
pub use connection_share::{SharingBrokers, connection_share};
pub use delivery::{AnswerMargin, DeliveryTime};
pub use eligibility::{Exclusion, NoLeafReason};
pub use execution::{ExecutionEvidence, RequestFailure, promises_not_run};
pub use extra_load::{ExtraLoadBudget, ExtraLoadSettings, ExtraLoadShare};
pub use gathering::{GatherStep, GatherTimes, Gathering};
pub use greatest::{GreatestRecords, RECORD_BYTES};
pub use load_report::{LoadReport, NOMINAL_PACE_PERCENT, ObservedLoad};
pub use misdirected::MisdirectedRequests;
pub use overload::{AdmissionDecision, OverloadGate, OverloadGateSettings, RequestOutcome};
pub use planned_stop::PlannedStop;
pub use replica::{Distance, Outcome};
pub use replica_set::{
    Choice, Connectivity, ReplicaSet, ReplicaSettings, Selection, UnresponsiveLeaves,
};
pub use split::SplitSequence;
pub use tenant_shares::{SharingTenant, TenantShares};
