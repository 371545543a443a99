//! Runs the procedures of `docs/OPERATIONS.md` on the log of a broker process: the printed commands
//! run unchanged, except for the request id and the log file.

mod support;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use rustix::process::Signal;
use support::control::ControlScript;
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, reply, request};
use support::{closed_address, wait_until};
use tempfile::TempDir;

/// The commands of a section of the page, in order.
fn commands(section: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let start = page.find(section).unwrap_or_else(|| panic!("no section {section}"));
    let rest = &page[start + section.len()..];
    let text = &rest[..rest.find("\n## ").unwrap_or(rest.len())];
    let blocks = text.split("```sh\n").skip(1);
    blocks.filter_map(|block| block.split("\n```").next().map(str::to_owned)).collect()
}

/// A log file and the request under investigation.
struct Inquiry {
    _folder: TempDir,
    log: PathBuf,
    id: &'static str,
}

impl Inquiry {
    fn new(broker: &RoutedBroker, id: &'static str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let log = folder.path().join("log");
        std::fs::write(&log, broker.broker.log()).expect("a written log");
        Self { _folder: folder, log, id }
    }

    /// Output of a command of the page.
    fn run(&self, command: &str) -> String {
        let log = self.log.display().to_string();
        let command = command.replace("LOG", &log).replace("ID", self.id);
        let output = Command::new("sh").args(["-c", &command]).output().expect("a shell");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Output of each command of a section.
    fn follow(&self, section: &str) -> Vec<String> {
        commands(section).iter().map(|command| self.run(command)).collect()
    }

    fn outcome(&self) -> String {
        let printed = self.follow("# From a request's id to its cause").remove(0);
        let outcome = printed.split(" outcome=").nth(1).and_then(|rest| rest.split(' ').next());
        outcome.unwrap_or_default().to_owned()
    }
}

fn logged(broker: &RoutedBroker, text: &str) {
    wait_until("the broker has logged it", || broker.broker.log().contains(text));
}

#[test]
fn leaf_missing_from_an_answer_is_found() {
    let good = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "g", &[1; 16])));
    let silent = ScriptedLeaf::for_all(|_| LeafAction::NoReply);
    let broker = RoutedBroker::start(&[], &[&[good.address], &[silent.address]]);
    assert_eq!(broker.get("/all/").status, 200);
    logged(&broker, "event=leaf_asked");
    let inquiry = Inquiry::new(&broker, "r1");
    assert_eq!(inquiry.outcome(), "answered_partly");
    let printed = inquiry.follow("## Answered with parts missing");
    assert!(printed[0].contains("leaf=s1-0") && printed[0].contains("outcome=given_up"));
    assert!(!printed[0].contains("leaf=s0-0"), "the good leaf is not shown: {}", printed[0]);
}

#[test]
fn leaf_that_made_a_request_time_out_is_found() {
    let silent = ScriptedLeaf::for_all(|_| LeafAction::NoReply);
    let broker = RoutedBroker::start(&[silent.address], &[]);
    let mut caller = broker.caller();
    caller.send(request("/once/", "200").as_bytes());
    assert_eq!(caller.receive().expect("an answer").status, 504);
    logged(&broker, "event=leaf_asked");
    let inquiry = Inquiry::new(&broker, "r1");
    assert_eq!(inquiry.outcome(), "timed_out");
    let printed = inquiry.follow("## Ended at its time-out");
    assert!(printed[0].contains("leaf=single-0") && printed[0].contains("outcome=given_up"));
    assert!(printed[1].contains("event=routes_in_force version=1"), "{}", printed[1]);
}

#[test]
fn overload_refusal_is_traced_to_the_leaves() {
    let slow = ScriptedLeaf::for_all(|request| {
        sleep(Duration::from_millis(700));
        LeafAction::Send(reply(request, "s", b"x"))
    });
    let broker = RoutedBroker::start(&[slow.address], &[]);
    // Sends slow requests until the broker limits concurrency.
    wait_until("the broker limits requests", || {
        let mut callers: Vec<_> = (0..16).map(|_| broker.caller()).collect();
        callers.iter_mut().for_each(|caller| caller.send(request("/once/", "2500").as_bytes()));
        callers.iter_mut().for_each(|caller| {
            let _ = caller.receive();
        });
        broker.broker.log().contains("limited=true")
    });
    wait_until("a request is refused for it", || {
        let mut callers: Vec<_> = (0..16).map(|_| broker.caller()).collect();
        callers.iter_mut().for_each(|caller| {
            caller.send(request("/once/", "2500").replace("r1", "r2").as_bytes());
        });
        callers.iter_mut().for_each(|caller| {
            let _ = caller.receive();
        });
        broker.broker.log().contains("outcome=leaves_overloaded")
    });
    let inquiry = Inquiry::new(&broker, "r2");
    let printed = inquiry.follow("# From a request's id to its cause").remove(0);
    assert!(printed.contains("outcome=leaves_overloaded") && printed.contains("retry_after_ms="));
    let printed = inquiry.follow("## Refused for lack of capacity");
    assert!(printed[0].contains("limited=true"), "{}", printed[0]);
}

#[test]
fn broker_without_configuration_is_found() {
    let broker = RoutedBroker::start_on(ControlScript::default(), "");
    assert_eq!(broker.get("/one/").status, 503);
    logged(&broker, "event=request_ended");
    let inquiry = Inquiry::new(&broker, "r1");
    assert_eq!(inquiry.outcome(), "nothing_known_yet");
    let printed = inquiry.follow("## Refused by a broker that knows nothing");
    assert!(printed[0].contains("event=routes_started"));
    assert!(!printed[0].contains("event=routes_in_force"));
}

#[test]
fn request_lost_with_its_broker_has_no_log_line() {
    let silent = ScriptedLeaf::for_all(|_| LeafAction::NoReply);
    let mut broker = RoutedBroker::start(&[silent.address], &[]);
    let mut caller = broker.caller();
    caller.send(request("/once/", "3000").as_bytes());
    wait_until("the leaf has the request", || silent.requests().len() == 1);
    broker.broker.signal(Signal::KILL);
    broker.broker.wait();
    let inquiry = Inquiry::new(&broker, "r1");
    assert_eq!(inquiry.outcome(), "");
    let printed = inquiry.follow("## Lost with its broker");
    assert!(printed[0].contains("event=routes_started") && !printed[0].contains("event=stopping"));
}

#[test]
fn successful_requests_are_logged_by_sampling() {
    let good = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "g", b"x")));
    for (sample, expected) in [("0", false), ("1", true)] {
        let feed_messages =
            feed_messages(&configuration(0), &directory(&[good.address, closed_address()], &[]));
        let script = ControlScript { feed_messages, ..ControlScript::default() };
        let broker = RoutedBroker::start_on(script, &format!("log_sample = {sample}"));
        assert_eq!(broker.get("/one/").status, 200);
        sleep(Duration::from_millis(50));
        let log = broker.broker.log();
        assert_eq!(log.contains("event=request_ended request=r1 "), expected, "{log}");
    }
}
