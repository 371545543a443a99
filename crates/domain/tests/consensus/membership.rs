//! Changes of the members in a running cluster.

use std::time::Duration;

use gingerkeel_domain::consensus::{
    MemberChange, MemberChangeError, MembershipPolicy, NodeNumber, RoleName,
};
use rstest::rstest;

use crate::lab::{Lab, member};

const ALL: [u32; 4] = [1, 2, 3, 4];

#[test]
fn a_learner_gets_the_log_and_does_not_count() {
    let mut lab = Lab::with_learner(&ALL);
    lab.propose(1, "x");
    lab.deliver_among(&[1, 4]);
    assert!(lab.commands(1).is_empty());
    lab.heartbeat(1, &ALL);
    lab.heartbeat(1, &ALL);
    assert_eq!(lab.commands(4), ["x"]);
}

#[test]
fn a_learner_does_not_stand_for_election() {
    let mut lab = Lab::with_learner(&ALL);
    lab.advance(10_000);
    lab.tick(4);
    assert!(lab.pending.is_empty());
    assert_eq!(lab.role(4), RoleName::Follower);
}

#[rstest]
#[case::caught_up(&ALL, Ok(()))]
#[case::never_reached(&[1, 2, 3], Err(MemberChangeError::NotCaughtUp(member(4))))]
fn a_learner_is_promoted_only_when_caught_up(
    #[case] reachable: &[u32],
    #[case] expected: Result<(), MemberChangeError>,
) {
    let mut lab = Lab::with_learner(reachable);
    for _ in 0..30 {
        lab.propose(1, "x");
        lab.deliver_among(reachable);
    }
    lab.heartbeat(1, reachable);
    let outcome = lab.change_members(MemberChange::Promote(member(4)));
    assert_eq!(outcome.map(|_| ()), expected);
}

#[test]
fn a_learner_that_fell_silent_is_not_promoted() {
    let mut lab = Lab::with_learner(&ALL);
    for _ in 0..10 {
        lab.heartbeat(1, &[1, 2, 3]);
    }
    let outcome = lab.change_members(MemberChange::Promote(member(4)));
    assert_eq!(outcome, Err(MemberChangeError::NotCaughtUp(member(4))));
}

#[test]
fn a_promoted_member_counts_from_its_entry_on() {
    let mut lab = Lab::with_learner(&ALL);
    lab.change_members(MemberChange::Promote(member(4))).expect("it has caught up");
    lab.deliver_among(&[1, 2]);
    assert!(lab.commit(1) < lab.node(1).node.status().last.index, "two of four are no quorum");
    lab.heartbeat(1, &[1, 2, 4]);
    assert_eq!(lab.commit(1), lab.node(1).node.status().last.index);
}

#[test]
fn one_change_at_a_time() {
    let mut lab = Lab::with_newcomer();
    lab.change_members(MemberChange::AddLearner(member(4))).expect("the first is taken");
    let second = lab.change_members(MemberChange::Remove(member(3)));
    assert_eq!(second, Err(MemberChangeError::ChangePending));
    lab.deliver_among(&ALL);
    assert!(lab.change_members(MemberChange::Remove(member(3))).is_ok());
}

#[test]
fn no_change_before_an_entry_of_the_own_term_is_committed() {
    let mut lab = Lab::new(3);
    lab.elect(1, &[1, 2, 3]);
    let outcome = lab.change_members(MemberChange::Remove(member(3)));
    assert_eq!(outcome, Err(MemberChangeError::ChangePending));
}

#[test]
fn no_change_that_leaves_too_few_voters_that_answer() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    for _ in 0..10 {
        lab.heartbeat(1, &[1, 2]);
    }
    let outcome = lab.change_members(MemberChange::Remove(member(2)));
    assert_eq!(outcome, Err(MemberChangeError::QuorumAtRisk));
    assert!(lab.change_members(MemberChange::Remove(member(3))).is_ok());
}

