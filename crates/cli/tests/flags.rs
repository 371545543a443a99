//! Command-line flags and exit codes.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gingerkeel"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn help_lists_the_statements() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("DRAIN"));
}

#[test]
fn no_control_process_named_is_a_usage_error() {
    let output = run(&["SHOW STATUS"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--control"));
}

#[test]
fn unreachable_control_process_has_a_distinct_exit_code() {
    let output = run(&["--control", "127.0.0.1:1", "SHOW STATUS"]);
    assert_eq!(output.status.code(), Some(3));
}
