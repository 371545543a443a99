//! Operators' calls at processes that cannot commit: what is answered, and what the log tells.

mod support;

use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use rustix::process::Signal;
use support::seeded::{Cluster, ClusterShape};
use support::wait_until;

/// Three seeds, whose members are kept.
const SHAPE: ClusterShape = ClusterShape { seeds: 3, machines: 5, voters: 3, least_voters: 3 };

/// The page that leads from log lines to causes.
const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
/// Heading of its section on calls that wait.
const SECTION: &str = "\n## Changes are not acknowledged\n";
/// Time in which a process outside the group refuses a call, so that an operator loses little time
/// before turning to another process.
const REFUSAL_TIME: Duration = Duration::from_secs(2);

/// The value of a field of a log line.
fn field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let fields = line.split(' ').filter_map(|part| part.split_once('='));
    fields.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// Lines of one event in the log of a machine.
fn lines(cluster: &Cluster, machine: usize, event: &str) -> Vec<String> {
    let log = cluster.log(machine);
    let wanted = format!("event={event} ");
    log.lines().filter(|line| line.contains(&wanted)).map(str::to_owned).collect()
}

/// The name of a machine's member in log lines.
fn member_name(cluster: &Cluster, machine: usize) -> String {
    let opened = lines(cluster, machine, "log_opened").pop().expect("an opened log");
    field(&opened, "member").expect("a member").to_owned()
}

/// The output of each command of the page's section, on the logs of these machines.
fn follow_page(cluster: &Cluster, machines: &[usize]) -> Vec<String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    let logs: Vec<String> = machines.iter().map(|machine| cluster.log(*machine)).collect();
    std::fs::write(file.path(), logs.concat()).unwrap();
    let log = file.path().display().to_string();
    let section = PAGE.split(SECTION).nth(1).expect("the section");
    let section = section.split("\n## ").next().unwrap();
    let commands = section.split("```sh\n").skip(1).flat_map(|block| {
        let block = block.split("```").next().unwrap();
        block.lines()
    });
    let outputs = commands.map(|command| {
        let command = command.replace("LOG", &log);
        let output = Command::new("sh").args(["-c", &command]).output().unwrap();
        String::from_utf8(output.stdout).unwrap()
    });
    outputs.collect()
}

