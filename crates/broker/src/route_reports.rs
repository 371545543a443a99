//! What the serving of routes reports to the control process, on its way to the feed.
//!
//! Each way holds one report; who reports waits while nobody takes it. Requests that crash leaves do not wait: there are few, and each try
//! of one may cost leaves.

use gingerkeel_domain::crash_suspects::CrashFinding;
use gingerkeel_domain::leaf_warnings::LeafObservation;
use gingerkeel_domain::quota::UsageReport;
use gingerkeel_domain::rollout::RolloutReport;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::{bounded, unbounded};

/// Reports that wait for the feed.
const WAITING_REPORTS: usize = 1;

/// Leaves that were slow.
pub struct SlowLeaves {
    /// When this was told: ages count from then.
    pub at: Timestamp,
    /// What was seen of each.
    pub observations: Vec<LeafObservation>,
}

/// A request under which leaves have ended.
pub struct CrashReport {
    /// When this was told: the time of the finding counts from then.
    pub at: Timestamp,
    /// What was found.
    pub finding: CrashFinding,
    /// Number of the question where the broker asks for a trial of the request.
    pub trial: Option<u64>,
}

impl CrashReport {
    /// The finding as it is now; none when its time is over.
    pub fn current(self, now: Timestamp) -> Option<CrashFinding> {
        let passed = now.since(self.at).as_millis() as u32;
        let for_ms = self.finding.for_ms.checked_sub(passed).filter(|left| *left > 0)?;
        Some(CrashFinding { for_ms, ..self.finding })
    }
}

/// Number of a link to a control process within this run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkNumber(pub u64);

/// What tenants used of their quotas, for the control process at the end of one link. It is of no use on
/// another link: what it counts is reported anew there.
pub struct LinkUsage {
    /// The link.
    pub link: LinkNumber,
    /// The report.
    pub report: UsageReport,
}

/// Where the serving of routes reports.
pub struct RouteReporters {
    /// Leaves that were slow.
    pub slow_leaves: bounded::Tx<SlowLeaves>,
    /// Requests under which leaves have ended.
    pub crash_reports: unbounded::Tx<CrashReport>,
    /// What tenants used of their quotas.
    pub usage: bounded::Tx<LinkUsage>,
    /// What came to light of roll-outs.
    pub rollouts: bounded::Tx<Vec<RolloutReport>>,
}

/// Where the feed takes the reports.
pub struct RouteReports {
    /// Leaves that were slow.
    pub slow_leaves: bounded::Rx<SlowLeaves>,
    /// Requests under which leaves have ended.
    pub crash_reports: unbounded::Rx<CrashReport>,
    /// What tenants used of their quotas.
    pub usage: bounded::Rx<LinkUsage>,
    /// What came to light of roll-outs.
    pub rollouts: bounded::Rx<Vec<RolloutReport>>,
}

/// The ways from the serving of routes to the feed.
pub fn channels() -> (RouteReporters, RouteReports) {
    let (slow_leaves_sender, slow_leaves) = bounded::channel(WAITING_REPORTS);
    let (usage_sender, usage) = bounded::channel(WAITING_REPORTS);
    let (rollouts_sender, rollouts) = bounded::channel(WAITING_REPORTS);
    let (crashes_sender, crash_reports) = unbounded::channel();
    let reporters = RouteReporters {
        slow_leaves: slow_leaves_sender,
        crash_reports: crashes_sender,
        usage: usage_sender,
        rollouts: rollouts_sender,
    };
    (reporters, RouteReports { slow_leaves, crash_reports, usage, rollouts })
}