#[test]
fn a_change_that_was_overwritten_does_not_count() {
    let mut lab = Lab::with_newcomer();
    lab.change_members(MemberChange::AddLearner(member(4))).expect("it is taken");
    lab.pending.clear();
    lab.settle(2, &[2, 3]);
    lab.heartbeat(2, &[1, 2, 3]);
    lab.heartbeat(2, &[1, 2, 3]);
    assert!(!lab.node(1).node.configuration().contains(member(4)));
}

#[test]
fn a_leader_that_was_removed_ends_its_office() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.change_members(MemberChange::Remove(member(1))).expect("it is taken");
    lab.deliver_among(&[1, 2, 3]);
    assert_eq!(lab.role(1), RoleName::Follower);
    lab.settle(2, &[2, 3]);
    lab.propose(2, "x");
    lab.deliver_among(&[2, 3]);
    assert_eq!(lab.commands(3), ["x"]);
}

#[test]
fn a_removed_member_disturbs_nobody() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.change_members(MemberChange::Remove(member(3))).expect("it is taken");
    lab.deliver_among(&[1, 2]);
    let term = lab.node(1).node.status().term;
    for _ in 0..20 {
        lab.heartbeat(1, &[1, 2]);
        lab.advance(100);
        lab.tick(3);
        lab.deliver_among(&[1, 2, 3]);
    }
    assert_eq!(lab.role(1), RoleName::Leader);
    assert_eq!(lab.node(1).node.status().term, term);
}

#[test]
fn a_follower_does_not_change_members() {
    let mut lab = Lab::with_newcomer();
    let now = lab.now;
    let outcome = lab.node(2).node.change_members(now, MemberChange::Remove(member(3)));
    assert_eq!(outcome, Err(MemberChangeError::NotLeader(Some(member(1)))));
}

const GROWTH: MembershipPolicy = MembershipPolicy {
    min_voters: 3,
    max_voters: 4,
    voter_timeout: Duration::from_millis(2_000),
    spare_voter_timeout: Duration::from_millis(2_000),
    refusal_timeout: Duration::from_millis(150),
};

fn due(lab: &mut Lab, growth: &MembershipPolicy) -> Option<MemberChange> {
    let now = lab.now;
    lab.node(1).node.due_membership_change(now, growth)
}

/// The leader hears from these members alone for longer than a lost one may be silent.
fn hear_only(lab: &mut Lab, numbers: &[u32]) {
    for _ in 0..30 {
        lab.heartbeat(1, numbers);
    }
}

#[test]
fn a_learner_becomes_a_voter_up_to_the_most() {
    let mut lab = Lab::with_learner(&ALL);
    assert_eq!(due(&mut lab, &GROWTH), Some(MemberChange::Promote(member(4))));
    let full = MembershipPolicy { max_voters: 3, ..GROWTH };
    assert_eq!(due(&mut lab, &full), None);
}

#[test]
fn a_learner_takes_the_place_of_a_lost_voter_before_that_is_taken_out() {
    let full = MembershipPolicy { max_voters: 3, ..GROWTH };
    let mut lab = Lab::with_learner(&ALL);
    hear_only(&mut lab, &[1, 2, 4]);
    let promotion = MemberChange::Promote(member(4));
    assert_eq!(due(&mut lab, &full), Some(promotion));
    lab.change_members(promotion).expect("the learner has caught up");
    hear_only(&mut lab, &[1, 2, 4]);
    assert_eq!(due(&mut lab, &full), Some(MemberChange::Remove(member(3))));
}

#[test]
fn a_lost_voter_stays_while_too_few_others_answer() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    hear_only(&mut lab, &[1, 2]);
    assert_eq!(due(&mut lab, &GROWTH), None);
}

