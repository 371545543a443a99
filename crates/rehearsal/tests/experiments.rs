//! Experiment files: those of the repository are valid, and a small one runs to its end.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use gingerkeel_rehearsal::experiment::ExperimentSettings;
use rstest::rstest;
use serde_json::Value;

/// Two shards of two replicas, one leaf slow; short.
const SMALL: &str = r#"
name = "small"
question = "does it run"
seconds = 1.0
warm_up_seconds = 0.3
loads = [1.0, 2.0]
slow_leaves = { one_in = 4, factor = 5.0 }

[topology]
leaf_processes = 2
zones = [{ name = "north", region = "home" }]

[[topology.services]]
name = "tickets"
brokers = 1
leaves = 4
shards = 2
replicas = 2
slots = 5
connections = 75
service_ms = 2.0
concurrency = 32
classes = [
    { name = "urgent", queue = 64, price = 8, deadline_ms = 1500, answer = "full", rate = 40.0 },
]
"#;

fn run(file: &Path, more: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gingerkeel-rehearsal"))
        .arg("run")
        .arg(file)
        .args(more)
        .output()
        .expect("the program starts")
}

#[test]
fn every_experiment_of_the_repository_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the folder of experiments")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    assert!(files.len() >= 4, "{files:?}");
    for file in files {
        gingerkeel_settings::load::<ExperimentSettings>(&file)
            .unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn an_experiment_measures_both_policies_and_writes_a_page() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("small.toml");
    fs::write(&file, SMALL).expect("the file");
    let output = folder.path().join("out");
    let ended = run(&file, &["--baseline", "--output", output.to_str().expect("text")]);
    assert!(ended.status.success(), "{}", String::from_utf8_lossy(&ended.stderr));
    let summary = fs::read_to_string(output.join("summary.json")).expect("the summary");
    let summary: Value = serde_json::from_str(&summary).expect("JSON");
    let runs = summary["runs"].as_array().expect("the runs");
    let policies: Vec<_> = runs.iter().map(|run| run["policy"].as_str()).collect();
    let (standard, baseline) = (Some("standard"), Some("baseline"));
    assert_eq!(policies, [standard, baseline, standard, baseline]);
    for run in runs {
        assert_eq!(run["violations"], 0, "{run}");
        let class = &run["classes"]["tickets/urgent"];
        assert!(class["answered"].as_u64() > Some(0), "{run}");
    }
    assert_eq!(summary["ratios"].as_array().map(Vec::len), Some(2));
    assert_eq!(runs[1]["extra_load"], 0.0, "the baseline sends nothing twice");
    let page = fs::read_to_string(output.join("report.html")).expect("the page");
    assert_eq!(page.matches("<svg").count(), 8, "a plot for each run and four over the load");
}

#[rstest]
#[case::no_load("loads = [1.0, 2.0]", "loads = []", "loads")]
#[case::slow_factor("factor = 5.0", "factor = 0.5", "slow_leaves.factor")]
#[case::seconds("seconds = 1.0", "seconds = 0.0", "seconds")]
fn a_wrong_file_is_refused_by_field(#[case] good: &str, #[case] bad: &str, #[case] field: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("bad.toml");
    fs::write(&file, SMALL.replacen(good, bad, 1)).expect("the file");
    let ended = run(&file, &[]);
    assert_eq!(ended.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ended.stderr).contains(field));
}
