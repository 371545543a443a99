//! What a broker reports to its control process.

mod support;

use gingerkeel_domain::request_key::RequestKey;
use gingerkeel_protocol::SubscriberMessage;
use rustix::process::Signal;
use support::broker::Broker;
use support::caller::{Query, issue_key};
use support::control::{ScriptedControl, catalog};
use support::leaf::ScriptedLeaf;
use support::wait_until;

#[test]
fn feed_and_request_keys_name_the_same_run() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let key = issue_key(broker.caller()).expect("a key");
    let key: RequestKey = key.parse().expect("a key as the broker prints it");
    let subscribed = broker.control.received().into_iter().find_map(|message| match message {
        SubscriberMessage::Subscribe { run, .. } => Some(run),
        _ => None,
    });
    assert_eq!(subscribed, Some(key.run.0));
}

/// Answered requests and units that were reported, over all classes.
fn reported(broker: &Broker) -> (u64, u64) {
    let charges = broker.control.charges();
    let counters = charges.values();
    counters.fold((0, 0), |sum, counter| (sum.0 + counter.answered, sum.1 + counter.units))
}

/// Asks two queries of price 8 and three of price 2.
fn ask_five(broker: &Broker) {
    let mut caller = broker.caller();
    for class in ["urgent", "whole", "urgent", "whole", "whole"] {
        assert_eq!(caller.ask(&Query::new(class)).outcome(), "answered");
    }
}

#[test]
fn answered_queries_are_reported_while_the_broker_runs() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    ask_five(&broker);
    wait_until("all charges are reported", || reported(&broker) == (5, 22));
}

#[test]
fn a_planned_stop_reports_the_last_charges() {
    let leaf = ScriptedLeaf::honest("right");
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    ask_five(&broker);
    broker.signal(Signal::TERM);
    broker.assert_ends_well();
    assert_eq!(reported(&broker), (5, 22));
    assert!(!broker.log().contains("charges_not_recorded"), "{}", broker.log());
}

#[test]
fn a_planned_stop_ends_although_no_receipt_comes() {
    let leaf = ScriptedLeaf::honest("right");
    let control = ScriptedControl::serve_with(&catalog(&[&[leaf.address]]), false);
    let mut broker = Broker::start_on(control, "");
    ask_five(&broker);
    broker.signal(Signal::TERM);
    broker.assert_ends_well();
    assert!(broker.log().contains("charges_not_recorded"), "{}", broker.log());
}
