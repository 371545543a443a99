//! Execution of statements by the command-line client on a control process.

mod support;

use std::fs;
use std::net::{SocketAddr, TcpListener};

use support::{LosingRelay, run, shell, start_control, stderr, stdout};

const DEFINE: &str = "DEFINE CALLER portal BUDGET 10 BURST 20";

/// A loopback address without a listener.
fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn lost_answer_is_asked_for_again_and_the_change_made_once() {
    let process = start_control();
    let control = process.address;
    let relay = LosingRelay::start(control);
    let output = run(&[relay.address, control], &[DEFINE]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "accepted at revision 1\n");
    assert_eq!(relay.lost(), 1);
    assert!(stdout(&run(&[control], &["SHOW CHANGES"])).lines().count() == 2);
}

#[test]
fn change_is_executed_once_after_two_lost_responses() {
    let process = start_control();
    let control = process.address;
    let relays = [LosingRelay::start(control), LosingRelay::start(control)];
    let output = run(&[relays[0].address, relays[1].address, control], &[DEFINE]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "accepted at revision 1\n");
    assert!(relays.iter().all(|relay| relay.lost() >= 1));
    assert!(stdout(&run(&[control], &["SHOW CHANGES"])).lines().count() == 2);
}

#[test]
fn next_control_process_is_tried_if_one_is_down() {
    let process = start_control();
    let control = process.address;
    let output = run(&[dead_address(), control], &[DEFINE]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn error_on_unknown_outcome_contains_the_flags_for_a_retry() {
    let process = start_control();
    let control = process.address;
    let relay = LosingRelay::start(control);
    let lost = run(&[relay.address], &[DEFINE]);
    assert_eq!(lost.status.code(), Some(3));
    let said = stderr(&lost);
    let words: Vec<&str> = said.split_whitespace().collect();
    let flag = words.iter().position(|word| *word == "--session").expect("the flags are named");
    let identity: Vec<&str> =
        words[flag..flag + 4].iter().map(|word| word.trim_end_matches(',')).collect();
    let again = run(&[control], &[&identity[..], &[DEFINE]].concat());
    assert_eq!(stdout(&again), "accepted at revision 1\n");
    assert!(stdout(&run(&[control], &["SHOW CHANGES"])).lines().count() == 2);
}

#[test]
fn sequence_numbers_of_a_session_increase_across_runs() {
    let process = start_control();
    let control = process.address;
    for revision in 1..=2 {
        let output = run(&[control], &["--session", "anna", DEFINE]);
        assert_eq!(stdout(&output), format!("accepted at revision {revision}\n"));
    }
}

#[test]
fn syntax_error_is_shown_with_its_position_and_nothing_is_sent() {
    let process = start_control();
    let control = process.address;
    let output = run(&[control], &[&format!("{DEFINE}; DRAIN LEFT 3")]);
    assert_eq!(output.status.code(), Some(2));
    let said = stderr(&output);
    assert!(said.contains("expected LEAF"), "{said}");
    assert!(said.lines().last().unwrap().trim() == "^", "{said}");
    assert_eq!(stdout(&run(&[control], &["SHOW CHANGES"])).lines().count(), 1);
}

#[test]
fn refusal_stops_the_execution_of_a_file() {
    let process = start_control();
    let control = process.address;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("statements.txt");
    fs::write(&file, format!("{DEFINE};\nDRAIN LEAF 9;\nREMOVE CALLER portal;\n")).unwrap();
    let output = run(&[control], &["--file", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("leaf 9 is not known"));
    assert!(stdout(&run(&[control], &["SHOW CALLERS"])).contains("portal"));
}

#[test]
fn replies_are_printed_as_json() {
    let process = start_control();
    let control = process.address;
    let output = run(&[control], &["--json", &format!("{DEFINE}; SHOW CALLERS")]);
    let replies: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(replies["replies"][0]["kind"], "accepted");
    assert_eq!(replies["replies"][1]["rows"][0][0], "portal");
}

#[test]
fn shell_continues_after_errors_and_saves_the_history() {
    let process = start_control();
    let control = process.address;
    let home = tempfile::tempdir().unwrap();
    let lines = format!("DRAIN LEFT 3;\nDEFINE CALLER gate\nBUDGET 1 BURST 2;\n{DEFINE};\nquit\n");
    let output = shell(&[control], &lines, home.path());
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stderr(&output).contains("expected LEAF"), "{}", stderr(&output));
    assert!(stdout(&output).contains("accepted at revision 2"), "{}", stdout(&output));
    let history = fs::read_to_string(home.path().join(".gingerkeel_history")).unwrap();
    assert!(history.contains(DEFINE), "{history}");
}

#[test]
fn invalid_session_name_is_a_usage_error() {
    let output = run(&[dead_address()], &["--session", "an na", DEFINE]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("use at most 64 letters"));
}
