//! Channels for reports from the route server to the feed, which sends them to the control process.
//!
//! Each channel holds one report; a sender waits until the feed has received it. The channel of
//! crash reports is unbounded: they are few, and each further attempt may crash leaves.

use gingerkeel_domain::crash_suspects::CrashFinding;
use gingerkeel_domain::leaf_warnings::LeafObservation;
use gingerkeel_domain::quota::UsageReport;
use gingerkeel_domain::rollout::RolloutReport;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::{bounded, unbounded};

/// Capacity of a bounded channel.
const CHANNEL_CAPACITY: usize = 1;

/// A report of slow leaves.
pub struct SlowLeaves {
    /// When the report was made; the ages in it are relative to this time.
    pub at: Timestamp,
    /// The observations of each leaf.
    pub observations: Vec<LeafObservation>,
}

/// A report of a request during which leaves have crashed.
pub struct CrashReport {
    /// When the report was made; `finding.for_ms` is relative to this time.
    pub at: Timestamp,
    /// The finding.
    pub finding: CrashFinding,
    /// Ticket, if the broker asks for a trial of the request.
    pub trial: Option<u64>,
}

impl CrashReport {
    /// The finding with its remaining time; none once it has expired.
    pub fn current(self, now: Timestamp) -> Option<CrashFinding> {
        let passed = now.since(self.at).as_millis() as u32;
        let for_ms = self.finding.for_ms.checked_sub(passed).filter(|left| *left > 0)?;
        Some(CrashFinding { for_ms, ..self.finding })
    }
}

/// Number of a link to a control process, unique within the broker run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkNumber(pub u64);

/// Usage of the tenants' quotas, for one link only: on the next link the same usage is reported
/// again.
pub struct LinkUsage {
    /// The link on which the report may be sent.
    pub link: LinkNumber,
    /// Usage of each tenant.
    pub report: UsageReport,
}

/// Senders of reports, for the route server.
pub struct RouteReporters {
    /// Reports of slow leaves.
    pub slow_leaves: bounded::Tx<SlowLeaves>,
    /// Crash reports.
    pub crash_reports: unbounded::Tx<CrashReport>,
    /// Usage of the tenants' quotas.
    pub usage: bounded::Tx<LinkUsage>,
    /// Reports on roll-outs.
    pub rollouts: bounded::Tx<Vec<RolloutReport>>,
}

/// Receivers of reports, for the feed.
pub struct RouteReports {
    /// Reports of slow leaves.
    pub slow_leaves: bounded::Rx<SlowLeaves>,
    /// Crash reports.
    pub crash_reports: unbounded::Rx<CrashReport>,
    /// Usage of the tenants' quotas.
    pub usage: bounded::Rx<LinkUsage>,
    /// Reports on roll-outs.
    pub rollouts: bounded::Rx<Vec<RolloutReport>>,
}

/// Creates the channels from the route server to the feed.
pub fn channels() -> (RouteReporters, RouteReports) {
    let (slow_leaves_sender, slow_leaves) = bounded::channel(CHANNEL_CAPACITY);
    let (usage_sender, usage) = bounded::channel(CHANNEL_CAPACITY);
    let (rollouts_sender, rollouts) = bounded::channel(CHANNEL_CAPACITY);
    let (crashes_sender, crash_reports) = unbounded::channel();
    let reporters = RouteReporters {
        slow_leaves: slow_leaves_sender,
        crash_reports: crashes_sender,
        usage: usage_sender,
        rollouts: rollouts_sender,
    };
    (reporters, RouteReports { slow_leaves, crash_reports, usage, rollouts })
}
