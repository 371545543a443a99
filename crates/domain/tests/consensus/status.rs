//! What a member tells of the others: who is silent, who lags, and who gave no answer to a candidate.

use std::time::Duration;

use gingerkeel_domain::consensus::{MemberContact, MemberId, RoleName};

use crate::lab::{Lab, member, quick_elections};

/// Five voters, of which the first leads.
fn five_voters() -> Lab {
    let mut lab = Lab::with_settings(5, quick_elections());
    lab.settle(1, &[1, 2, 3, 4, 5]);
    lab
}

fn contact(lab: &mut Lab, leader: u32, other: u32) -> MemberContact {
    let now = lab.now;
    let contacts = lab.node(leader).node.contacts(now);
    let found = contacts.into_iter().find(|contact| contact.member == member(other));
    found.expect("a contact of each other member")
}

#[test]
fn a_leader_tells_who_is_silent_and_for_how_long() {
    let mut lab = five_voters();
    let silent_since = lab.now;
    // Four heartbeats, 100 ms apart: longer than the election timeout.
    (0..4).for_each(|_| lab.heartbeat(1, &[1, 2, 3, 4]));
    let silent = contact(&mut lab, 1, 5);
    assert!(silent.is_silent && silent.is_voter);
    assert_eq!(silent.silent_for, lab.now.since(silent_since));
    let answering = contact(&mut lab, 1, 2);
    assert!(!answering.is_silent);
    assert_eq!(answering.silent_for, Duration::ZERO);
}

#[test]
fn a_leader_tells_which_voter_answers_but_has_not_written_the_last_entry() {
    let mut lab = five_voters();
    lab.node(2).disk_works = false;
    lab.propose(1, "a");
    lab.deliver_among(&[1, 2, 3, 4, 5]);
    let last = lab.node(1).node.status().last.index;
    assert_eq!(contact(&mut lab, 1, 3).matched, last);
    let behind = contact(&mut lab, 1, 2);
    assert!(behind.matched < last && !behind.is_silent);
}

#[test]
fn a_learner_is_told_apart_from_a_voter() {
    let mut lab = Lab::with_learner(&[1, 2, 3, 4]);
    assert!(!contact(&mut lab, 1, 4).is_voter);
    assert!(contact(&mut lab, 1, 2).is_voter);
}

#[test]
fn a_follower_tells_when_it_last_heard_of_the_leader() {
    let mut lab = five_voters();
    lab.heartbeat(1, &[1, 2, 3, 4, 5]);
    lab.advance(250);
    let now = lab.now;
    let follower = &lab.node(2).node;
    assert_eq!(follower.leader_silent_for(now), Some(Duration::from_millis(250)));
    assert!(follower.contacts(now).is_empty());
    assert_eq!(lab.node(1).node.leader_silent_for(now), None);
}

#[test]
fn a_member_that_never_followed_a_leader_tells_no_time() {
    let mut lab = Lab::with_newcomer();
    lab.advance(5_000);
    let now = lab.now;
    assert_eq!(lab.node(4).node.leader_silent_for(now), None);
}

#[test]
fn a_candidate_tells_which_voters_gave_no_answer() {
    let mut lab = five_voters();
    assert!(lab.node(2).node.voters_without_answer().is_empty());
    lab.advance(1_000);
    lab.tick(2);
    // Two of five do not suffice.
    lab.deliver_among(&[2, 3]);
    assert_eq!(lab.role(2), RoleName::PreCandidate);
    let unanswered: Vec<MemberId> = [1, 4, 5].map(member).to_vec();
    assert_eq!(lab.node(2).node.voters_without_answer(), unanswered);
}
