//! Reports of a broker to its control process.

mod support;

use gingerkeel_domain::admission::OverloadReport;
use gingerkeel_domain::request_key::RequestKey;
use gingerkeel_protocol::{SubscriberMessage, decode_document};
use rustix::process::Signal;
use support::broker::Broker;
use support::caller::{Query, issue_key};
use support::control::{ControlScript, ScriptedControl, catalog};
use support::leaf::ScriptedLeaf;
use support::wait_until;

#[test]
fn feed_and_request_keys_have_the_same_run() {
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

/// Number of answered queries and of charged units reported, over all classes.
fn reported(broker: &Broker) -> (u64, u64) {
    let charges = broker.control.charges();
    let counters = charges.values();
    counters.fold((0, 0), |sum, counter| (sum.0 + counter.answered, sum.1 + counter.units))
}

/// Sends two queries of price 8 and three of price 2.
fn send_five_queries(broker: &Broker) {
    let mut caller = broker.caller();
    for class in ["urgent", "whole", "urgent", "whole", "whole"] {
        assert_eq!(caller.ask(&Query::new(class)).outcome(), "answered");
    }
}

#[test]
fn answered_queries_are_reported_while_the_broker_runs() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    send_five_queries(&broker);
    wait_until("all charges are reported", || reported(&broker) == (5, 22));
}

#[test]
fn planned_stop_reports_the_last_charges() {
    let leaf = ScriptedLeaf::honest("right");
    let mut broker = Broker::start(&catalog(&[&[leaf.address]]));
    send_five_queries(&broker);
    broker.signal(Signal::TERM);
    broker.assert_ends_well();
    assert_eq!(reported(&broker), (5, 22));
    assert!(!broker.log().contains("charges_not_recorded"), "{}", broker.log());
}

#[test]
fn planned_stop_ends_without_an_acknowledgement() {
    let leaf = ScriptedLeaf::honest("right");
    let control = ScriptedControl::serve_with(
        &catalog(&[&[leaf.address]]),
        ControlScript { receipts: false, ..ControlScript::default() },
    );
    let mut broker = Broker::start_on(control, "");
    send_five_queries(&broker);
    broker.signal(Signal::TERM);
    broker.assert_ends_well();
    assert!(broker.log().contains("charges_not_recorded"), "{}", broker.log());
}

#[test]
fn threshold_refuses_lower_classes_and_the_refusals_are_reported() {
    let leaf = ScriptedLeaf::honest("right");
    let script = ControlScript { lowest_admitted: 0, ..ControlScript::default() };
    let control = ScriptedControl::serve_with(&catalog(&[&[leaf.address]]), script);
    let broker = Broker::start_on(control, "");
    let mut caller = broker.caller();
    assert_eq!(caller.ask(&Query::new("urgent")).outcome(), "answered");
    assert_eq!(caller.ask(&Query::new("whole")).reason(), "overloaded");
    wait_until("the refusal is reported", || {
        let overload = broker.control.received().into_iter().filter_map(|message| match message {
            SubscriberMessage::Overload { report } => Some(report),
            _ => None,
        });
        let mut reports = overload.map(|report| {
            let report: OverloadReport = decode_document(&report.bytes).expect("a report");
            report
        });
        reports.any(|report| {
            report.lowest_admitted == 0 && report.classes.iter().any(|class| class.refused == 1)
        })
    });
}
