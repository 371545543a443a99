//! Which leaf observations of a broker reach the brokers of other control processes.

mod support;

use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::leaf_warnings::{LeafObservation, LeafWarning, WarningCause};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use support::FakeBroker;
use support::cluster::Cluster;

fn observation(leaf: &str) -> LeafObservation {
    LeafObservation {
        leaf: LeafIdentity::new(leaf),
        slow_ms_ago: Vec::new(),
        failed_ms_ago: Vec::new(),
        refused_ms_ago: Vec::new(),
        sound: 0,
    }
}

fn report(broker: &mut FakeBroker, observation: LeafObservation) {
    let observations = encode_document(&vec![observation]).unwrap().into();
    broker.send(&SubscriberMessage::SlowLeaves { observations });
}

fn next_warnings(broker: &mut FakeBroker) -> Vec<LeafWarning> {
    broker.receive_until(|message| match message {
        FeedMessage::LeafWarnings { warnings } => Some(decode_document(&warnings.bytes).unwrap()),
        _ => None,
    })
}

/// Warnings of slow and failing leaves go to the brokers of one process only, those of refusing
/// leaves to all brokers.
#[test]
fn refusing_leaf_is_reported_to_the_brokers_of_all_control_processes() {
    let cluster = Cluster::start(2);
    let subscribe =
        |member: usize, name| FakeBroker::subscribe(&cluster.members[member].control, name, 1, 0);
    let [mut one, mut two, mut far] = [subscribe(0, "b1"), subscribe(0, "b2"), subscribe(1, "b3")];
    for broker in [&mut one, &mut two, &mut far] {
        broker.renew(1, 0);
    }
    let failing = LeafObservation { failed_ms_ago: vec![20, 10], ..observation("failing") };
    report(&mut one, failing.clone());
    report(&mut two, failing);
    assert_eq!(next_warnings(&mut one)[0].cause, WarningCause::Failing);
    let refusing = LeafObservation { refused_ms_ago: vec![10], ..observation("refusing") };
    report(&mut one, refusing);
    let warnings = next_warnings(&mut far);
    let warnings: Vec<(&str, WarningCause)> =
        warnings.iter().map(|warning| (warning.leaf.as_str(), warning.cause)).collect();
    assert_eq!(warnings, [("refusing", WarningCause::Refusing)]);
}
