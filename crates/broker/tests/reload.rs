//! Settings that change while the broker runs, with a signal and without one.

mod support;

use gingerkeel_domain::routes::RouteVersion;
use rstest::rstest;
use rustix::process::Signal;
use support::closed_address;
use support::control::{ControlScript, ScriptedControl, catalog};
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, reply};
use support::wait_until;

/// A control process that tells of this version of the configuration.
fn script(version: u64, renews: bool) -> ControlScript {
    let leaf = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "s", b"x")));
    let mut configuration = configuration(0);
    configuration.version = RouteVersion(version);
    let feed_messages = feed_messages(&configuration, &directory(&[leaf.address], &[]));
    let default = ControlScript::default();
    // One that renews no more is left soon; one that does has a lease that outlasts its renewals.
    let lease_milliseconds = if renews { default.lease_milliseconds } else { 1_000 };
    ControlScript { feed_messages, lease_milliseconds, renews, ..default }
}

fn in_force(broker: &RoutedBroker, version: u64) -> bool {
    broker.broker.log().contains(&format!("event=routes_in_force version={version}"))
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without_one(false)]
fn control_processes_that_new_settings_name_are_asked(#[case] signal: bool) {
    let broker = RoutedBroker::start_on(script(1, false), "");
    let successor = ScriptedControl::serve_with(&catalog(&[&[closed_address()]]), script(2, true));
    let former = broker.broker.control.address.to_string();
    broker.broker.change_settings(|text| text.replace(&former, &successor.address.to_string()));
    if signal {
        broker.broker.signal(Signal::HUP);
    }
    wait_until("the new control process is followed", || in_force(&broker, 2));
    let log = broker.broker.log();
    assert!(log.contains("control_changed=true restart_needed=false"), "{log}");
}

#[test]
fn a_change_that_needs_a_restart_is_said_and_not_taken_over() {
    let broker = RoutedBroker::start_on(script(1, true), "");
    broker.broker.change_settings(|text| text.replace("zone = \"a\"", "zone = \"b\""));
    wait_until("it is said", || {
        broker.broker.log().contains("control_changed=false restart_needed=true")
    });
    assert_eq!(broker.get("/one/").status, 200);
}

#[test]
fn settings_that_are_not_usable_change_nothing() {
    let broker = RoutedBroker::start_on(script(1, true), "");
    broker.broker.change_settings(|text| text.replace("control = [", "control = [\"nowhere\", "));
    wait_until("they are refused", || broker.broker.log().contains("event=settings_unusable"));
    let log = broker.broker.log();
    assert!(log.contains("nowhere"), "{log}");
    assert_eq!(broker.get("/one/").status, 200);
}
