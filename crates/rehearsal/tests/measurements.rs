//! Measurements as commands: what they print, and which flags they refuse.

use std::process::{Command, Output};

use rstest::rstest;
use serde_json::Value;

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
fn changes_on_a_control_process_grow_its_folder_and_it_comes_back() {
    let flags = ["--changes", "60", "--leaves", "20", "--shards", "2"];
    let reports = reports(&[&["bench", "control-log"], &flags[..]].concat());
    let report = &reports[0];
    let bytes = |name: &str| report[name].as_u64().expect("bytes");
    assert!(bytes("folder_bytes_after") > bytes("folder_bytes_before"), "{report}");
    assert!(bytes("log_bytes") > 60 * 10, "{report}");
    assert!(report["restart_ms"].as_f64() > Some(0.0), "{report}");
}

#[rstest]
#[case::rate(&["bench", "broker", "--rates", "fast"], "--rates")]
#[case::rate_too_high(&["bench", "broker", "--rates", "100000"], "--rates")]
#[case::seconds(&["bench", "broker", "--seconds", "0"], "--seconds")]
#[case::sizes(&["bench", "subsetting", "--sizes", "5"], "--sizes")]
#[case::log_changes(&["bench", "control-log", "--changes", "0"], "--changes")]
#[case::no_measurement(&["bench"], "bench --help")]
fn impossible_flags_are_refused_with_a_remedy(#[case] arguments: &[&str], #[case] named: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains(named));
}
