//! Reports of slow leaves, and the effect of warnings from other brokers.

mod support;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::leaf_warnings::{LeafObservation, LeafWarning, WarningCause};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use support::control::ControlScript;
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{
    RoutedBroker, configuration, directory, feed_messages, honest, records, reply,
};
use support::wait_until;

#[test]
fn leaf_with_a_slow_warning_is_tried_last() {
    let (near, other) = (honest("near", b"near"), honest("other", b"other"));
    let (configuration, directory) =
        (configuration(0), directory(&[near.address, other.address], &[]));
    let warnings = [LeafWarning {
        leaf: LeafIdentity::new("single-0"),
        cause: WarningCause::Slow,
        for_ms: 60_000,
    }];
    let warnings = encode_document(&warnings.to_vec()).expect("a document").into();
    let mut feed_messages = feed_messages(&configuration, &directory);
    feed_messages.push(FeedMessage::LeafWarnings { warnings });
    let broker =
        RoutedBroker::start_on(ControlScript { feed_messages, ..ControlScript::default() }, "");
    wait_until("the warning is taken", || broker.broker.log().contains("event=leaves_avoided"));
    for _ in 0..5 {
        assert_eq!(broker.get("/one/").body, "other");
    }
}

#[test]
fn leaf_slower_than_those_of_other_shards_is_reported() {
    let slow = ScriptedLeaf::for_all(|request| {
        sleep(Duration::from_millis(150));
        LeafAction::Send(reply(request, "slow", &records(b"a")))
    });
    let quick: Vec<ScriptedLeaf> = (0..6)
        .map(|_| {
            ScriptedLeaf::for_all(|request| {
                sleep(Duration::from_millis(5));
                LeafAction::Send(reply(request, "quick", &records(b"b")))
            })
        })
        .collect();
    let addresses: Vec<[SocketAddr; 1]> =
        quick.iter().chain([&slow]).map(|leaf| [leaf.address]).collect();
    let shards: Vec<&[SocketAddr]> = addresses.iter().map(|address| &address[..]).collect();
    let broker = RoutedBroker::start(&[], &shards);
    assert_eq!(broker.get("/all/").status, 200);
    let mut reported = Vec::new();
    wait_until("the slow leaf is reported", || {
        let received = broker.broker.control.received();
        let reports = received.iter().filter_map(|message| match message {
            SubscriberMessage::SlowLeaves { observations } => {
                let seen: Vec<LeafObservation> =
                    decode_document(&observations.bytes).expect("a document");
                Some(seen)
            }
            _ => None,
        });
        reported = reports.flatten().collect();
        !reported.is_empty()
    });
    let leaves: Vec<&str> = reported.iter().map(|seen| seen.leaf.as_str()).collect();
    assert_eq!(leaves, ["s6-0"]);
}
