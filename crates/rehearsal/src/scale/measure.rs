//! One size of a scale run.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::SizePlan;
use crate::clock::{self, Microseconds};
use crate::error::RehearsalError;
use crate::fleet::{
    AnswerTopology, Binaries, ClassTopology, Fleet, HollowTopology, ManagedProcess, PolicyTopology,
    ServiceTopology, Topology, ZoneTopology, wait_until,
};
use crate::hollow_brokers::{AppliedRecord, HollowBrokersSettings};
use crate::process_usage::ProcessUsage;
use crate::record::read_records;
use crate::relay::Relay;

/// Time within which all hollow brokers have to hold the catalog, and the last change.
const CATCH_UP_TIME: Duration = Duration::from_secs(60);
/// Leaf of the real service whose state the changes turn over.
const CHANGED_LEAF: u32 = 2;

/// What one size gave.
#[derive(Debug, Clone, Serialize)]
pub struct SizeReport {
    kind: &'static str,
    /// Hollow brokers; one real broker follows besides.
    pub brokers: u32,
    leaves: u32,
    start: StartReport,
    idle: PhaseReport,
    /// The stream of changes.
    pub changes: PhaseReport,
    change_count: u32,
    /// Processor milliseconds of the control process for one change, to all brokers.
    pub control_cpu_ms_per_change: f64,
    /// Processor milliseconds of one hollow broker for one change.
    pub hollow_cpu_ms_per_change: f64,
    /// Processor milliseconds of the real broker for one change.
    pub broker_cpu_ms_per_change: f64,
    /// Bytes from control to one broker for one change.
    pub bytes_per_change: f64,
    /// Milliseconds from the start of the operator's command until a change was in force.
    pub in_force_ms: InForce,
    brokers_with_every_change: u32,
    /// Resident bytes of the control process.
    pub control_resident_bytes: u64,
    /// Resident bytes of all processes of hollow brokers.
    pub hollow_resident_bytes: u64,
    /// Resident bytes of the real broker.
    pub broker_resident_bytes: u64,
}

/// The start of all hollow brokers at once.
#[derive(Debug, Clone, Serialize)]
struct StartReport {
    seconds_until_all_hold_the_catalog: f64,
    full_copy_bytes_per_broker: f64,
    control_cpu_ms_per_broker: f64,
    hollow_cpu_ms_per_broker: f64,
}

/// A span of time.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    seconds: f64,
    /// Bytes per second from control to one hollow broker.
    pub bytes_per_second_to_broker: f64,
    /// Bytes per second from one hollow broker to control.
    pub bytes_per_second_from_broker: f64,
    control_core_share: f64,
    hollow_core_share_per_broker: f64,
    broker_core_share: f64,
}

/// Quantiles of the time until a change was in force, over all brokers and changes.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct InForce {
    /// Half of them.
    pub p50: f64,
    /// 99 in 100.
    pub p99: f64,
    /// All.
    pub p100: f64,
}

/// The processes of one size.
struct Size {
    plan: SizePlan,
    fleet: Fleet,
    relay: Relay,
    hollow: Vec<ManagedProcess>,
    logs: Vec<PathBuf>,
}

/// Usage of all sides at one moment.
struct Reading {
    at: Instant,
    control: ProcessUsage,
    hollow: ProcessUsage,
    broker: ProcessUsage,
    to_brokers: u64,
    from_brokers: u64,
}

/// Runs one size.
pub fn run(plan: &SizePlan, folder: &Path) -> Result<SizeReport, RehearsalError> {
    let resource = |error| RehearsalError::resource(folder.display(), error);
    fs::create_dir_all(folder).map_err(resource)?;
    let fleet = Fleet::launch(&topology(plan), folder)?;
    let relay = Relay::start(fleet.feeds()[0])?;
    let control_before = fleet.control_usage(0)?;
    let start = Instant::now();
    let (hollow, logs) = start_hollow(plan, relay.address(), folder)?;
    let mut size = Size { plan: *plan, fleet, relay, hollow, logs };
    size.await_revision(0)?;
    let start_report = size.start_report(start, control_before)?;
    size.measure(start_report)
}

