//! What the serving of routes reports to the control process, on its way to the feed.
//!
//! Each way holds one report; who reports waits while nobody takes it.

use gingerkeel_domain::leaf_warnings::LeafObservation;
use gingerkeel_domain::quota::UsageReport;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::bounded;

/// Reports that wait for the feed.
const WAITING_REPORTS: usize = 1;

/// Leaves that were slow.
pub struct SlowLeaves {
    /// When this was told: ages count from then.
    pub at: Timestamp,
    /// What was seen of each.
    pub observations: Vec<LeafObservation>,
}

/// Number of a link to a control process within this run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkNumber(pub u64);

/// What tenants used of their quotas, for the control process at the end of one link. It is of no use on
/// another link: what it counts is reported anew there.
pub struct LinkedUsage {
    /// The link.
    pub link: LinkNumber,
    /// The report.
    pub report: UsageReport,
}

/// Where the serving of routes reports.
pub struct RouteReporters {
    /// Leaves that were slow.
    pub slow_leaves: bounded::Tx<SlowLeaves>,
    /// What tenants used of their quotas.
    pub usage: bounded::Tx<LinkedUsage>,
}

/// Where the feed takes the reports.
pub struct RouteReports {
    /// Leaves that were slow.
    pub slow_leaves: bounded::Rx<SlowLeaves>,
    /// What tenants used of their quotas.
    pub usage: bounded::Rx<LinkedUsage>,
}

/// The ways from the serving of routes to the feed.
pub fn channels() -> (RouteReporters, RouteReports) {
    let (slow_leaves_sender, slow_leaves) = bounded::channel(WAITING_REPORTS);
    let (usage_sender, usage) = bounded::channel(WAITING_REPORTS);
    let reporters = RouteReporters { slow_leaves: slow_leaves_sender, usage: usage_sender };
    (reporters, RouteReports { slow_leaves, usage })
}
