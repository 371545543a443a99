//! Failures on real processes under load, judged by outcome: the outside checker finds nothing.

mod support;

use std::thread::sleep;
use std::time::Duration;

use gingerkeel_rehearsal::fleet::{Signal, wait_until};
use gingerkeel_rehearsal::leaf::{AdminCommand, ReplyFault, ReplyFaultKind};
use support::{SERVICE, rehearse};

/// A leaf process of the fleet; the leaf after it holds the other replica of its shard.
const LEAF: usize = 0;
const BROKER: usize = 0;

fn reply_fault(kind: ReplyFaultKind, share: f64) -> AdminCommand {
    let reply_fault = Some(ReplyFault { kind, share, late_ms: 300 });
    AdminCommand { reply_fault, ..AdminCommand::default() }
}

#[test]
fn killed_leaf() {
    let outcome = rehearse(2.5, |fleet| fleet.signal_leaves(LEAF, Signal::KILL));
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

#[test]
fn frozen_leaf_that_wakes_up() {
    let outcome = rehearse(3.0, |fleet| {
        fleet.signal_leaves(LEAF, Signal::STOP)?;
        sleep(Duration::from_secs(1));
        fleet.signal_leaves(LEAF, Signal::CONT)
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

#[test]
fn drained_leaf_gets_no_work_and_may_come_back() {
    let outcome = rehearse(6.0, |fleet| {
        fleet.drain_leaf(1)?;
        sleep(Duration::from_millis(4500));
        fleet.resume_leaf(1)
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
    assert_eq!(outcome.summary.total.coverage_mean, 1.0, "a drain costs no coverage");
}

#[test]
fn leaf_that_says_itself_that_it_is_leaving() {
    let draining = AdminCommand { draining: Some(true), ..AdminCommand::default() };
    let outcome = rehearse(2.5, |fleet| fleet.administer_leaves(LEAF, &draining));
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

#[test]
fn planned_stop_of_a_broker_cuts_nothing() {
    let outcome = rehearse(2.5, |fleet| {
        fleet.signal_broker(BROKER, Signal::TERM)?;
        let mut ended = None;
        wait_until(Duration::from_secs(15), || {
            ended = fleet.broker_ended_well(BROKER);
            ended.is_some()
        });
        assert_eq!(ended, Some(true), "the broker ends by itself, with success");
        Ok(())
    });
    outcome.assert_promises_kept();
}

#[test]
fn killed_broker() {
    let outcome = rehearse(2.5, |fleet| fleet.signal_broker(BROKER, Signal::KILL));
    outcome.assert_promises_kept();
}

#[test]
fn frozen_broker_that_wakes_up() {
    let outcome = rehearse(3.0, |fleet| {
        fleet.signal_broker(BROKER, Signal::STOP)?;
        sleep(Duration::from_secs(1));
        fleet.signal_broker(BROKER, Signal::CONT)
    });
    outcome.assert_promises_kept();
}

#[test]
fn index_versions_change_under_load() {
    let outcome = rehearse(3.0, |fleet| {
        for version in 2..6 {
            fleet.publish(SERVICE, version)?;
            sleep(Duration::from_millis(200));
        }
        Ok(())
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
    assert!(outcome.snapshots().len() > 2, "{:?}", outcome.snapshots());
}

#[test]
fn leaves_that_lose_an_index_version_before_brokers_know_the_next() {
    let only =
        |versions: Vec<u64>| AdminCommand { versions: Some(versions), ..AdminCommand::default() };
    let outcome = rehearse(3.0, |fleet| {
        for index in 0..fleet.leaf_processes().len() {
            fleet.administer_leaves(index, &only(vec![1, 2]))?;
        }
        fleet.publish(SERVICE, 2)?;
        for index in 0..fleet.leaf_processes().len() {
            fleet.administer_leaves(index, &only(vec![2]))?;
        }
        Ok(())
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
    assert_eq!(outcome.snapshots().len(), 2, "{:?}", outcome.snapshots());
}

#[test]
fn repartition_under_load() {
    let outcome = rehearse(3.0, |fleet| {
        fleet.repartition(SERVICE, 2, 2)?;
        sleep(Duration::from_millis(500));
        fleet.repartition(SERVICE, 6, 3)
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
    assert_eq!(outcome.snapshots().len(), 3, "{:?}", outcome.snapshots());
}

#[test]
fn failing_leaf_that_claims_to_be_healthy() {
    let outcome = rehearse(2.5, |fleet| {
        let lie =
            AdminCommand { claimed_health: Some(true), ..reply_fault(ReplyFaultKind::Error, 1.0) };
        fleet.administer_leaves(LEAF, &lie)
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

#[test]
fn healthy_leaves_that_claim_to_be_sick() {
    let lie = AdminCommand { claimed_health: Some(false), ..AdminCommand::default() };
    let outcome = rehearse(2.5, |fleet| {
        (0..fleet.leaf_processes().len()).try_for_each(|index| fleet.administer_leaves(index, &lie))
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

#[test]
fn replies_that_are_late_foreign_or_broken() {
    let kinds = [
        ReplyFaultKind::Late,
        ReplyFaultKind::OtherRequest,
        ReplyFaultKind::OtherVersion,
        ReplyFaultKind::Garbage,
        ReplyFaultKind::Cut,
        ReplyFaultKind::Freeze,
    ];
    let outcome = rehearse(3.0, |fleet| {
        kinds
            .into_iter()
            .enumerate()
            .try_for_each(|(index, kind)| fleet.administer_leaves(index, &reply_fault(kind, 0.3)))
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}
