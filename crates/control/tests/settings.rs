//! Invalid settings: the error names the file, field, value and remedy, and the process exits.

use std::fs;
use std::process::{Command, Output};

use rstest::rstest;

/// Valid settings.
const VALID: &str = "name = \"c1\"\noperators = \"127.0.0.1:0\"\nfeed = \"127.0.0.1:1\"\n\
                     data_folder = \"data\"\n";

fn run(text: &str, arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("control.toml");
    fs::write(&path, text).expect("the settings are written");
    Command::new(env!("CARGO_BIN_EXE_gingerkeel-control"))
        .arg("--settings")
        .arg(&path)
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn without(field: &str) -> Vec<&'static str> {
    VALID.lines().filter(|line| !line.starts_with(&format!("{field} ="))).collect()
}

/// Cases: a line that replaces the line of its field or is added, and the expected texts in the
/// error.
#[rstest]
#[case::name("name = \"c 1\"", &["field name", "`c 1`", "use a letter"])]
#[case::operators("operators = \"here\"", &["operators", "here", "correct the field"])]
#[case::feed("feed = 7", &["feed", "7", "correct the field"])]
#[case::same_address("feed = \"127.0.0.1:0\"", &["field feed", "`127.0.0.1:0`", "another address"])]
#[case::data_folder("data_folder = 3", &["data_folder", "3", "correct the field"])]
#[case::unknown_field("colour = \"red\"", &["colour", "unknown field", "correct the field"])]
#[case::not_toml("name = ", &["line 1", "correct the field"])]
fn invalid_field_is_named_with_its_value_and_the_remedy(
    #[case] line: &str,
    #[case] expected: &[&str],
) {
    let field = line.split(" =").next().unwrap_or_default();
    let text = std::iter::once(line).chain(without(field)).collect::<Vec<_>>().join("\n");
    assert_refused(&run(&text, &[]), expected);
}

#[rstest]
fn missing_field_is_named(#[values("name", "operators", "feed", "data_folder")] field: &str) {
    let output = run(&without(field).join("\n"), &[]);
    assert_refused(&output, &["missing field", field, "correct the field"]);
}

#[test]
fn valid_settings_are_checked_without_starting() {
    let output = run(VALID, &["--check-settings"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("settings are valid"));
    assert_eq!(output.stderr, b"");
}

fn assert_refused(output: &Output, expected: &[&str]) {
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for text in ["control.toml"].iter().chain(expected) {
        assert!(errors.contains(text), "no '{text}' in: {errors}");
    }
    assert!(!errors.contains("event=started"), "{errors}");
    assert_eq!(output.stdout, b"");
}