/// Guards against a second loss that ends the quorum, since a machine that was replaced stays a voter
/// for long after it has left.
#[test]
fn a_lost_voter_is_taken_out_soon_while_there_are_voters_to_spare() {
    let soon = MembershipPolicy { spare_voter_timeout: Duration::from_millis(500), ..GROWTH };
    let mut lab = Lab::with_learner(&ALL);
    lab.change_members(MemberChange::Promote(member(4))).expect("promoted");
    lab.heartbeat(1, &ALL);
    for _ in 0..7 {
        lab.heartbeat(1, &[1, 2, 4]);
    }
    assert_eq!(due(&mut lab, &GROWTH), None, "the usual time has not passed");
    assert_eq!(due(&mut lab, &soon), Some(MemberChange::Remove(member(3))));
}

/// Guards against a machine that was replaced while it led, and stays a voter for longer than others
/// since its successor counts its silence from the election on.
#[test]
fn the_silence_of_a_former_leader_counts_from_its_last_message() {
    let mut lab = Lab::with_learner(&ALL);
    lab.change_members(MemberChange::Promote(member(4))).expect("promoted");
    lab.heartbeat(1, &ALL);
    lab.heartbeat(1, &ALL);
    lab.advance(1_500);
    lab.elect(2, &[2, 3, 4]);
    for _ in 0..6 {
        lab.heartbeat(2, &[2, 3, 4]);
    }
    let now = lab.now;
    let due = lab.node(2).node.due_membership_change(now, &GROWTH);
    assert_eq!(due, Some(MemberChange::Remove(member(1))));
}

#[test]
fn a_member_that_was_taken_out_may_join_again_with_its_log() {
    let mut lab = Lab::with_learner(&ALL);
    lab.change_members(MemberChange::Promote(member(4))).expect("promoted");
    hear_only(&mut lab, &[1, 2, 4]);
    lab.change_members(MemberChange::Remove(member(3))).expect("taken out");
    hear_only(&mut lab, &[1, 2, 4]);
    lab.change_members(MemberChange::AddLearner(member(3))).expect("it joins again");
    lab.propose(1, "x");
    hear_only(&mut lab, &ALL);
    assert_eq!(lab.commands(3), ["x"]);
    assert_eq!(due(&mut lab, &GROWTH), Some(MemberChange::Promote(member(3))));
}

#[test]
fn only_a_leader_sees_a_change_due() {
    let mut lab = Lab::with_learner(&ALL);
    let now = lab.now;
    assert_eq!(lab.node(2).node.due_membership_change(now, &GROWTH), None);
}

/// Guards against a group without a leader: the log of the removed leader is the most complete one,
/// so that the others elect nobody, and it does not stand for election.
#[test]
fn a_leader_whose_removal_is_not_committed_can_be_elected_again() {
    let mut lab = Lab::new(4);
    lab.settle(1, &[1, 2, 3, 4]);
    lab.heartbeat(1, &[1, 2, 3, 4]);
    lab.change_members(MemberChange::Remove(member(1))).expect("the removal is taken");
    lab.pending.clear();
    lab.elect(1, &[1, 3, 4]);
    lab.heartbeat(1, &[1, 3, 4]);
    lab.heartbeat(1, &[1, 3, 4]);
    let configuration = lab.node(3).node.configuration().clone();
    assert!(!configuration.contains(member(1)));
    assert_eq!(lab.role(1), RoleName::Follower);
    lab.elect(3, &[3, 4]);
}

/// Guards against a follower that tries again and again to remove a voter whose process has ended.
#[test]
fn no_change_is_due_at_a_follower() {
    let mut lab = Lab::new(4);
    lab.settle(1, &[1, 2, 3, 4]);
    let now = lab.now;
    for number in [1, 2] {
        lab.node(number).node.set_refusing(now, NodeNumber(4), true);
    }
    lab.heartbeat(1, &[1, 2, 3]);
    lab.advance(200);
    assert_eq!(due(&mut lab, &GROWTH), Some(MemberChange::Remove(member(4))));
    let now = lab.now;
    assert_eq!(lab.node(2).node.due_membership_change(now, &GROWTH), None);
}
