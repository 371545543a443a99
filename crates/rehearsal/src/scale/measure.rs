//! One size of a scale run.

use std::fs;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::SizePlan;
use super::accepted::AcceptedTimes;
use super::applied::{AppliedLogs, InForce, OrderedChange};
use super::feed_bytes::FeedBytes;
use super::fleet::{start_hollow, topology};
use super::reading::{ControlReading, PhaseReport, Reading, RoleReport, by_role, phase};
use crate::clock;
use crate::error::RehearsalError;
use crate::fleet::{Fleet, ManagedProcess, Signal, wait_until};
use crate::process_usage::ProcessUsage;
use crate::relay::Relay;

/// Time within which all hollow brokers have to hold the catalog, and the last change.
const CATCH_UP_TIME: Duration = Duration::from_secs(60);
/// Leaf of the real service whose state the changes turn over.
const CHANGED_LEAF: u32 = 2;
/// Changes that are made while a control process is frozen, at most.
const FROZEN_CHANGES: u32 = 10;
/// Time that the lists of brokers have to spread before the idle time is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which all feeds are cut.
const CUT_TIME: Duration = Duration::from_secs(4);

/// What one size gave.
#[derive(Debug, Clone, Serialize)]
pub struct SizeReport {
    kind: &'static str,
    /// Control processes.
    pub controls: u32,
    /// Hollow brokers; one real broker follows besides.
    pub brokers: u32,
    leaves: u32,
    start: StartReport,
    /// Without changes.
    pub idle: PhaseReport,
    /// The stream of changes.
    pub changes: PhaseReport,
    change_count: u32,
    /// The control processes by role.
    pub roles: Vec<RoleReport>,
    /// Processor milliseconds of all control processes for one change, to all brokers.
    pub control_cpu_ms_per_change: f64,
    /// Processor milliseconds of one hollow broker for one change.
    pub hollow_cpu_ms_per_change: f64,
    /// Processor milliseconds of the real broker for one change.
    pub broker_cpu_ms_per_change: f64,
    /// Bytes from control to one broker for one change.
    pub bytes_per_change: f64,
    /// Milliseconds from the start of the operator's command until a change was in force.
    pub in_force_ms: InForce,
    /// The same from when it was accepted.
    pub accepted_to_in_force_ms: InForce,
    brokers_with_every_change: u32,
    /// The same with the leader frozen; none with fewer than three control processes.
    pub frozen: Option<FrozenReport>,
    /// All brokers at once after a cut.
    pub healed: HealReport,
    /// Resident bytes of a control process on the mean.
    pub control_resident_bytes: f64,
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

/// Changes while the leader is frozen.
#[derive(Debug, Clone, Serialize)]
pub struct FrozenReport {
    changes: u32,
    /// Milliseconds from the start of the operator's command until a change was in force.
    pub in_force_ms: InForce,
    /// The same from when it was accepted.
    pub accepted_to_in_force_ms: InForce,
}

/// The end of a cut of all feeds, during which one change was made.
#[derive(Debug, Clone, Serialize)]
pub struct HealReport {
    cut_seconds: f64,
    /// Milliseconds from the end of the cut until the change was in force.
    pub in_force_ms: InForce,
    /// Bytes for each broker from the end of the cut until the change was in force everywhere.
    pub bytes_per_broker: FeedBytes,
    /// Processor milliseconds of all control processes in that time, for each broker.
    pub control_cpu_ms_per_broker: f64,
}

/// The processes of one size.
struct Size {
    plan: SizePlan,
    fleet: Fleet,
    relays: Vec<Relay>,
    hollow: Vec<ManagedProcess>,
    applied: AppliedLogs,
}

/// Runs one size.
///
/// # Errors
/// A [`RehearsalError`] when a process does not start, ends, or a change does not come into force.
pub fn run(plan: &SizePlan, folder: &Path) -> Result<SizeReport, RehearsalError> {
    let resource = |error| RehearsalError::resource(folder.display(), error);
    fs::create_dir_all(folder).map_err(resource)?;
    let fleet = Fleet::launch(&topology(plan), folder)?;
    let relays: Vec<Relay> =
        fleet.feeds().iter().map(|feed| Relay::start(*feed)).collect::<Result<_, _>>()?;
    let mut size = Size {
        plan: *plan,
        fleet,
        relays,
        hollow: Vec::new(),
        applied: AppliedLogs::new(Vec::new()),
    };
    let before = size.read()?;
    let addresses: Vec<_> = size.relays.iter().map(Relay::address).collect();
    let started = start_hollow(plan, &addresses, folder)?;
    size.hollow = started.processes;
    size.applied = AppliedLogs::new(started.logs);
    size.await_revision(0)?;
    let start_report = size.start_report(&before)?;
    size.measure(start_report)
}

impl Size {
    fn measure(&mut self, start: StartReport) -> Result<SizeReport, RehearsalError> {
        sleep(SETTLE_TIME);
        let before_idle = self.read()?;
        sleep(Duration::from_secs_f64(self.plan.idle_seconds));
        let before_changes = self.read()?;
        let ordered = self.change(self.plan.changes)?;
        let after = self.read()?;
        let roles = by_role([&before_idle, &before_changes, &after], self.leader());
        let brokers = f64::from(self.plan.brokers());
        let count = f64::from(self.plan.changes);
        let milliseconds = |before: f64, after: f64| (after - before) * 1000.0 / count;
        let cpu = |usage: &ProcessUsage| usage.cpu_seconds;
        let in_force_ms = self.applied.in_force(&ordered);
        let accepted_to_in_force_ms = self.applied.in_force(&self.accepted(&ordered));
        let brokers_with_every_change = self.applied.brokers_with_every(&ordered);
        let frozen = (self.plan.controls >= 3).then(|| self.freeze()).transpose()?;
        let healed = self.cut_and_heal()?;
        Ok(SizeReport {
            kind: "scale",
            controls: self.plan.controls,
            brokers: self.plan.brokers(),
            leaves: self.plan.leaves,
            start,
            idle: phase(&before_idle, &before_changes, brokers),
            changes: phase(&before_changes, &after, brokers),
            change_count: self.plan.changes,
            roles,
            control_cpu_ms_per_change: milliseconds(
                before_changes.control_cpu_seconds(),
                after.control_cpu_seconds(),
            ),
            hollow_cpu_ms_per_change: milliseconds(cpu(&before_changes.hollow), cpu(&after.hollow))
                / brokers,
            broker_cpu_ms_per_change: milliseconds(cpu(&before_changes.broker), cpu(&after.broker)),
            bytes_per_change: (after.bytes_down() - before_changes.bytes_down()) / count / brokers,
            in_force_ms,
            accepted_to_in_force_ms,
            brokers_with_every_change,
            frozen,
            healed,
            control_resident_bytes: after.control_resident_bytes(),
            hollow_resident_bytes: after.hollow.resident_bytes,
            broker_resident_bytes: after.broker.resident_bytes,
        })
    }

