//! What brokers and control processes tell each other of the use of quotas.

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// Requests of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that came with its keys; where the report is of a longer time than usual (a link was lost), as
    /// many as come in 0.3 s.
    pub arrived: u32,
    /// All requests that its quota admitted since the last report.
    pub admitted: u32,
}

/// What a broker counted since the last report that was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the report, which the acknowledgement repeats.
    pub sequence: u64,
    /// Tenants that sent something.
    pub uses: Vec<TenantUse>,
}

/// What the brokers of one control process used, told to the other control processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    /// Number of the sender's run, drawn at its start: totals of another run start at nothing.
    pub run: u64,
    /// Totals of the run: of tenants whose totals changed, and of a tenth of all in turn.
    pub totals: Vec<TenantTotal>,
}

/// Requests of a tenant since the start of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that came with its keys.
    pub arrived: u64,
    /// Those of them that its quota admitted.
    pub admitted: u64,
}

/// How much of a quota all brokers together have left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantName,
    /// Thousandths of the requests that it may send at once; negative where more were admitted than its
    /// quota allows.
    pub level_thousandths: i64,
    /// Requests that came with its keys at all brokers, in a thousand seconds.
    pub arrivals_per_1000_s: u64,
}

/// What a control process tells the brokers that it feeds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUsage {
    /// The last report of this broker that is contained; 0 for none.
    pub heard: u64,
    /// The most pressing tenants near their quotas, and once each that has come away from it. One that is left
    /// out stands as it was told before.
    pub levels: Vec<TenantLevel>,
}
