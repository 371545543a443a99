//! Planned stops, and members whose address refuses connections.

use gingerkeel_domain::consensus::{MemberChange, NodeNumber, RoleName};
use rstest::rstest;

use crate::lab::{Lab, POLICY, member};

/// Voters 1 to `count`, of which the first leads.
fn voters(count: u32) -> Lab {
    let mut lab = Lab::new(count);
    lab.settle(1, &numbers(count));
    lab
}

fn numbers(count: u32) -> Vec<u32> {
    (1..=count).collect()
}

/// What the drivers do once: the member asks, and the leader makes a change or gives permission.
fn prepare_stop(lab: &mut Lab, stopping: u32, reachable: &[u32]) -> Option<MemberChange> {
    let _ = lab.node(stopping).node.prepare_stop();
    lab.flush(member(stopping));
    lab.deliver_among(reachable);
    let now = lab.now;
    let due = lab.node(1).node.due_membership_change(now, &POLICY);
    lab.node(1).node.permit_stops(now, Some(&POLICY));
    lab.flush(member(1));
    lab.deliver_among(reachable);
    due
}

fn may_stop(lab: &mut Lab, number: u32) -> bool {
    lab.node(number).node.prepare_stop()
}

#[rstest]
#[case::follower(2)]
#[case::leader(1)]
fn a_restart_in_place_costs_no_voter_while_none_is_to_spare(#[case] stopping: u32) {
    let mut lab = voters(3);
    assert_eq!(prepare_stop(&mut lab, stopping, &[1, 2, 3]), None);
    assert!(may_stop(&mut lab, stopping));
    assert_eq!(lab.node(3).node.configuration().voters.len(), 3);
}

#[rstest]
#[case::one_of_four(4, Some(MemberChange::Remove(member(2))))]
#[case::one_of_five(5, None)]
fn a_member_that_stops_is_removed_if_one_more_loss_would_end_the_quorum(
    #[case] count: u32,
    #[case] expected: Option<MemberChange>,
) {
    let mut lab = voters(count);
    assert_eq!(prepare_stop(&mut lab, 2, &numbers(count)), expected);
    assert_eq!(may_stop(&mut lab, 2), expected.is_none());
}

#[test]
fn a_learner_takes_the_place_of_a_voter_that_stops() {
    let mut lab = Lab::with_learner(&numbers(4));
    lab.heartbeat(1, &numbers(4));
    assert_eq!(prepare_stop(&mut lab, 2, &numbers(4)), Some(MemberChange::Promote(member(4))));
    lab.change_members(MemberChange::Promote(member(4))).expect("the change is accepted");
    lab.deliver_among(&numbers(4));
    assert_eq!(prepare_stop(&mut lab, 2, &numbers(4)), Some(MemberChange::Remove(member(2))));
    assert!(!may_stop(&mut lab, 2), "the removal is not committed");
    lab.change_members(MemberChange::Remove(member(2))).expect("the change is accepted");
    lab.deliver_among(&numbers(4));
    assert_eq!(prepare_stop(&mut lab, 2, &numbers(4)), None);
    assert!(may_stop(&mut lab, 2));
}

#[test]
fn a_stop_waits_while_the_quorum_needs_the_member() {
    let mut lab = voters(3);
    for _ in 0..10 {
        lab.heartbeat(1, &[1, 2]);
    }
    assert_eq!(prepare_stop(&mut lab, 2, &[1, 2]), None);
    assert!(!may_stop(&mut lab, 2), "the third member is missing");
    lab.heartbeat(1, &[1, 2, 3]);
    assert_eq!(prepare_stop(&mut lab, 2, &[1, 2, 3]), None);
    assert!(may_stop(&mut lab, 2));
}

#[test]
fn two_members_that_stop_at_once_are_permitted_one_after_the_other() {
    let mut lab = voters(3);
    let _ = lab.node(2).node.prepare_stop();
    lab.flush(member(2));
    prepare_stop(&mut lab, 3, &[1, 2, 3]);
    let permitted = [2, 3].map(|number| may_stop(&mut lab, number));
    assert_eq!(permitted, [true, false]);
}

#[test]
fn a_member_of_two_does_not_wait_for_another_one() {
    let mut lab = voters(2);
    prepare_stop(&mut lab, 2, &[1, 2]);
    assert!(may_stop(&mut lab, 2));
}

#[test]
fn a_request_to_stop_expires() {
    let mut lab = voters(4);
    assert_eq!(prepare_stop(&mut lab, 2, &numbers(4)), Some(MemberChange::Remove(member(2))));
    for _ in 0..11 {
        lab.heartbeat(1, &numbers(4));
    }
    let now = lab.now;
    assert_eq!(lab.node(1).node.due_membership_change(now, &POLICY), None);
}

/// Guards against changes that wait for the election timeout whenever the leader is restarted.
#[test]
fn a_leader_that_stops_hands_over_without_an_election_timeout() {
    let mut lab = voters(3);
    let _ = lab.node(1).node.prepare_stop();
    let now = lab.now;
    lab.node(1).node.permit_stops(now, Some(&POLICY));
    lab.flush(member(1));
    lab.deliver_among(&[1, 2, 3]);
    for number in [2, 3] {
        if lab.node(number).node.next_timer() <= now {
            lab.tick(number);
        }
    }
    lab.deliver_among(&[1, 2, 3]);
    let roles = [2, 3].map(|number| lab.role(number));
    assert!(roles.contains(&RoleName::Leader), "{roles:?}");
    assert!(may_stop(&mut lab, 1));
}

#[test]
fn a_member_that_stops_starts_no_election() {
    let mut lab = voters(3);
    let _ = lab.node(2).node.prepare_stop();
    lab.flush(member(2));
    lab.pending.clear();
    lab.advance(10_000);
    lab.tick(2);
    assert_eq!(lab.role(2), RoleName::Follower);
}

#[rstest]
#[case::one_of_four(4, Some(MemberChange::Remove(member(2))))]
#[case::one_of_five(5, None)]
#[case::one_of_three(3, None)]
fn a_refusing_voter_is_removed_if_one_more_loss_would_end_the_quorum(
    #[case] count: u32,
    #[case] expected: Option<MemberChange>,
) {
    let mut lab = voters(count);
    let now = lab.now;
    lab.node(1).node.set_refusing(now, NodeNumber(2), true);
    assert_eq!(lab.node(1).node.due_membership_change(now, &POLICY), None, "seen once");
    lab.advance(200);
    let later = lab.now;
    assert_eq!(lab.node(1).node.due_membership_change(later, &POLICY), expected);
    lab.node(1).node.set_refusing(later, NodeNumber(2), false);
    assert_eq!(lab.node(1).node.due_membership_change(later, &POLICY), None, "it is back");
}

/// Guards against changes that wait for the election timeout although the leader is known to have
/// ended.
#[test]
fn a_leader_that_refuses_connections_is_replaced_soon() {
    let mut lab = voters(3);
    lab.heartbeat(1, &[1, 2, 3]);
    let now = lab.now;
    for number in [2, 3] {
        lab.node(number).node.set_refusing(now, NodeNumber(1), true);
    }
    for _ in 0..20 {
        lab.advance(10);
        for number in [2, 3] {
            if lab.node(number).node.next_timer() <= lab.now {
                lab.tick(number);
            }
        }
        lab.deliver_among(&[2, 3]);
    }
    let roles = [2, 3].map(|number| lab.role(number));
    assert!(roles.contains(&RoleName::Leader), "{roles:?}");
}
