//! The demonstration, as a newcomer runs it.

use std::process::Command;

use serde_json::Value;

#[test]
fn demonstration_ends_well_and_reports_as_json() {
    let output = Command::new(env!("CARGO_BIN_EXE_gingerkeel-rehearsal"))
        .args(["demo", "--seconds", "2"])
        .output()
        .expect("the program starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let text = String::from_utf8(output.stdout).expect("the report is text");
    let last = text.lines().last().expect("there is a report");
    let report: Value = serde_json::from_str(last).expect("the report is JSON");
    assert_eq!(report["violations"], 0, "{errors}");
    assert!(report["processes"].as_u64() >= Some(11), "{last}");
    assert!(report["answered"].as_u64() > Some(0), "{last}");
    for figure in
        ["refused_not_run", "outcome_unknown", "coverage_mean", "p50_ms", "p99_ms", "extra_load"]
    {
        assert!(report[figure].is_number(), "{figure} in {last}");
    }
}

#[test]
fn an_impossible_length_is_refused_with_a_remedy() {
    let output = Command::new(env!("CARGO_BIN_EXE_gingerkeel-rehearsal"))
        .args(["demo", "--seconds", "0"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--seconds"));
}
