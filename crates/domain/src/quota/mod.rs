//! Tenant quotas enforced over all brokers together.
//!
//! A broker sees only its own callers and consults no other process during a request. Each broker
//! counts the requests of its tenants, reports the counts to the control process that feeds it, and
//! receives the remaining level of each quota over all brokers. It admits against that level, less
//! what it has admitted since. This is soft state, neither replicated nor persisted: without
//! current levels, a broker enforces the share of the quota that it had. Rationale and
//! alternatives: `docs/design/quotas.md`.

mod admission;
mod bucket;
mod counts;
mod fleet_tenant;
mod fold;
mod limited;
mod meter;
mod metered;
mod peers;
mod rate;
mod share;
mod source;
mod usage;

pub use fold::UsageAggregator;
pub use limited::{LimitEpisode, LimitedTenants};
pub use meter::{QuotaDecision, QuotaLimit, QuotaMeter, QuotaSettings, TenantQuotaStatus};
pub use usage::{FleetUsage, PeerUsage, TenantLevel, TenantTotal, TenantUse, UsageReport};
