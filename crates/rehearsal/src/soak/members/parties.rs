//! An operator and those who watch brokers and control machines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;
use serde::Serialize;
use serde_json::Value;

use super::configuration::{document, path_since};
use super::group_record::{
    ANSWER_LIMIT, Acknowledgement, CallSeen, GroupRecord, Probe, ReadSeen, fault_of_content,
};
use crate::soak::http::{NoResponse, Response, exchange};

/// Pause between two changes of the operator.
const OPERATOR_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two looks at a broker or a control machine.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// A control machine that takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The machine.
    pub machine: usize,
    /// Where it takes configurations.
    pub address: SocketAddr,
}

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct MemberCounts {
    /// Rounds of faults.
    pub rounds: u64,
    /// Machines that started as successors.
    pub successors: u64,
    /// Configurations acknowledged.
    pub acknowledged: u64,
    /// Configurations that were not acknowledged.
    pub not_acknowledged: u64,
    /// Reads that gave a configuration.
    pub reads: u64,
    /// Looks at a broker that told whether it serves a version.
    pub looks: u64,
}

/// What the parties of a run share.
#[derive(Debug, Default)]
pub struct Stage {
    record: Mutex<GroupRecord>,
    counts: Mutex<MemberCounts>,
    violations: Mutex<BTreeSet<String>>,
    targets: Mutex<Vec<Target>>,
    stop: AtomicBool,
    sent_version: AtomicU64,
}

impl Stage {
    /// The record, for a moment.
    pub fn record(&self) -> MutexGuard<'_, GroupRecord> {
        lock(&self.record)
    }

    /// The counts, for a moment.
    pub fn counts(&self) -> MutexGuard<'_, MemberCounts> {
        lock(&self.counts)
    }

    /// Notes a broken promise, once.
    pub fn violation(&self, text: String) {
        lock(&self.violations).insert(text);
    }

    /// The broken promises.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).iter().cloned().collect()
    }

    /// Replaces the control machines that take calls.
    pub fn set_targets(&self, targets: Vec<Target>) {
        *lock(&self.targets) = targets;
    }

    /// The control machines that take calls.
    pub fn targets(&self) -> Vec<Target> {
        lock(&self.targets).clone()
    }

    /// Ends all parties.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Sends new versions to any control machine until the run is over.
pub fn operate(stage: &Stage, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    while !stage.is_over() {
        let targets = stage.targets();
        if let Some(target) = targets.choose(&mut random) {
            replace(stage, *target);
        }
        sleep(OPERATOR_PAUSE);
    }
}

/// Sends the next version; gives whether it was acknowledged.
pub fn replace(stage: &Stage, target: Target) -> bool {
    let version = stage.sent_version.fetch_add(1, Ordering::Relaxed) + 1;
    let body = document(version).to_string();
    let request = format!(
        "PUT /v1/routes HTTP/1.1\r\nhost: soak\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let status = call(stage, target, &request).map(|response| response.status);
    match status {
        Some(200) => {
            let at = Instant::now();
            stage.record().acknowledgements.push(Acknowledgement { version, at });
            stage.counts().acknowledged += 1;
        }
        Some(503) | None => stage.counts().not_acknowledged += 1,
        Some(status) => stage.violation(format!("version {version} was refused with {status}")),
    }
    status == Some(200)
}

/// Reads the configuration at a control machine; gives its version.
pub fn read(stage: &Stage, target: Target) -> Option<u64> {
    let sent = Instant::now();
    let request = "GET /v1/routes HTTP/1.1\r\nhost: soak\r\n\r\n";
    let response = call(stage, target, request).filter(|response| response.status == 200)?;
    let content: Value = serde_json::from_slice(&response.body).ok()?;
    let version = content["version"].as_u64()?;
    let read = ReadSeen { machine: target.machine, sent, ended: Instant::now(), version };
    let fault = {
        let mut record = stage.record();
        record.reads.push(read);
        record.fault_of_read(&read)
    };
    let faults = fault.into_iter().chain(fault_of_content(version, &content));
    faults.for_each(|fault| stage.violation(fault));
    stage.counts().reads += 1;
    Some(version)
}

/// Makes one call to a control machine and judges how long it took.
fn call(stage: &Stage, target: Target, request: &str) -> Option<Response> {
    let sent = Instant::now();
    let outcome = exchange(target.address, request.as_bytes(), ANSWER_LIMIT);
    let answered = !matches!(outcome, Err(NoResponse::TimedOut));
    let seen = CallSeen { machine: target.machine, sent, ended: Instant::now(), answered };
    let fault = stage.record().fault_of_call(&seen);
    fault.into_iter().for_each(|fault| stage.violation(fault));
    outcome.ok()
}

/// Reads at a control machine until it gives the newest configuration or the time for it is over.
pub fn await_return(stage: &Stage, target: Target, calm_since: Instant, limit: Duration) {
    while Instant::now() < calm_since + limit {
        read(stage, target);
        if stage.record().has_returned(target.machine, calm_since) {
            return;
        }
        sleep(LOOK_PAUSE);
    }
}

/// Watches which versions a broker serves until the run is over.
pub fn watch(stage: &Stage, broker: usize, address: SocketAddr) {
    while !stage.is_over() {
        let now = Instant::now();
        let (due, newest, known) = {
            let record = stage.record();
            let known = record.served.get(&broker).copied().unwrap_or(0);
            (record.due(now), record.acknowledged_before(now), known)
        };
        look(stage, broker, address, due.max(known));
        if newest > known {
            look(stage, broker, address, newest);
        }
        sleep(LOOK_PAUSE);
    }
}

/// Asks a broker for the route of a version and judges what comes; gives whether it is served.
pub fn look(stage: &Stage, broker: usize, address: SocketAddr, version: u64) -> bool {
    if version == 0 {
        return false;
    }
    let sent = Instant::now();
    let path = path_since(version);
    let request = format!(
        "GET {path}x HTTP/1.1\r\nhost: soak\r\ngingerkeel-request-id: look\r\n\
         connection: close\r\n\r\n"
    );
    let outcome = exchange(address, request.as_bytes(), ANSWER_LIMIT);
    let served = match outcome.map(|response| response.status) {
        Ok(200) => true,
        Ok(404) => false,
        // A leaf may fail; a broker that never answers is found at the end.
        _ => return false,
    };
    let probe = Probe { broker, sent, version, served };
    let mut record = stage.record();
    let fault = record.fault_of_probe(&probe);
    if served {
        let known = record.served.entry(broker).or_insert(0);
        *known = version.max(*known);
    }
    drop(record);
    fault.into_iter().for_each(|fault| stage.violation(fault));
    stage.counts().looks += 1;
    served
}
