//! Command-line flags of the broker program.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gingerkeel-broker"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn version_is_printed() {
    let output = run(&["--version"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("gingerkeel-broker "));
}

#[test]
fn missing_settings_file_is_named_and_the_broker_does_not_start() {
    let output = run(&["--settings", "/does/not/exist.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/does/not/exist.toml"));
}
