//! Choice of the control process among some that accept links but serve nothing.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_protocol::{Document, FeedMessage, SubscriberMessage, encode_document};
use support::broker::Broker;
use support::control::{ControlScript, ScriptedControl, catalog};
use support::{closed_address, wait_until};

/// Time without a lease after which a broker gives up a control process.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest pause before another control process is tried while some have not failed.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest search among control processes that refuse or do not answer.
const SEARCH: Duration = Duration::from_millis(500);
/// Time for a process to start and for a link to be established, on a busy machine.
const SLACK: Duration = Duration::from_secs(1);
/// Lets a broker connect to control processes that the feed names.
const LEARNS: &str = "learn_controls = true";

/// The longest time in which a broker leaves this many control processes that grant no lease.
fn time_to_leave(dead_ends: u32) -> Duration {
    (SILENCE_LIMIT + PAUSE) * dead_ends + SLACK
}

fn any_catalog() -> Catalog {
    catalog(&[&[closed_address()]])
}

/// A control process of a group, or of none, that names these control processes to brokers.
fn control(belongs_to_group: &Arc<AtomicBool>, named: &[SocketAddr]) -> ScriptedControl {
    let addresses = Document::from(encode_document(&named).expect("addresses are a document"));
    let script = ControlScript {
        belongs_to_group: belongs_to_group.clone(),
        feed_messages: vec![FeedMessage::Controls { addresses }],
        ..ControlScript::default()
    };
    ScriptedControl::serve_with(&any_catalog(), script)
}

/// A control process that belongs to no group.
fn dead_end(named: &[SocketAddr]) -> ScriptedControl {
    control(&Arc::default(), named)
}

fn addresses<'a>(controls: impl IntoIterator<Item = &'a ScriptedControl>) -> Vec<SocketAddr> {
    controls.into_iter().map(|control| control.address).collect()
}

/// Number of subscriptions that a control process received.
fn subscriptions(control: &ScriptedControl) -> usize {
    let received = control.received();
    let is_subscription =
        |message: &&SubscriberMessage| matches!(message, SubscriberMessage::Subscribe { .. });
    received.iter().filter(is_subscription).count()
}

/// Starts a broker and returns it with the time until a catalog was in force.
fn start(others: &[SocketAddr], last: ScriptedControl) -> (Broker, Duration) {
    let began = Instant::now();
    let broker = Broker::start_among(others, last, LEARNS);
    (broker, began.elapsed())
}

#[test]
fn a_broker_does_not_return_to_dead_ends_while_another_control_process_serves() {
    let starts: Vec<_> = (0..8)
        .map(|_| {
            thread::spawn(|| {
                let dead_ends: Vec<ScriptedControl> = (0..4).map(|_| dead_end(&[])).collect();
                let (broker, took) =
                    start(&addresses(&dead_ends), ScriptedControl::serve(&any_catalog()));
                let visits: Vec<usize> = dead_ends.iter().map(subscriptions).collect();
                (took, visits, broker.log())
            })
        })
        .collect();
    for start in starts {
        let (took, visits, log) = start.join().expect("the broker is served");
        assert!(visits.iter().all(|visits| *visits <= 1), "{visits:?}\n{log}");
        assert!(took < time_to_leave(4), "{took:?}\n{log}");
    }
}

#[test]
fn a_learned_control_process_is_reached_when_all_configured_ones_are_dead_ends() {
    let serving = ScriptedControl::serve(&any_catalog());
    let first = dead_end(&[serving.address]);
    let second = dead_end(&[]);
    let (broker, took) = start(&[first.address], second);
    assert!(took < time_to_leave(2), "{took:?}\n{}", broker.log());
}

#[test]
fn a_learned_control_process_is_reached_when_the_others_are_gone_and_one_is_a_dead_end() {
    let serving = ScriptedControl::serve(&any_catalog());
    let left = dead_end(&[serving.address]);
    let gone = [closed_address(), SocketAddr::from(([127, 0, 0, 2], 1))];
    let (broker, took) = start(&gone, left);
    assert!(took < time_to_leave(1) + SEARCH * 2, "{took:?}\n{}", broker.log());
}

#[test]
fn a_broker_leaves_a_control_process_whose_group_lost_its_quorum() {
    let in_group = Arc::new(AtomicBool::new(true));
    let other = ScriptedControl::serve(&any_catalog());
    let first = control(&in_group, &[other.address]);
    let gone = [closed_address()];
    let (broker, _) = start(&gone, first);
    assert_eq!(subscriptions(&other), 0, "{}", broker.log());
    in_group.store(false, Ordering::Relaxed);
    let began = Instant::now();
    wait_until("the other control process feeds the broker", || subscriptions(&other) == 1);
    let took = began.elapsed();
    assert!(took < time_to_leave(1) + SEARCH, "{took:?}\n{}", broker.log());
}

#[test]
fn a_former_dead_end_is_used_again_once_the_others_grant_no_lease() {
    let (first_in_group, second_in_group) = (Arc::default(), Arc::new(AtomicBool::new(true)));
    let second = control(&second_in_group, &[]);
    let first = control(&first_in_group, &[second.address]);
    let (broker, _) = start(&[], first);
    assert_eq!(subscriptions(&broker.control), 1, "{}", broker.log());
    first_in_group.store(true, Ordering::Relaxed);
    second_in_group.store(false, Ordering::Relaxed);
    let began = Instant::now();
    wait_until("the former dead end feeds the broker", || subscriptions(&broker.control) == 2);
    let took = began.elapsed();
    assert!(took < time_to_leave(1) + SEARCH, "{took:?}\n{}", broker.log());
}

/// The value of a field in each line of an event.
fn field_of(log: &str, event: &str, key: &str) -> Vec<Option<String>> {
    let (event, key) = (format!("event={event}"), format!("{key}="));
    let lines = log.lines().filter(|line| line.split(' ').any(|pair| pair == event));
    let value =
        |line: &str| line.split(' ').find_map(|pair| pair.strip_prefix(&key).map(str::to_owned));
    lines.map(value).collect()
}

#[test]
fn the_log_tells_why_a_broker_had_an_older_configuration() {
    let in_group = Arc::new(AtomicBool::new(true));
    let other = ScriptedControl::serve(&any_catalog());
    let first = control(&in_group, &[other.address]);
    let (broker, _) = start(&[], first);
    in_group.store(false, Ordering::Relaxed);
    wait_until("the other control process feeds the broker", || subscriptions(&other) == 1);
    let taken = "control_link_taken";
    wait_until("the second link is logged", || field_of(&broker.log(), taken, "kind").len() == 2);
    let log = broker.log();
    let texts = |values: &[&str]| -> Vec<Option<String>> {
        values.iter().map(|value| Some((*value).to_owned())).collect()
    };
    assert_eq!(field_of(&log, taken, "kind"), texts(&["configured", "learned"]), "{log}");
    assert_eq!(field_of(&log, "control_link_lost", "granted"), texts(&["true"]), "{log}");
    let revision = any_catalog().revision().0.to_string();
    assert_eq!(field_of(&log, taken, "revision"), texts(&["0", &revision]), "{log}");
    assert_eq!(field_of(&log, "control_link_lost", "revision"), texts(&[&revision]), "{log}");
    let without_lease = field_of(&log, taken, "since_lease_ms");
    let milliseconds = |value: &Option<String>| value.as_ref()?.parse::<u64>().ok();
    assert_eq!(milliseconds(&without_lease[0]), None, "{log}");
    assert!(milliseconds(&without_lease[1]) >= Some(1_500), "{log}");
}