impl Size {
    fn measure(&mut self, start: StartReport) -> Result<SizeReport, RehearsalError> {
        let before_idle = self.read()?;
        sleep(Duration::from_secs_f64(self.plan.idle_seconds));
        let before_changes = self.read()?;
        let idle = self.phase(&before_idle, &before_changes);
        let base = self.newest_revision()?;
        let ordered = self.change()?;
        self.await_revision(base + u64::from(self.plan.changes))?;
        let after = self.read()?;
        let changes = self.phase(&before_changes, &after);
        let count = f64::from(self.plan.changes);
        let milliseconds = |before: &ProcessUsage, after: &ProcessUsage| {
            (after.cpu_seconds - before.cpu_seconds) * 1000.0 / count
        };
        let brokers = f64::from(self.plan.brokers);
        let bytes = (after.to_brokers - before_changes.to_brokers) as f64;
        let (in_force_ms, complete) = self.in_force(base, &ordered)?;
        Ok(SizeReport {
            kind: "scale",
            brokers: self.plan.brokers,
            leaves: self.plan.leaves,
            start,
            idle,
            changes,
            change_count: self.plan.changes,
            control_cpu_ms_per_change: milliseconds(&before_changes.control, &after.control),
            hollow_cpu_ms_per_change: milliseconds(&before_changes.hollow, &after.hollow) / brokers,
            broker_cpu_ms_per_change: milliseconds(&before_changes.broker, &after.broker),
            bytes_per_change: bytes / count / brokers,
            in_force_ms,
            brokers_with_every_change: complete,
            control_resident_bytes: after.control.resident_bytes,
            hollow_resident_bytes: after.hollow.resident_bytes,
            broker_resident_bytes: after.broker.resident_bytes,
        })
    }

    fn read(&self) -> Result<Reading, RehearsalError> {
        let bytes = self.relay.bytes();
        Ok(Reading {
            at: Instant::now(),
            control: self.fleet.control_usage(0)?,
            hollow: self.hollow_usage()?,
            broker: self.fleet.broker_usage(0)?,
            to_brokers: bytes.from_target,
            from_brokers: bytes.to_target,
        })
    }

    /// Usage of all processes of hollow brokers together.
    fn hollow_usage(&self) -> Result<ProcessUsage, RehearsalError> {
        let mut total = ProcessUsage { cpu_seconds: 0.0, resident_bytes: 0, descriptors: 0 };
        for process in &self.hollow {
            let usage = process.usage()?;
            total.cpu_seconds += usage.cpu_seconds;
            total.resident_bytes += usage.resident_bytes;
            total.descriptors += usage.descriptors;
        }
        Ok(total)
    }

    fn phase(&self, before: &Reading, after: &Reading) -> PhaseReport {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let brokers = f64::from(self.plan.brokers);
        let share = |before: &ProcessUsage, after: &ProcessUsage| {
            (after.cpu_seconds - before.cpu_seconds) / seconds
        };
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds / brokers;
        PhaseReport {
            seconds,
            bytes_per_second_to_broker: rate(before.to_brokers, after.to_brokers),
            bytes_per_second_from_broker: rate(before.from_brokers, after.from_brokers),
            control_core_share: share(&before.control, &after.control),
            hollow_core_share_per_broker: share(&before.hollow, &after.hollow) / brokers,
            broker_core_share: share(&before.broker, &after.broker),
        }
    }

    fn start_report(
        &self,
        start: Instant,
        control_before: ProcessUsage,
    ) -> Result<StartReport, RehearsalError> {
        let seconds = start.elapsed().as_secs_f64();
        let brokers = f64::from(self.plan.brokers);
        let control = self.fleet.control_usage(0)?.cpu_seconds - control_before.cpu_seconds;
        Ok(StartReport {
            seconds_until_all_hold_the_catalog: seconds,
            full_copy_bytes_per_broker: self.relay.bytes().from_target as f64 / brokers,
            control_cpu_ms_per_broker: control * 1000.0 / brokers,
            hollow_cpu_ms_per_broker: self.hollow_usage()?.cpu_seconds * 1000.0 / brokers,
        })
    }

    /// Orders the changes at their times; gives when each command was started.
    fn change(&mut self) -> Result<Vec<Microseconds>, RehearsalError> {
        let interval = Duration::from_secs_f64(1.0 / self.plan.rate);
        let start = Instant::now();
        let mut ordered = Vec::new();
        for number in 0..self.plan.changes {
            sleep((start + interval * number).saturating_duration_since(Instant::now()));
            let verb = if number % 2 == 0 { "DRAIN" } else { "RESUME" };
            ordered.push(clock::now());
            self.fleet.execute(&format!("{verb} LEAF {CHANGED_LEAF}"))?;
        }
        Ok(ordered)
    }

    /// The newest revision in force at any hollow broker.
    fn newest_revision(&self) -> Result<u64, RehearsalError> {
        let newest = self.applied()?.iter().map(|record| record.revision).max();
        Ok(newest.unwrap_or_default())
    }

    fn applied(&self) -> Result<Vec<AppliedRecord>, RehearsalError> {
        let mut records = Vec::new();
        for log in &self.logs {
            records.extend(read_records::<AppliedRecord>(log)?);
        }
        Ok(records)
    }

