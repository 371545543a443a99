//! Control processes that are cut off from each other, on real processes under load.

mod support;

use std::thread::sleep;
use std::time::Duration;

use gingerkeel_rehearsal::error::RehearsalError;
use gingerkeel_rehearsal::fleet::{Fleet, wait_until};
use support::rehearse_with_controls;

/// Time that the fleet has for a step; generous, for a busy machine.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Longer than a lease, so that a broker has to get a new one on the other side.
const CUT: Duration = Duration::from_secs(5);

/// The control process that leads.
fn leader(fleet: &Fleet) -> usize {
    assert!(wait_until(STEP_LIMIT, || fleet.leading_control().is_some()), "somebody leads");
    fleet.leading_control().expect("somebody leads")
}

/// The leader is cut off unnoticed while an operator drains a leaf through it: the answer does not
/// come, the command is sent again to the others, and counts once.
#[test]
fn leader_cut_off_from_its_peers_accepts_nothing_and_the_fleet_goes_on() {
    let outcome = rehearse_with_controls(3, 12.0, |fleet| {
        let cut_off = leader(fleet);
        fleet.cut_control(cut_off);
        fleet.ask_control(cut_off);
        fleet.drain_leaf(1)?;
        sleep(CUT);
        fleet.heal_control(cut_off);
        fleet.resume_leaf(1)
    });
    outcome.assert_promises_kept();
    outcome.assert_every_query_has_an_outcome();
}

/// With every control process cut off from every other nothing is accepted; after the heal the
/// very next command is.
#[test]
fn without_any_quorum_nothing_is_accepted_until_the_heal() {
    let outcome = rehearse_with_controls(3, 14.0, |fleet| {
        (0..3).for_each(|control| fleet.cut_control(control));
        sleep(Duration::from_millis(1500));
        let refused = fleet.publish("tickets", 2);
        assert!(matches!(refused, Err(RehearsalError::Refused(_))), "{refused:?}");
        (0..3).for_each(|control| fleet.heal_control(control));
        let accepted = wait_until(STEP_LIMIT, || fleet.drain_leaf(2).is_ok());
        assert!(accepted, "a quorum is back");
        Ok(())
    });
    outcome.assert_promises_kept();
}
