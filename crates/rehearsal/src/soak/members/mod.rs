//! A soak of a group of control machines of which two may be lost: faults on these machines, drawn
//! from a seed, while an operator changes the configuration and the brokers are watched.

mod configuration;
mod group_record;
mod machines;
mod parties;
mod plan;
#[cfg(test)]
mod tests;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use tracing::info;

use super::REST_LIMIT;
use super::answer::SINGLE;
use super::fleet::SoakFleet;
use super::leaves::{Journal, StandInLeaf, serve_directory};
use crate::error::RehearsalError;
use crate::fleet::wait_until;
use group_record::{APPLY_LIMIT, RETURN_LIMIT};
use machines::MemberFleet;
use parties::{MemberCounts, Stage, await_return, look, operate, read, replace, watch};
use plan::{CATCH_UP, draw_round};

/// Fewest control machines of which two may be lost.
pub const LEAST_MACHINES: usize = 5;
/// Most control machines of a run.
pub const MOST_MACHINES: usize = 9;
/// Brokers.
const BROKERS: usize = 3;
/// Leaves of the service that the watched routes lead to.
const LEAVES: usize = 2;

/// What came out of a soak of control machines.
#[derive(Debug, Clone, Serialize)]
pub struct MembersSummary {
    /// The seed, by which the faults come again.
    pub seed: u64,
    /// Seconds of faults.
    pub seconds: u64,
    /// Control machines.
    pub controls: usize,
    /// Counts.
    pub counts: MemberCounts,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Runs a soak of `controls` control machines in a folder.
///
/// # Errors
/// A [`RehearsalError`] when the processes cannot be run.
pub fn soak_members(
    controls: usize,
    seed: u64,
    seconds: u64,
    folder: &Path,
) -> Result<MembersSummary, RehearsalError> {
    let mut random = Pcg64::seed_from_u64(seed);
    let replace_after_ms = random.random_range(1_500..=6_000);
    info!(event = "soak_started", seed, seconds, controls, replace_after_ms);
    let journal = Arc::new(Journal::default());
    let leaves = (0..LEAVES).map(|number| StandInLeaf::start(SINGLE, number, "a", &journal));
    let leaves = leaves.collect::<Result<Vec<_>, _>>()?;
    let directory = serve_directory(&leaves)?;
    let stage = Arc::new(Stage::default());
    let size = [controls, BROKERS];
    let mut fleet =
        MemberFleet::start(folder, directory.address, size, replace_after_ms, stage.clone())?;
    await_ready(&fleet, &stage)?;
    let mut threads = Vec::new();
    for (broker, address) in fleet.callers.iter().copied().enumerate() {
        let stage = stage.clone();
        threads.push(thread::spawn(move || watch(&stage, broker, address)));
    }
    let of_operator = stage.clone();
    threads.push(thread::spawn(move || operate(&of_operator, seed)));
    let end = Instant::now() + Duration::from_secs(seconds);
    let played = play_rounds(&mut fleet, &stage, &mut random, end);
    stage.end();
    for thread in threads {
        if thread.join().is_err() {
            stage.violation("a party of the soak panicked".to_owned());
        }
    }
    played?;
    check_at_rest(&fleet, &stage);
    let (counts, violations) = (*stage.counts(), stage.violations());
    Ok(MembersSummary { seed, seconds, controls, counts, violations })
}

/// Waits until a configuration is in force and each machine has had the time to become a voter.
fn await_ready(fleet: &MemberFleet, stage: &Stage) -> Result<(), RehearsalError> {
    let targets = stage.targets();
    let ready = wait_until(REST_LIMIT, || {
        replace(stage, targets[0])
            && targets.iter().all(|target| read(stage, *target).is_some())
            && fleet.readiness.iter().all(|address| SoakFleet::is_ready(*address))
    });
    if !ready {
        return Err(RehearsalError::NotReady("the group of control machines".to_owned()));
    }
    thread::sleep(CATCH_UP);
    Ok(())
}

/// Plays rounds of faults until `end`; after each, all machines have to be back.
fn play_rounds(
    fleet: &mut MemberFleet,
    stage: &Arc<Stage>,
    random: &mut Pcg64,
    end: Instant,
) -> Result<(), RehearsalError> {
    while Instant::now() < end && fleet.has_room() {
        let began = Instant::now();
        for timed in draw_round(&fleet.group(), random) {
            let due = began + timed.after;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            fleet.play(&timed.step)?;
        }
        stage.counts().rounds += 1;
        check_calm(fleet, stage, Instant::now());
    }
    Ok(())
}

/// Checks that each machine of a calm group gives the newest configuration in time.
fn check_calm(fleet: &mut MemberFleet, stage: &Arc<Stage>, calm_since: Instant) {
    let targets = stage.targets();
    let readers = targets.iter().map(|target| {
        let (stage, target) = (stage.clone(), *target);
        thread::spawn(move || await_return(&stage, target, calm_since, RETURN_LIMIT))
    });
    let readers: Vec<_> = readers.collect();
    for reader in readers {
        if reader.join().is_err() {
            stage.violation("a reader of the soak panicked".to_owned());
        }
    }
    for target in &targets {
        let fault = stage.record().fault_of_return(target.machine, calm_since);
        if let Some(fault) = fault {
            stage.violation(format!("{fault} ({})", fleet.describe(target.machine)));
        }
    }
    fleet.note_own_ends();
    let next = calm_since + CATCH_UP;
    thread::sleep(next.saturating_duration_since(Instant::now()));
}

/// Checks that the newest acknowledged configuration is read at each machine and served by each broker.
fn check_at_rest(fleet: &MemberFleet, stage: &Arc<Stage>) {
    let newest = stage.record().newest_acknowledged();
    for target in stage.targets() {
        let mut version = None;
        wait_until(RETURN_LIMIT, || {
            version = read(stage, target);
            version >= Some(newest)
        });
        let fault = stage.record().fault_of_last_read(target.machine, version);
        if let Some(fault) = fault {
            stage.violation(format!("{fault} ({})", fleet.describe(target.machine)));
        }
    }
    for (broker, address) in fleet.callers.iter().copied().enumerate() {
        wait_until(APPLY_LIMIT, || look(stage, broker, address, newest));
        let fault = stage.record().fault_of_last_look(broker);
        fault.into_iter().for_each(|fault| stage.violation(fault));
    }
}
