//! Reload of settings, with and without SIGHUP.

mod support;

use gingerkeel_domain::routes::RouteVersion;
use rstest::rstest;
use rustix::process::Signal;
use support::closed_address;
use support::control::{ControlScript, ScriptedControl, catalog};
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, reply};
use support::wait_until;

/// Script of a control process that feeds this version of the configuration.
fn script(version: u64, renews: bool) -> ControlScript {
    let leaf = ScriptedLeaf::for_all(|request| LeafAction::Send(reply(request, "s", b"x")));
    let mut configuration = configuration(0);
    configuration.version = RouteVersion(version);
    let feed_messages = feed_messages(&configuration, &directory(&[leaf.address], &[]));
    let default = ControlScript::default();
    // Without renewals the short lease makes the broker switch soon; with them the lease is long.
    let lease_milliseconds = if renews { default.lease_milliseconds } else { 1_000 };
    ControlScript { feed_messages, lease_milliseconds, renews, ..default }
}

fn in_force(broker: &RoutedBroker, version: u64) -> bool {
    broker.broker.log().contains(&format!("event=routes_in_force version={version}"))
}

#[rstest]
#[case::with_a_signal(true)]
#[case::without_one(false)]
fn control_processes_of_new_settings_are_used(#[case] signal: bool) {
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
fn change_that_needs_a_restart_is_logged_and_not_applied() {
    let broker = RoutedBroker::start_on(script(1, true), "");
    broker.broker.change_settings(|text| text.replace("zone = \"a\"", "zone = \"b\""));
    wait_until("it is said", || {
        broker.broker.log().contains("control_changed=false restart_needed=true")
    });
    assert_eq!(broker.get("/one/").status, 200);
}

#[test]
fn invalid_settings_are_ignored() {
    let broker = RoutedBroker::start_on(script(1, true), "");
    broker.broker.change_settings(|text| text.replace("control = [", "control = [\"nowhere\", "));
    wait_until("they are refused", || broker.broker.log().contains("event=settings_unusable"));
    let log = broker.broker.log();
    assert!(log.contains("nowhere"), "{log}");
    assert_eq!(broker.get("/one/").status, 200);
}
