//! Measures the replicated log: commit latency and throughput against voters, and recovery time
//! against the length of the log. Prints one line of JSON for each measurement.
//!
//! Members are threads of this process, each with a reactor, a data folder and loopback
//! connections of its own.

mod client;
mod member;

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use gumdrop::Options;
use serde::Serialize;
use tempfile::TempDir;

use crate::error::RehearsalError;
use client::Load;
use member::{Group, MemberRun, run_member};

/// Voters of the runs.
const VOTERS: [usize; 3] = [1, 3, 5];
/// Lengths of the log in the runs of recovery.
const LOG_LENGTHS: [u64; 3] = [100, 1_000, 10_000];
/// Commands that are on their way at once when throughput is measured.
const CONCURRENCY: u64 = 64;
/// Time that one run may take.
const RUN_LIMIT: Duration = Duration::from_secs(120);
/// More than any log's length.
const NO_SNAPSHOT: u64 = u64::MAX / 2;

/// Flags of the measurement.
#[derive(Debug, Options)]
pub struct BenchConsensusFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "commands, one after the other", default = "300", meta = "COUNT")]
    latency_commands: u64,
    #[options(help = "commands, 64 at a time", default = "10000", meta = "COUNT")]
    throughput_commands: u64,
}

/// Commit latency and throughput.
#[derive(Debug, Serialize)]
struct CommitReport {
    measure: &'static str,
    voters: usize,
    commands: u64,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    concurrency: u64,
    commands_per_second: f64,
}

/// Recovery time.
#[derive(Debug, Serialize)]
struct RecoveryReport {
    measure: &'static str,
    log_length: u64,
    snapshot: bool,
    recovery_ms: f64,
    words: usize,
}

/// Runs all measurements.
///
/// # Errors
/// A [`RehearsalError`] when a member does not start or answer.
pub fn run(flags: BenchConsensusFlags) -> Result<(), RehearsalError> {
    let load = Load {
        latency_commands: flags.latency_commands,
        throughput_commands: flags.throughput_commands,
        concurrency: CONCURRENCY,
    };
    for voters in VOTERS {
        print_line(&measure_commits(voters, load)?);
    }
    for length in LOG_LENGTHS {
        for snapshot in [false, true] {
            print_line(&measure_recovery(length, snapshot)?);
        }
    }
    Ok(())
}

fn print_line(report: &impl Serialize) {
    println!("{}", serde_json::to_string(report).expect("a report can be written as JSON"));
}

fn measure_commits(voters: usize, load: Load) -> Result<CommitReport, RehearsalError> {
    let group = Arc::new(Group::new(voters, NO_SNAPSHOT)?);
    let (results, received) = channel();
    let threads: Vec<_> = (0..voters)
        .map(|index| {
            let (group, results) = (group.clone(), results.clone());
            thread::spawn(move || {
                let outcome = run_member(&group, index, MemberRun::Load(load));
                // The receiver has what it waits for after the first.
                let _ = results.send(outcome);
            })
        })
        .collect();
    let outcome = received.recv_timeout(RUN_LIMIT);
    group.stop();
    for thread in threads {
        // A thread that panicked has printed why.
        let _ = thread.join();
    }
    let result = outcome.map_err(|_| RehearsalError::NotReady("the replicated log".into()))??;
    let latency = &result.latency;
    let millis = |micros: u64| micros as f64 / 1_000.0;
    Ok(CommitReport {
        measure: "commit",
        voters,
        commands: latency.len(),
        p50_ms: millis(latency.value_at_quantile(0.5)),
        p99_ms: millis(latency.value_at_quantile(0.99)),
        max_ms: millis(latency.max()),
        concurrency: load.concurrency,
        commands_per_second: result.commands_per_second,
    })
}

fn measure_recovery(length: u64, snapshot: bool) -> Result<RecoveryReport, RehearsalError> {
    let interval = if snapshot { length } else { NO_SNAPSHOT };
    let group = Group::new(1, interval)?;
    let load = Load { latency_commands: 1, throughput_commands: length, concurrency: CONCURRENCY };
    run_member(&group, 0, MemberRun::Load(load))?;
    let result = run_member(&group, 0, MemberRun::Recover)?;
    Ok(RecoveryReport {
        measure: "recovery",
        log_length: length,
        snapshot,
        recovery_ms: result.elapsed.as_secs_f64() * 1_000.0,
        words: result.words,
    })
}

/// A temporary folder.
fn folder() -> Result<TempDir, RehearsalError> {
    TempDir::new().map_err(|error| RehearsalError::resource("temporary folder", error))
}

/// Time since `start`.
fn since(start: Instant) -> Duration {
    start.elapsed()
}