    /// Waits until every hollow broker has a revision, or a later one, in force.
    fn await_revision(&mut self, revision: u64) -> Result<(), RehearsalError> {
        let mut failure = None;
        let ready = wait_until(CATCH_UP_TIME, || {
            failure = self.hollow.iter_mut().find_map(|process| process.check_running().err());
            failure.is_some() || self.brokers_at(revision) == self.plan.brokers
        });
        match failure {
            Some(error) => Err(error),
            None if ready => Ok(()),
            None => Err(RehearsalError::NotReady(format!("revision {revision} at all brokers"))),
        }
    }

    fn brokers_at(&self, revision: u64) -> u32 {
        // The log is there once the process has started.
        let records = self.applied().unwrap_or_default();
        let mut newest: BTreeMap<u32, u64> = BTreeMap::new();
        for record in records {
            newest.insert(record.broker, record.revision);
        }
        newest.values().filter(|newest| **newest >= revision).count() as u32
    }

    /// Times until changes were in force, and the brokers that had each of them.
    fn in_force(
        &self,
        base: u64,
        ordered: &[Microseconds],
    ) -> Result<(InForce, u32), RehearsalError> {
        let mut times = Histogram::<u64>::new(3).expect("the number of digits is allowed");
        let mut seen: BTreeMap<u32, usize> = BTreeMap::new();
        for record in self.applied()? {
            let change = record.revision.checked_sub(base + 1);
            let ordered_at = change.and_then(|change| ordered.get(change as usize));
            if let Some(ordered_at) = ordered_at {
                times
                    .record(record.at.saturating_sub(*ordered_at))
                    .expect("the histogram grows with what it is given");
                *seen.entry(record.broker).or_default() += 1;
            }
        }
        let complete = seen.values().filter(|count| **count == ordered.len()).count();
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
        let in_force = InForce { p50: at(0.5), p99: at(0.99), p100: times.max() as f64 / 1000.0 };
        Ok((in_force, complete as u32))
    }
}

/// Starts the processes of hollow brokers; gives them and their logs.
fn start_hollow(
    plan: &SizePlan,
    control: SocketAddr,
    folder: &Path,
) -> Result<(Vec<ManagedProcess>, Vec<PathBuf>), RehearsalError> {
    let mut processes = Vec::new();
    let mut logs = Vec::new();
    for first in (0..plan.brokers).step_by(plan.per_process as usize) {
        let log = folder.join(format!("applied-{first}.jsonl"));
        let settings = HollowBrokersSettings {
            first,
            brokers: plan.per_process.min(plan.brokers - first),
            prefix: "hollow".into(),
            control: vec![control],
            log: log.clone(),
        };
        processes.push(start_process(&settings, folder)?);
        logs.push(log);
    }
    Ok((processes, logs))
}

fn start_process(
    settings: &HollowBrokersSettings,
    folder: &Path,
) -> Result<ManagedProcess, RehearsalError> {
    let name = format!("hollow-brokers-{}", settings.first);
    let file = folder.join(format!("{name}.toml"));
    let text = toml::to_string(settings).expect("settings can be written as TOML");
    fs::write(&file, text).map_err(|error| RehearsalError::resource(file.display(), error))?;
    let arguments = ["hollow-brokers", "--settings", &file.to_string_lossy()];
    let program = Binaries::find()?.rehearsal();
    ManagedProcess::start(&name, &program, &arguments, &folder.join(format!("{name}.log")))
}

/// One control process, one real broker over two real leaves, and a catalog of the planned size.
fn topology(plan: &SizePlan) -> Topology {
    let class = ClassTopology {
        name: "only".into(),
        queue: 64,
        price: 1,
        deadline_ms: 2000,
        answer: AnswerTopology::Full,
        rate: 1.0,
        not_repeatable_share: 0.0,
        obedient_share: 0.0,
    };
    let service = ServiceTopology {
        name: "real".into(),
        brokers: 1,
        leaves: 2,
        shards: 1,
        replicas: 2,
        slots: 5,
        connections: 75,
        service_ms: 5.0,
        concurrency: 64,
        classes: vec![class],
    };
    let zone = |name: &str| ZoneTopology { name: name.into(), region: "home".into() };
    Topology {
        controls: 1,
        zones: vec![zone("north"), zone("south")],
        leaf_processes: 2,
        zone_delay_ms: 0.0,
        region_delay_ms: 0.0,
        client_delay_ms: 0.0,
        journal: false,
        policy: PolicyTopology::Standard,
        connections_per_leaf: None,
        seed: 1,
        hollow: Some(HollowTopology { leaves: plan.leaves, shards: plan.shards }),
        services: vec![service],
    }
}