/// Three members with an accepted configuration, and the one that leads.
fn start() -> (Cluster, usize) {
    let mut cluster = Cluster::prepare_shape(SHAPE);
    (0..SHAPE.seeds).for_each(|_| {
        cluster.add(true);
    });
    cluster.wait_accepted(0, 1);
    (0..SHAPE.seeds).for_each(|member| wait_until(|| cluster.version(member) == Some(1)));
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// The other two of the three members.
fn others(member: usize) -> Vec<usize> {
    (0..SHAPE.seeds).filter(|other| *other != member).collect()
}

/// Guards against a call that waits in vain without a log line that tells who is missing.
#[test]
fn log_tells_that_no_leader_is_known_while_a_call_waits() {
    let (mut cluster, leader) = start();
    let asked = others(leader)[0];
    others(asked).into_iter().for_each(|member| cluster.kill(member));
    assert_eq!(cluster.replace(asked, 2), Some(503));
    let waiting = lines(&cluster, asked, "call_waiting");
    assert!((3..=5).contains(&waiting.len()), "{waiting:#?}");
    let last = waiting.last().unwrap();
    assert_eq!(field(last, "kind"), Some("routes"), "{last}");
    assert_eq!(field(last, "version"), Some("2"), "{last}");
    assert_eq!(field(last, "leader"), Some("none"), "{last}");
    assert_eq!(field(last, "member"), Some("true"), "{last}");
    assert_eq!(field(last, "voters"), Some("3"), "{last}");
    let silent_ms: u64 = field(last, "leader_heard_ms").unwrap().parse().unwrap();
    assert!(silent_ms >= 1000, "{last}");
    let unknown = lines(&cluster, asked, "routes_outcome_unknown");
    assert_eq!(unknown.len(), 1, "{unknown:#?}");
    assert_eq!(field(&unknown[0], "leader"), Some("none"), "{}", unknown[0]);
    let refused = lines(&cluster, asked, "routes_not_proposed");
    assert_eq!(refused.len(), 1, "one line for the call, not one per retry: {refused:#?}");
    let [calls, roles, peers, _] = follow_page(&cluster, &[asked]).try_into().unwrap();
    assert_eq!(calls.lines().count(), waiting.len() + 1, "{calls}");
    assert!(roles.lines().last().unwrap().contains("leader=none"), "{roles}");
    assert!(peers.contains("event=peer_connection_ended"), "{peers}");
}

/// Guards against a group without a quorum whose log does not name the voters that are missing.
#[test]
fn log_names_the_voters_that_are_missing_for_a_quorum() {
    let (cluster, leader) = start();
    let frozen = others(leader);
    frozen.iter().for_each(|member| cluster.signal(*member, Signal::STOP));
    let answer = cluster.replace(leader, 2);
    frozen.iter().for_each(|member| cluster.signal(*member, Signal::CONT));
    assert_eq!(answer, Some(503));
    let names: Vec<String> = frozen.iter().map(|member| member_name(&cluster, *member)).collect();
    let waiting = lines(&cluster, leader, "call_waiting");
    let named = waiting.iter().filter(|line| {
        let missing = field(line, "silent").or(field(line, "no_vote_from")).unwrap_or_default();
        names.iter().all(|name| missing.contains(name.as_str()))
    });
    assert!(named.count() > 0, "missing: {names:?}\n{waiting:#?}");
    // An entry waits in the log of the former leader.
    let last = waiting.last().unwrap();
    assert_eq!(field(last, "member"), Some("true"), "{last}");
    let index = |name| field(last, name).unwrap().parse::<u64>().unwrap();
    assert!(index("commit") < index("last"), "{last}");
}

/// Guards against a log that grows with the number of calls that wait.
#[test]
fn calls_that_wait_are_logged_once_a_second_however_many_they_are() {
    let (cluster, leader) = start();
    let asked = others(leader)[0];
    cluster.signal(leader, Signal::STOP);
    cluster.signal(others(leader)[1], Signal::STOP);
    thread::scope(|scope| {
        for version in 2..6 {
            let cluster = &cluster;
            scope.spawn(move || cluster.replace(asked, version));
        }
    });
    (0..SHAPE.seeds).for_each(|member| cluster.signal(member, Signal::CONT));
    let waiting = lines(&cluster, asked, "call_waiting");
    assert!((3..=5).contains(&waiting.len()), "{waiting:#?}");
    assert!(waiting.iter().any(|line| field(line, "calls") == Some("4")), "{waiting:#?}");
}

/// Guards against a call that takes its whole time at a process that never joined the group.
#[test]
fn call_at_a_process_outside_the_group_is_refused_soon() {
    let (mut cluster, _) = start();
    (0..SHAPE.seeds).for_each(|member| cluster.kill(member));
    let stranger = cluster.add(false);
    wait_until(|| TcpStream::connect(cluster.machines[stranger].routes).is_ok());
    for call in ["first, in the time to join", "second"] {
        let began = Instant::now();
        let (status, text) = cluster.answer_to_replace(stranger, 2).expect("an answer");
        let text = String::from_utf8(text.to_vec()).unwrap();
        assert!(began.elapsed() < REFUSAL_TIME, "{call}: {:?}: {text}", began.elapsed());
        assert_eq!(status, 503, "{call}: {text}");
        assert!(text.contains("ask another control process"), "{call}: {text}");
    }
    let zone = cluster.call_at(stranger, "/v1/evacuations/hall-x", Method::PUT, Vec::new());
    assert_eq!(zone.map(|(status, _)| status), Some(503), "it may be a zone that others know");
    let refused = lines(&cluster, stranger, "call_refused_outside_group");
    assert_eq!(refused.len(), 3, "{refused:#?}");
    assert_eq!(field(&refused[0], "member"), Some("false"), "{refused:#?}");
    let [calls, _, peers, joining] = follow_page(&cluster, &[stranger]).try_into().unwrap();
    assert_eq!(calls.matches("event=call_refused_outside_group").count(), 3, "{calls}");
    assert_eq!(peers.matches("event=peer_not_reached").count(), SHAPE.seeds, "{peers}");
    assert!(joining.contains("entries=0") && !joining.contains("members_changed"), "{joining}");
    let not_proposed = lines(&cluster, stranger, "routes_not_proposed");
    assert!(not_proposed.len() <= 2, "one for each replacement: {not_proposed:#?}");
}
