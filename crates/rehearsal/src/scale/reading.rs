//! What all processes of a size have used at one moment, and between two.

use std::time::Instant;

use serde::Serialize;

use super::feed_bytes::FeedBytes;
use super::fleet::VOTERS;
use crate::process_usage::ProcessUsage;
use crate::relay::RelayedBytes;

/// One control process at one moment.
#[derive(Debug, Clone, Copy)]
pub struct ControlReading {
    /// What it has used.
    pub usage: ProcessUsage,
    /// Bytes that it sent to other control processes.
    pub peer_bytes: u64,
}

/// All sides at one moment.
pub struct Reading {
    /// When.
    pub at: Instant,
    /// The control processes.
    pub controls: Vec<ControlReading>,
    /// All processes of hollow brokers together.
    pub hollow: ProcessUsage,
    /// The real broker.
    pub broker: ProcessUsage,
    /// The relays of the feeds together.
    pub relayed: Vec<RelayedBytes>,
}

/// A span of time; shares of a core, and bytes per second.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    seconds: f64,
    /// Bytes per second from control to one hollow broker.
    pub bytes_per_second_to_broker: f64,
    /// Bytes per second from one hollow broker to control.
    pub bytes_per_second_from_broker: f64,
    /// The same by purpose.
    pub feed_bytes_per_second: FeedBytes,
    /// Mean of the control processes.
    pub control_core_share: f64,
    hollow_core_share_per_broker: f64,
    /// The real broker.
    pub broker_core_share: f64,
}

/// What the control processes of one role use, each on the mean.
#[derive(Debug, Clone, Serialize)]
pub struct RoleReport {
    /// `leader`, `follower` or `learner`.
    pub role: &'static str,
    /// How many there are.
    pub processes: usize,
    /// Resident bytes.
    pub resident_bytes: f64,
    /// Share of a core without changes.
    pub idle_core_share: f64,
    /// Share of a core with changes.
    pub changes_core_share: f64,
    /// Bytes per second to other control processes without changes.
    pub idle_peer_bytes_per_second: f64,
    /// Bytes per second to other control processes with changes.
    pub changes_peer_bytes_per_second: f64,
}

impl Reading {
    /// Bytes to all hollow brokers.
    pub fn bytes_down(&self) -> f64 {
        self.relayed.iter().map(|bytes| bytes.from_target as f64).sum()
    }

    /// Bytes from all hollow brokers.
    pub fn bytes_up(&self) -> f64 {
        self.relayed.iter().map(|bytes| bytes.to_target as f64).sum()
    }

    /// Bytes of all feeds by purpose.
    pub fn feed_bytes(&self) -> FeedBytes {
        let each = self.relayed.iter().map(FeedBytes::of);
        each.fold(FeedBytes::default(), |sum, bytes| sum.combine(&bytes, |one, other| one + other))
    }

    /// Processor seconds of all control processes.
    pub fn control_cpu_seconds(&self) -> f64 {
        self.controls.iter().map(|control| control.usage.cpu_seconds).sum()
    }

    /// Resident bytes of a control process on the mean.
    pub fn control_resident_bytes(&self) -> f64 {
        let all: u64 = self.controls.iter().map(|control| control.usage.resident_bytes).sum();
        all as f64 / self.controls.len() as f64
    }
}

/// What happened between two readings, for so many hollow brokers.
pub fn phase(before: &Reading, after: &Reading, brokers: f64) -> PhaseReport {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let share = |before: &ProcessUsage, after: &ProcessUsage| {
        (after.cpu_seconds - before.cpu_seconds) / seconds
    };
    let controls = after.control_cpu_seconds() - before.control_cpu_seconds();
    let parts = seconds * brokers;
    PhaseReport {
        seconds,
        bytes_per_second_to_broker: (after.bytes_down() - before.bytes_down()) / parts,
        bytes_per_second_from_broker: (after.bytes_up() - before.bytes_up()) / parts,
        feed_bytes_per_second: after.feed_bytes().since(&before.feed_bytes(), parts),
        control_core_share: controls / seconds / after.controls.len() as f64,
        hollow_core_share_per_broker: share(&before.hollow, &after.hollow) / brokers,
        broker_core_share: share(&before.broker, &after.broker),
    }
}

/// The control processes by role, from readings before and after an idle time and after changes.
pub fn by_role(readings: [&Reading; 3], leader: Option<usize>) -> Vec<RoleReport> {
    let count = readings[0].controls.len();
    let role = |index: usize| match index {
        _ if leader == Some(index) => "leader",
        _ if index < VOTERS => "follower",
        _ => "learner",
    };
    ["leader", "follower", "learner"]
        .into_iter()
        .filter_map(|wanted| {
            let members: Vec<usize> = (0..count).filter(|index| role(*index) == wanted).collect();
            (!members.is_empty()).then(|| role_report(wanted, &members, readings))
        })
        .collect()
}

fn role_report(
    role: &'static str,
    members: &[usize],
    [start, middle, end]: [&Reading; 3],
) -> RoleReport {
    let mean = |value: &dyn Fn(usize) -> f64| {
        members.iter().map(|index| value(*index)).sum::<f64>() / members.len() as f64
    };
    let rate = |before: &Reading, after: &Reading, value: fn(&ControlReading) -> f64| {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        mean(&|index| (value(&after.controls[index]) - value(&before.controls[index])) / seconds)
    };
    let processor = |control: &ControlReading| control.usage.cpu_seconds;
    let to_peers = |control: &ControlReading| control.peer_bytes as f64;
    RoleReport {
        role,
        processes: members.len(),
        resident_bytes: mean(&|index| end.controls[index].usage.resident_bytes as f64),
        idle_core_share: rate(start, middle, processor),
        changes_core_share: rate(middle, end, processor),
        idle_peer_bytes_per_second: rate(start, middle, to_peers),
        changes_peer_bytes_per_second: rate(middle, end, to_peers),
    }
}
