//! What a broker reports to its control process.

mod support;

use gingerkeel_domain::request_key::RequestKey;
use gingerkeel_protocol::SubscriberMessage;
use support::broker::Broker;
use support::caller::issue_key;
use support::control::catalog;
use support::leaf::ScriptedLeaf;

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
