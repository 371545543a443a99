//! Measurements as commands: what they print, and which flags they refuse.

use std::process::{Command, Output};

use rstest::rstest;
use serde_json::{Value, json};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gingerkeel-rehearsal"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

/// The JSON lines of a run that has to succeed.
fn reports(arguments: &[&str]) -> Vec<Value> {
    let output = run(arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("the reports are text");
    text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
}

#[test]
fn a_broker_under_load_is_measured() {
    let flags = ["--rates", "20,40", "--seconds", "1", "--fan-out", "3", "--service-ms", "1"];
    let reports = reports(&[&["bench", "broker"], &flags[..], &["--skip-memory"]].concat());
    assert_eq!(reports.len(), 2);
    for report in reports {
        assert_eq!(report["kind"], "load");
        assert!(report["answered"].as_u64() > Some(0), "{report}");
        assert_eq!(report["coverage_mean"], 1.0, "{report}");
        let leaf_requests = report["leaf_requests_per_second"].as_f64();
        assert!(leaf_requests > report["queries_per_second"].as_f64(), "{report}");
        let latency = report["latency_ms"]["p50"].as_f64();
        assert!(latency > report["added_latency_ms"]["p50"].as_f64(), "{report}");
        assert!(report["resident_bytes"].as_u64() > Some(0), "{report}");
    }
}

#[test]
fn subsets_at_a_small_size_are_counted() {
    let reports = reports(&["bench", "subsetting", "--sizes", "100:530", "--shards", "53"]);
    let report = &reports[0];
    // Of 10 replicas a broker holds 0.9 * limit * 10 / 100: 6, 5, 9 and 8 for the four limits, of
    // which the 53 shards have 14, 13, 13 and 13.
    assert_eq!(report["leaves_per_broker"]["least"], 370, "{report}");
    assert_eq!(report["leaves_per_broker"]["most"], 370, "{report}");
    let limits = report["limits"].as_array().expect("the limits");
    assert_eq!(limits.len(), 4);
    for limit in limits {
        assert_eq!(limit["leaves_over_limit"], 0, "{report}");
    }
    for moved in ["moved_when_brokers_leave", "moved_when_leaves_leave"] {
        assert!(report[moved].as_f64() < Some(0.1), "{report}");
    }
}

#[test]
fn a_scale_run_brings_every_change_into_force() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let output = folder.path().to_str().expect("a path of text");
    let flags = ["--brokers", "1,3", "--leaves", "20", "--shards", "2", "--changes", "4"];
    let times = ["--per-process", "2", "--rate", "10", "--idle-seconds", "0.5", "--output", output];
    let reports = reports(&[&["scale"], &flags[..], &times[..]].concat());
    assert_eq!(reports.len(), 3, "one line for each size and one for the slopes");
    assert!(reports.iter().all(|report| report["frozen"].is_null()), "no quorum to lose");
    for (report, brokers) in reports.iter().zip([1, 3]) {
        assert_eq!(report["brokers"], brokers);
        assert_eq!(report["brokers_with_every_change"], brokers, "{report}");
        assert!(report["bytes_per_change"].as_f64() > Some(0.0), "{report}");
    }
    let page = std::fs::read_to_string(folder.path().join("report.html")).expect("the page");
    assert_eq!(page.matches("<svg").count(), 3, "three plots");
    assert!(folder.path().join("summary.json").exists());
}

#[test]
fn changes_on_a_control_process_grow_its_folder_and_it_comes_back() {
    let flags = ["--changes", "60", "--leaves", "20", "--shards", "2"];
    let reports = reports(&[&["bench", "control-log"], &flags[..]].concat());
    let report = &reports[0];
    let bytes = |name: &str| report[name].as_u64().expect("bytes");
    assert!(bytes("folder_bytes_after") > bytes("folder_bytes_before"), "{report}");
    assert!(bytes("log_bytes") > 60 * 10, "{report}");
    assert!(report["restart_ms"].as_f64() > Some(0.0), "{report}");
}

#[test]
fn a_scale_run_on_several_control_processes_tells_roles_and_survives_a_frozen_leader() {
    let flags = ["--controls", "3", "--brokers", "1", "--leaves", "20", "--shards", "2"];
    let times = ["--changes", "4", "--rate", "10", "--idle-seconds", "1"];
    let reports = reports(&[&["scale"], &flags[..], &times[..]].concat());
    let report = &reports[0];
    assert_eq!(report["brokers"], 3);
    assert_eq!(report["brokers_with_every_change"], 3, "{report}");
    let roles = report["roles"].as_array().expect("the roles");
    let named: Vec<_> = roles.iter().map(|role| (&role["role"], &role["processes"])).collect();
    assert_eq!(named, [(&json!("leader"), &json!(1)), (&json!("follower"), &json!(2))]);
    let leader_sends = roles[0]["changes_peer_bytes_per_second"].as_f64();
    assert!(leader_sends > Some(0.0), "{report}");
    assert_eq!(report["frozen"]["changes"], 4, "{report}");
    assert!(report["frozen"]["in_force_ms"]["p100"].as_f64() > Some(0.0), "{report}");
    for part in [report, &report["frozen"]] {
        let accepted = part["accepted_to_in_force_ms"]["p50"].as_f64();
        assert!(accepted > Some(0.0), "{report}");
        assert!(accepted <= part["in_force_ms"]["p50"].as_f64(), "{report}");
    }
    let healed = &report["healed"]["bytes_per_broker"];
    assert!(healed["subscriptions"].as_f64() > Some(0.0), "{report}");
    assert!(report["idle"]["feed_bytes_per_second"]["leases"].as_f64() > Some(0.0), "{report}");
    let changes = &report["changes"]["feed_bytes_per_second"];
    let down = [
        "full_copies",
        "deltas",
        "leases",
        "broker_list",
        "leaving",
        "charge_receipts",
        "thresholds",
    ];
    let sum: f64 = down.iter().filter_map(|kind| changes[*kind].as_f64()).sum();
    let all = report["changes"]["bytes_per_second_to_broker"].as_f64().expect("a rate");
    assert!((sum - all).abs() < 0.01 * all, "every byte has a purpose: {report}");
}

#[rstest]
#[case::rate(&["bench", "broker", "--rates", "fast"], "--rates")]
#[case::rate_too_high(&["bench", "broker", "--rates", "100000"], "--rates")]
#[case::seconds(&["bench", "broker", "--seconds", "0"], "--seconds")]
#[case::sizes(&["bench", "subsetting", "--sizes", "5"], "--sizes")]
#[case::brokers(&["scale", "--brokers", "0"], "--brokers")]
#[case::log_changes(&["bench", "control-log", "--changes", "0"], "--changes")]
#[case::controls(&["scale", "--controls", "17"], "--controls")]
#[case::changes(&["scale", "--changes", "100000"], "--changes")]
#[case::no_measurement(&["bench"], "bench --help")]
fn impossible_flags_are_refused_with_a_remedy(#[case] arguments: &[&str], #[case] named: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains(named));
}
