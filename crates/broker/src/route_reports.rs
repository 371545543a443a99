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
pub struct FoundCrash {
    /// When this was told: the time of the finding counts from then.
    pub at: Timestamp,
    /// What was found.
    pub finding: CrashFinding,
    /// Number of the question where the broker asks for a trial of the request.
    pub trial: Option<u64>,
}

impl FoundCrash {
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
    /// Requests under which leaves have ended.
    pub found_crashes: unbounded::Tx<FoundCrash>,
    /// What tenants used of their quotas.
    pub usage: bounded::Tx<LinkedUsage>,
    /// What came to light of roll-outs.
    pub rollouts: bounded::Tx<Vec<RolloutReport>>,
}

/// Where the feed takes the reports.
pub struct RouteReports {
    /// Leaves that were slow.
    pub slow_leaves: bounded::Rx<SlowLeaves>,
    /// Requests under which leaves have ended.
    pub found_crashes: unbounded::Rx<FoundCrash>,
    /// What tenants used of their quotas.
    pub usage: bounded::Rx<LinkedUsage>,
    /// What came to light of roll-outs.
    pub rollouts: bounded::Rx<Vec<RolloutReport>>,
}

/// The ways from the serving of routes to the feed.
pub fn channels() -> (RouteReporters, RouteReports) {
    let (slow_leaves_sender, slow_leaves) = bounded::channel(WAITING_REPORTS);
    let (usage_sender, usage) = bounded::channel(WAITING_REPORTS);
    let (rollouts_sender, rollouts) = bounded::channel(WAITING_REPORTS);
    let (crashes_sender, found_crashes) = unbounded::channel();
    let reporters = RouteReporters {
        slow_leaves: slow_leaves_sender,
        found_crashes: crashes_sender,
        usage: usage_sender,
        rollouts: rollouts_sender,
    };
    (reporters, RouteReports { slow_leaves, found_crashes, usage, rollouts })
}
