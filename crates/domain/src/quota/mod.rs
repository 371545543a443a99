//! Quotas of tenants that hold over all brokers together.
//!
//! No broker sees more than its own callers, and none is asked on the way of a request. So each broker
//! counts what its tenants send, reports it to the control process that feeds it, and hears how much of
//! each quota all brokers together have left; it admits by that, less what it admitted since. The state is
//! soft: nothing of it is replicated or kept on disk, and without news a broker goes on with the
//! share that it had.
//! Why so, and what else was weighed: `docs/design/quotas.md`.

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
pub use meter::{QuotaDecision, QuotaMeter, QuotaSettings, TenantQuotaStatus};
pub use usage::{FleetUsage, PeerUsage, TenantLevel, TenantTotal, TenantUse, UsageReport};
