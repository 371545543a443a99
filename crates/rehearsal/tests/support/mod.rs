//! A small fleet under load, disturbed by a test and judged by the outside checker.
#![allow(dead_code)]

use std::thread::sleep;
use std::time::Duration;

use gingerkeel_rehearsal::check::{CheckSettings, Evidence, Summary, check};
use gingerkeel_rehearsal::clock::{self, Microseconds};
use gingerkeel_rehearsal::error::RehearsalError;
use gingerkeel_rehearsal::fleet::{Fleet, Topology};
use gingerkeel_rehearsal::load::LoadRun;
use gingerkeel_rehearsal::record::CallerOutcome;
use tempfile::TempDir;

/// Three shards of two replicas, each leaf a process of its own; both answer policies.
const TOPOLOGY: &str = r#"
leaf_processes = 6
zones = [{ name = "north", region = "home" }, { name = "south", region = "home" }]

[[services]]
name = "tickets"
brokers = 2
leaves = 6
shards = 3
replicas = 2
slots = 5
connections = 75
service_ms = 4.0
concurrency = 32
classes = [
    { name = "urgent", queue = 64, price = 8, deadline_ms = 1500, answer = { partial_after_ms = 500 }, rate = 40.0, not_repeatable_share = 0.2 },
    { name = "whole", queue = 64, price = 1, deadline_ms = 2000, answer = "full", rate = 40.0 },
]
"#;
/// Load before a disturbance.
const SETTLED: Duration = Duration::from_millis(700);

/// Service of the fleet.
pub const SERVICE: &str = "tickets";

/// What a disturbed run left behind.
pub struct Outcome {
    /// All records.
    pub evidence: Evidence,
    /// Figures over them.
    pub summary: Summary,
    /// Brokers that did not end by themselves.
    pub unfinished: Vec<String>,
    disturbed: Microseconds,
    folder: TempDir,
}

impl Outcome {
    /// Fails unless every promise was kept, each broker ended as planned, and queries that were
    /// sent after the disturbance were answered too.
    pub fn assert_promises_kept(&self) {
        let violations = check(&self.evidence, &CheckSettings::default());
        assert_eq!(violations, Vec::new(), "records in {}", self.folder.path().display());
        assert_eq!(self.unfinished, Vec::<String>::new());
        let answered = |record: &&_| is_answered(record);
        let last =
            self.evidence.callers.iter().filter(answered).map(|record| record.intended).max();
        assert!(last > Some(self.disturbed), "nothing was answered after the disturbance");
    }

    /// Fails when a query has no outcome from a broker.
    pub fn assert_every_query_has_an_outcome(&self) {
        assert_eq!(self.summary.total.without_outcome, 0, "{:?}", self.summary.total);
    }

    /// Snapshots of the answers, each once, in order.
    pub fn snapshots(&self) -> Vec<String> {
        let answers = self.evidence.callers.iter().filter(|record| is_answered(record));
        let mut snapshots: Vec<String> =
            answers.filter_map(|record| record.snapshot.clone()).collect();
        snapshots.sort();
        snapshots.dedup();
        snapshots
    }
}

fn is_answered(record: &gingerkeel_rehearsal::record::CallerRecord) -> bool {
    record.outcome == CallerOutcome::Answered
}

/// Puts load on a fleet for `seconds`, disturbs it once it has settled, and collects the records.
pub fn rehearse(
    seconds: f64,
    disturb: impl FnOnce(&mut Fleet) -> Result<(), RehearsalError>,
) -> Outcome {
    run(TOPOLOGY, seconds, disturb).unwrap_or_else(|error| panic!("{error}"))
}

/// The same on a fleet of several control processes with relays between them.
pub fn rehearse_with_controls(
    controls: usize,
    seconds: f64,
    disturb: impl FnOnce(&mut Fleet) -> Result<(), RehearsalError>,
) -> Outcome {
    let topology = format!("controls = {controls}\nrelay_peers = true\n{TOPOLOGY}");
    run(&topology, seconds, disturb).unwrap_or_else(|error| panic!("{error}"))
}

fn run(
    topology: &str,
    seconds: f64,
    disturb: impl FnOnce(&mut Fleet) -> Result<(), RehearsalError>,
) -> Result<Outcome, RehearsalError> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let topology: Topology = gingerkeel_settings::parse("topology", topology)?;
    let mut fleet = Fleet::launch(&topology, folder.path())?;
    let load = LoadRun::start(&fleet.load_plan(seconds, 1), folder.path())?;
    sleep(SETTLED);
    disturb(&mut fleet)?;
    let disturbed = clock::now();
    load.join();
    let unfinished = fleet.stop();
    let evidence = Evidence::read(folder.path())?;
    let summary = Summary::new(&evidence);
    Ok(Outcome { evidence, summary, unfinished, disturbed, folder })
}
