//! Messages about quota use between brokers and control processes.

use serde::{Deserialize, Serialize};

use crate::identifiers::TenantName;

/// Requests of a tenant in one report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests received with its keys. In a report over a longer time than usual (after a lost
    /// link), scaled down to 0.3 s.
    pub arrived: u32,
    /// All requests admitted since the last report.
    pub admitted: u32,
}

/// The counts of a broker since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Sequence number of the report, echoed by the acknowledgement.
    pub sequence: u64,
    /// Tenants with requests.
    pub uses: Vec<TenantUse>,
}

/// Quota use of the brokers of one control process, sent to the other control processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    /// Run number of the sender, drawn at its start; the totals of each run start at zero.
    pub run: u64,
    /// Totals of the tenants that changed, and of a tenth of all tenants in turn.
    pub totals: Vec<TenantTotal>,
}

/// Total requests of a tenant since the start of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests received with its keys.
    pub arrived: u64,
    /// Requests admitted.
    pub admitted: u64,
}

/// The remaining level of a quota over all brokers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that may be admitted at once, in thousandths; negative if more were admitted than
    /// the quota allows.
    pub level_thousandths: i64,
    /// Requests received with its keys at all brokers, per 1,000 seconds.
    pub arrivals_per_1000_s: u64,
}

/// Fleet levels that a control process sends to the brokers it feeds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUsage {
    /// Sequence number of the last report of this broker that is included; 0 for none.
    pub heard: u64,
    /// The most urgent tenants near their quotas, and once each tenant that is no longer near its
    /// quota. The last level of an omitted tenant stays valid.
    pub levels: Vec<TenantLevel>,
}
