//! Choice of the next control process by earlier failures.

use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::feed::ControlHealth;
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

/// Time that a broker spends on a control process that grants no lease.
const DEAD_END: Duration = Duration::from_millis(1_500);

fn control(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn controls(numbers: std::ops::Range<u16>) -> Vec<SocketAddr> {
    numbers.map(control).collect()
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// A broker whose control processes accept every connection; a lower port is nearer.
struct Broker {
    health: ControlHealth,
    now: Timestamp,
    configured: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
}

impl Broker {
    fn new(configured: Vec<SocketAddr>, learned: Vec<SocketAddr>) -> Self {
        Self { health: ControlHealth::default(), now: at(1), configured, learned }
    }

    fn next(&mut self) -> SocketAddr {
        let usable = self.health.usable(self.now, &self.configured, &self.learned);
        let all = [self.configured.as_slice(), &self.learned].concat();
        let nearest = usable.into_iter().min();
        nearest.or_else(|| self.health.next_in_turn(self.now, &all)).expect("some are known")
    }

    /// Connects to control processes until one of them is of `serving`; returns those that granted
    /// no lease before.
    fn connect(&mut self, serving: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut dead_ends = Vec::new();
        loop {
            let next = self.next();
            if serving.contains(&next) {
                return dead_ends;
            }
            dead_ends.push(next);
            assert!(dead_ends.len() < 200, "never served: {dead_ends:?}");
            self.now = self.now.after(DEAD_END);
            self.health.failed(self.now, next);
        }
    }
}

#[test]
fn two_near_dead_ends_do_not_keep_a_broker_from_a_farther_control_process() {
    let mut broker = Broker::new(controls(1..4), Vec::new());
    assert_eq!(broker.connect(&[control(3)]), [control(1), control(2)]);
}

#[test]
fn learned_control_processes_take_part_once_all_configured_ones_failed() {
    let mut broker = Broker::new(controls(3..5), controls(1..3));
    assert_eq!(broker.connect(&[control(2)]), [control(3), control(4), control(1)]);
}

#[rstest]
#[case::few(2)]
#[case::more_than_can_be_tried_before_a_failure_is_old(40)]
fn no_dead_end_is_tried_twice_before_each_control_process_was_tried(#[case] dead_ends: u16) {
    let near = controls(1..dead_ends + 1);
    let mut broker = Broker::new(controls(1..dead_ends + 2), Vec::new());
    broker.health.lease_granted(broker.now);
    assert_eq!(broker.connect(&[control(dead_ends + 1)]), near);
}

#[test]
fn a_dead_end_that_serves_later_is_used_after_one_turn_of_the_others() {
    let mut broker = Broker::new(controls(1..6), Vec::new());
    broker.connect(&[control(5)]);
    broker.health.lease_granted(broker.now);
    broker.now = broker.now.after(Duration::from_secs(1));
    broker.health.failed(broker.now, control(5));
    assert_eq!(broker.connect(&[control(4)]), controls(1..4));
}

#[test]
fn the_nearest_is_used_again_some_time_after_its_failure() {
    let all = controls(1..4);
    let mut health = ControlHealth::default();
    health.failed(at(100), control(1));
    health.lease_granted(at(101));
    assert_eq!(health.usable(at(102), &all, &[]), controls(2..4));
    assert_eq!(health.usable(at(120), &all, &[]), all);
}

#[test]
fn control_processes_that_all_failed_are_tried_in_turn() {
    let all = controls(1..4);
    let mut health = ControlHealth::default();
    for (second, number) in [(100, 2), (101, 3), (102, 1)] {
        health.failed(at(second), control(number));
    }
    assert_eq!(health.usable(at(300), &all, &[]), []);
    let turns = (300..304).map(|second| health.next_in_turn(at(second), &all));
    let turns: Vec<SocketAddr> = turns.flatten().collect();
    assert_eq!(turns, [control(2), control(3), control(1), control(2)]);
}

#[test]
fn an_untried_control_process_comes_before_those_that_failed() {
    let mut health = ControlHealth::default();
    health.failed(at(100), control(1));
    assert_eq!(health.usable(at(101), &controls(1..2), &controls(2..3)), controls(2..3));
}

#[test]
fn failures_of_addresses_that_are_no_longer_known_are_forgotten() {
    let mut health = ControlHealth::default();
    health.failed(at(100), control(1));
    health.usable(at(101), &controls(2..4), &[]);
    assert_eq!(health.usable(at(102), &controls(1..4), &[]), controls(1..4));
}