    fn read(&self) -> Result<Reading, RehearsalError> {
        let control = |index| -> Result<ControlReading, RehearsalError> {
            let usage = self.fleet.control_usage(index)?;
            Ok(ControlReading { usage, peer_bytes: self.fleet.peer_bytes(index) })
        };
        let controls = 0..self.plan.controls as usize;
        Ok(Reading {
            at: Instant::now(),
            controls: controls.map(control).collect::<Result<_, _>>()?,
            hollow: self.hollow_usage()?,
            broker: self.fleet.broker_usage(0)?,
            relayed: self.relays.iter().map(Relay::bytes).collect(),
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

    fn start_report(&self, before: &Reading) -> Result<StartReport, RehearsalError> {
        let now = self.read()?;
        let brokers = f64::from(self.plan.brokers());
        let control = now.control_cpu_seconds() - before.control_cpu_seconds();
        Ok(StartReport {
            seconds_until_all_hold_the_catalog: now.at.duration_since(before.at).as_secs_f64(),
            full_copy_bytes_per_broker: now.feed_bytes().full_copies / brokers,
            control_cpu_ms_per_broker: control * 1000.0 / brokers,
            hollow_cpu_ms_per_broker: now.hollow.cpu_seconds * 1000.0 / brokers,
        })
    }

    /// Orders changes at their times and waits until all are in force.
    fn change(&mut self, count: u32) -> Result<Vec<OrderedChange>, RehearsalError> {
        self.applied.read()?;
        let base = self.applied.newest_revision();
        let interval = Duration::from_secs_f64(1.0 / self.plan.rate);
        let start = Instant::now();
        let mut ordered = Vec::new();
        for number in 0..count {
            sleep((start + interval * number).saturating_duration_since(Instant::now()));
            ordered.push(self.order(base + 1 + u64::from(number))?);
        }
        self.await_revision(base + u64::from(count))?;
        Ok(ordered)
    }

    /// Orders the change that gives a revision.
    fn order(&mut self, revision: u64) -> Result<OrderedChange, RehearsalError> {
        let verb = if revision.is_multiple_of(2) { "DRAIN" } else { "RESUME" };
        let at = clock::now();
        self.fleet.execute(&format!("{verb} LEAF {CHANGED_LEAF}"))?;
        Ok(OrderedChange { at, revision })
    }

    /// Freezes the leader, makes changes, and lets it go on.
    fn freeze(&mut self) -> Result<FrozenReport, RehearsalError> {
        let leader = self.leader().ok_or_else(|| RehearsalError::NotReady("a leader".into()))?;
        self.fleet.ask_control(leader + 1);
        self.fleet.signal_control(leader, Signal::STOP)?;
        let changes = self.plan.changes.min(FROZEN_CHANGES);
        let ordered = self.change(changes);
        self.fleet.signal_control(leader, Signal::CONT)?;
        let ordered = ordered?;
        Ok(FrozenReport {
            changes,
            in_force_ms: self.applied.in_force(&ordered),
            accepted_to_in_force_ms: self.applied.in_force(&self.accepted(&ordered)),
        })
    }

    /// Cuts all feeds of hollow brokers, makes one change, and heals the cut.
    fn cut_and_heal(&mut self) -> Result<HealReport, RehearsalError> {
        self.applied.read()?;
        let revision = self.applied.newest_revision() + 1;
        self.relays.iter().for_each(Relay::cut);
        sleep(CUT_TIME / 2);
        self.order(revision)?;
        sleep(CUT_TIME / 2);
        let before = self.read()?;
        let healed = OrderedChange { at: clock::now(), revision };
        self.relays.iter().for_each(Relay::heal);
        self.await_revision(revision)?;
        let after = self.read()?;
        let brokers = f64::from(self.plan.brokers());
        let control = after.control_cpu_seconds() - before.control_cpu_seconds();
        Ok(HealReport {
            cut_seconds: CUT_TIME.as_secs_f64(),
            in_force_ms: self.applied.in_force(&[healed]),
            bytes_per_broker: after.feed_bytes().since(&before.feed_bytes(), brokers),
            control_cpu_ms_per_broker: control * 1000.0 / brokers,
        })
    }

    /// The changes with when they were accepted, as far as the logs tell it.
    fn accepted(&self, ordered: &[OrderedChange]) -> Vec<OrderedChange> {
        let times = AcceptedTimes::read(self.fleet.folder(), self.plan.controls);
        let accepted = ordered.iter().filter_map(|change| {
            let at = times.of(change.revision)?;
            Some(OrderedChange { at, ..*change })
        });
        accepted.collect()
    }

    fn leader(&self) -> Option<usize> {
        self.fleet.leading_control()
    }

    /// Waits until every hollow broker has a revision, or a later one, in force.
    fn await_revision(&mut self, revision: u64) -> Result<(), RehearsalError> {
        let mut failure = None;
        let brokers = self.plan.brokers();
        let ready = wait_until(CATCH_UP_TIME, || {
            failure = self.hollow.iter_mut().find_map(|process| process.check_running().err());
            failure = failure.take().or_else(|| self.applied.read().err());
            failure.is_some() || self.applied.brokers_at(revision) == brokers
        });
        match failure {
            Some(error) => Err(error),
            None if ready => Ok(()),
            None => Err(RehearsalError::NotReady(format!("revision {revision} at all brokers"))),
        }
    }
}
