//! Charges on real processes: what callers were answered is what operators are shown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use gingerkeel_rehearsal::check::Evidence;
use gingerkeel_rehearsal::fleet::{Binaries, Fleet, Signal, Topology, wait_until};
use gingerkeel_rehearsal::load::LoadRun;
use gingerkeel_rehearsal::record::CallerOutcome;

const TOPOLOGY: &str = r#"
controls = 3
leaf_processes = 2
zones = [{ name = "north", region = "home" }, { name = "south", region = "home" }]

[[services]]
name = "tickets"
brokers = 2
leaves = 2
shards = 1
replicas = 2
slots = 5
connections = 75
service_ms = 4.0
concurrency = 32
classes = [
    { name = "urgent", queue = 64, price = 8, deadline_ms = 5000, answer = "full", rate = 40.0 },
    { name = "whole", queue = 64, price = 3, deadline_ms = 5000, answer = "full", rate = 40.0 },
]
"#;
/// Prices of the classes above.
const PRICES: [(&str, u64); 2] = [("urgent", 8), ("whole", 3)];
/// Class of the one query that the launcher has each broker answer.
const PROBED: &str = "urgent";
const BROKERS: u64 = 2;
const SECONDS: f64 = 6.0;
/// Time for what has to come about; generous, as the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(30);

/// Answered queries and units of a class.
type Charges = BTreeMap<String, (u64, u64)>;

/// The rows of a look-up, without the heading; none while no control process answers.
fn rows(operators: &[SocketAddr], statement: &str) -> Option<Vec<Vec<String>>> {
    let mut command = Command::new(Binaries::find().expect("a folder").command_line());
    for operator in operators {
        command.args(["--control", &operator.to_string()]);
    }
    let output = command.arg(statement).output().expect("the command line starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let row = |line: &str| line.split_whitespace().map(str::to_owned).collect();
    output.status.success().then(|| text.lines().skip(1).map(row).collect())
}

fn charges(operators: &[SocketAddr]) -> Option<Charges> {
    let number = |cell: &String| cell.parse().expect("a number");
    let rows = rows(operators, "SHOW CHARGES")?;
    Some(rows.iter().map(|row| (row[2].clone(), (number(&row[3]), number(&row[4])))).collect())
}

/// Number of the control process that feeds a broker.
fn feeding_control(operators: &[SocketAddr], broker: &str) -> usize {
    let mut control = None;
    wait_until(PATIENCE, || {
        let brokers = rows(operators, "SHOW BROKERS").unwrap_or_default();
        let row = brokers.iter().find(|row| row[0] == broker);
        control = row.and_then(|row| row[3].strip_prefix("control-")?.parse().ok());
        control.is_some()
    });
    control.expect("the broker is fed")
}

#[test]
fn charges_are_the_answers_over_a_killed_control_process_and_planned_stops() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let topology: Topology = gingerkeel_settings::parse("topology", TOPOLOGY).expect("valid");
    let mut fleet = Fleet::launch(&topology, folder.path()).expect("the fleet starts");
    let operators = fleet.operators().to_owned();
    let load = LoadRun::start(&fleet.load_plan(SECONDS, 1), folder.path()).expect("load starts");
    sleep(Duration::from_secs(2));
    let before = charges(&operators).expect("a control process answers");
    let killed = feeding_control(&operators, "broker-0");
    fleet.signal_control(killed, Signal::KILL).expect("the control process runs");
    load.join();
    for index in 0..fleet.brokers().len() {
        fleet.signal_broker(index, Signal::TERM).expect("the broker runs");
        let mut ended = None;
        wait_until(PATIENCE, || {
            ended = fleet.broker_ended_well(index);
            ended.is_some()
        });
        assert_eq!(ended, Some(true), "the broker ends by itself, with success");
    }
    let mut shown = None;
    wait_until(PATIENCE, || {
        shown = charges(&operators);
        shown.is_some()
    });
    let shown = shown.expect("two control processes are a quorum");
    for (class, recorded) in &before {
        assert!(shown[class] >= *recorded, "{class}: {recorded:?} were recorded, now {shown:?}");
    }
    let evidence = Evidence::read(folder.path()).expect("records");
    for (class, price) in PRICES {
        let of_class = evidence.callers.iter().filter(|record| record.class == class);
        let probes = if class == PROBED { BROKERS } else { 0 };
        let answered = |record: &&_| is(record, CallerOutcome::Answered);
        let count = of_class.clone().filter(answered).count() as u64 + probes;
        let lost = [CallerOutcome::Cut, CallerOutcome::NeverAnswered];
        let lost = of_class.filter(|record| lost.contains(&record.outcome)).count();
        assert_eq!(lost, 0, "an answer that was given but lost would be charged too");
        assert!(count > 50, "{count} answers of {class} show little");
        assert_eq!(shown[class], (count, count * price), "{class}");
    }
    fleet.stop();
}

fn is(record: &gingerkeel_rehearsal::record::CallerRecord, outcome: CallerOutcome) -> bool {
    record.outcome == outcome
}
