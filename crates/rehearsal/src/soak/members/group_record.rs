//! What was seen of a group of control machines under faults, and the checks on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::configuration::document;

/// Time in which a configuration is in force at each broker.
pub const APPLY_LIMIT: Duration = Duration::from_secs(4);
/// Time for which the group has to be without a fault before the bounds hold.
pub const CONTACT: Duration = Duration::from_secs(5);
/// Time by which a fault of the group may delay a configuration.
pub const STRETCH: Duration = Duration::from_secs(15);
/// Time in which a calm group serves the newest configuration at each machine.
pub const RETURN_LIMIT: Duration = Duration::from_secs(6);
/// Time in which each call has an answer.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(8);

/// A time in which a machine was killed, frozen, started or stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// The machine.
    pub machine: usize,
    /// When it began.
    pub began: Instant,
    /// When it ended; `None` while it lasts.
    pub ended: Option<Instant>,
}

/// A configuration that was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Its version.
    pub version: u64,
    /// When the answer came.
    pub at: Instant,
}

/// A call to a control machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallSeen {
    /// The machine.
    pub machine: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came or the caller gave up.
    pub ended: Instant,
    /// Whether an answer came, or the connection was refused or ended.
    pub answered: bool,
}

/// A read of the configuration at a control machine that gave one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSeen {
    /// The machine.
    pub machine: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came.
    pub ended: Instant,
    /// The version read.
    pub version: u64,
}

/// A question to a broker: does it serve this version or a later one?
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The broker.
    pub broker: usize,
    /// When it was sent.
    pub sent: Instant,
    /// The version asked for.
    pub version: u64,
    /// Whether it serves the version or a later one.
    pub served: bool,
}

/// What was seen of the group.
#[derive(Debug, Default)]
pub struct GroupRecord {
    /// Times in which machines were disturbed.
    pub disturbances: Vec<Disturbance>,
    /// Configurations acknowledged, in order.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Reads that gave a configuration.
    pub reads: Vec<ReadSeen>,
    /// The highest version that each broker was seen to serve.
    pub served: BTreeMap<usize, u64>,
}

impl GroupRecord {
    /// The newest version that was acknowledged before a moment.
    pub fn acknowledged_before(&self, moment: Instant) -> u64 {
        let before = self.acknowledgements.iter().filter(|seen| seen.at <= moment);
        before.map(|seen| seen.version).max().unwrap_or(0)
    }

    /// Whether no machine was disturbed at a moment and within [`CONTACT`] before it.
    pub fn was_calm(&self, moment: Instant) -> bool {
        self.disturbances.iter().all(|seen| {
            seen.began > moment || seen.ended.is_some_and(|ended| ended + CONTACT < moment)
        })
    }

    /// The version that each broker has to serve by a moment.
    pub fn due(&self, moment: Instant) -> u64 {
        let limit = if self.was_calm(moment) { APPLY_LIMIT } else { APPLY_LIMIT + STRETCH };
        moment.checked_sub(limit).map_or(0, |before| self.acknowledged_before(before))
    }

    /// What is wrong with what a broker serves, if anything.
    pub fn fault_of_probe(&self, probe: &Probe) -> Option<String> {
        let Probe { broker, sent, version, served } = *probe;
        let due = self.due(sent);
        let known = self.served.get(&broker).copied().unwrap_or(0);
        if served || version > due.max(known) {
            return None;
        }
        let reason = if version <= due { "is in force" } else { "was served by it before" };
        Some(format!("broker-{broker} serves no {version}, which {reason}"))
    }

    /// What is wrong with the time that a call took, if anything.
    pub fn fault_of_call(&self, call: &CallSeen) -> Option<String> {
        let CallSeen { machine, sent, ended, answered } = *call;
        let was_disturbed = self.disturbances.iter().any(|seen| {
            seen.machine == machine
                && seen.began <= ended
                && seen.ended.is_none_or(|until| until >= sent)
        });
        let waited = ended.duration_since(sent);
        let late = !answered || waited > ANSWER_LIMIT;
        (late && !was_disturbed).then(|| {
            format!("control-{machine} left a call without an answer for {} ms", waited.as_millis())
        })
    }

    /// What is wrong with a read, if anything.
    pub fn fault_of_read(&self, read: &ReadSeen) -> Option<String> {
        let acknowledged = self.acknowledged_before(read.sent);
        let ReadSeen { machine, version, .. } = *read;
        (version < acknowledged).then(|| {
            format!("control-{machine} gave {version} after {acknowledged} was acknowledged")
        })
    }

    /// Whether a machine gave the newest configuration in a group that is calm since `calm_since`.
    pub fn has_returned(&self, machine: usize, calm_since: Instant) -> bool {
        self.reads.iter().any(|read| {
            read.machine == machine
                && read.sent >= calm_since
                && read.ended <= calm_since + RETURN_LIMIT
                && read.version >= self.acknowledged_before(read.sent)
        })
    }

    /// What is wrong with a machine of a group that is calm since `calm_since`, once
    /// [`RETURN_LIMIT`] is over.
    pub fn fault_of_return(&self, machine: usize, calm_since: Instant) -> Option<String> {
        (!self.has_returned(machine, calm_since)).then(|| {
            let limit = RETURN_LIMIT.as_secs();
            format!("control-{machine} gave no newest configuration within {limit} s of calm")
        })
    }

    /// What is wrong with the last read at a machine, of which `version` came, if anything.
    pub fn fault_of_last_read(&self, machine: usize, version: Option<u64>) -> Option<String> {
        let newest = self.newest_acknowledged();
        version.is_none_or(|version| version < newest).then(|| {
            let read = version.map_or("nothing".to_owned(), |version| version.to_string());
            format!("control-{machine} gave {read} at the end, where {newest} was acknowledged")
        })
    }

    /// What is wrong with what a broker serves at the end, if anything.
    pub fn fault_of_last_look(&self, broker: usize) -> Option<String> {
        let newest = self.newest_acknowledged();
        let served = self.served.get(&broker).copied().unwrap_or(0);
        (served < newest).then(|| format!("broker-{broker} serves no {newest} at the end"))
    }

    /// The newest version that was acknowledged.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledgements.iter().map(|seen| seen.version).max().unwrap_or(0)
    }
}

/// What is wrong with the content of a configuration that was read, if anything.
pub fn fault_of_content(version: u64, content: &Value) -> Option<String> {
    (*content != document(version))
        .then(|| format!("version {version} was read with other content"))
}
