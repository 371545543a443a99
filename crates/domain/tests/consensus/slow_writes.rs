//! Elections and heartbeats while writes of some members take long.

use std::time::Duration;

use gingerkeel_domain::consensus::{
    AppendOutcome, MemberChange, Message, Recovered, RequestNumber, RoleName, Term, WriteNumber,
};
use rstest::rstest;

use crate::lab::{Lab, POLICY, is_vote, member, settings, voters};

/// Reports all writes of a member as persisted.
fn finish_writes(lab: &mut Lab, number: u32) {
    let now = lab.now;
    lab.node(number).node.persisted(now, WriteNumber(u64::MAX));
    lab.flush(member(number));
}

/// Three members whose leader, the first, has a command that no follower has on disk.
fn lab_with_hanging_followers() -> Lab {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.heartbeat(1, &[1, 2, 3]);
    lab.node(2).disk_works = false;
    lab.node(3).disk_works = false;
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2, 3]);
    lab
}

#[test]
fn a_leader_stays_in_office_while_its_followers_write_and_commits_nothing() {
    let mut lab = lab_with_hanging_followers();
    for _ in 0..30 {
        lab.heartbeat(1, &[1, 2, 3]);
    }
    assert_eq!(lab.role(1), RoleName::Leader);
    assert!(lab.commands(1).is_empty());
    finish_writes(&mut lab, 2);
    lab.deliver_among(&[1, 2, 3]);
    assert_eq!(lab.commands(1), ["x"]);
}

#[test]
fn a_read_is_confirmed_while_followers_write() {
    let mut lab = lab_with_hanging_followers();
    lab.node(1).node.read(RequestNumber(7)).expect("it leads");
    lab.flush(member(1));
    lab.deliver_among(&[1, 2, 3]);
    assert_eq!(lab.node(1).reads.len(), 1);
}

#[test]
fn a_heartbeat_of_a_new_term_is_answered_only_once_the_term_is_on_disk() {
    let mut lab = Lab::new(3);
    lab.node(3).disk_works = false;
    lab.elect(1, &[1, 2]);
    for _ in 0..3 {
        lab.advance(100);
        lab.tick(1);
        for envelope in std::mem::take(&mut lab.pending) {
            if envelope.to == member(3) {
                lab.step(envelope);
            }
        }
        assert!(lab.pending.is_empty());
    }
    finish_writes(&mut lab, 3);
    let answers = std::mem::take(&mut lab.pending);
    assert!(answers.iter().all(|answer| answer.term == Term(2)));
    let is_accepted = |message: &Message| {
        matches!(message, Message::AppendResponse { outcome: AppendOutcome::Accepted { .. }, .. })
    };
    assert!(answers.iter().any(|answer| is_accepted(&answer.message)));
}

#[test]
fn a_candidate_counts_votes_that_take_longer_than_the_election_timeout() {
    let mut lab = Lab::new(3);
    lab.node(2).disk_works = false;
    lab.advance(10_000);
    lab.tick(1);
    lab.deliver_where(&[1, 2], is_vote);
    for _ in 0..3 {
        lab.advance(2_000);
        lab.tick(1);
        lab.tick(2);
        lab.deliver_where(&[1, 2], is_vote);
    }
    assert_eq!(lab.role(1), RoleName::Candidate);
    assert_eq!(lab.node(1).node.status().term, Term(2));
    finish_writes(&mut lab, 2);
    lab.deliver_where(&[1, 2], is_vote);
    assert_eq!(lab.role(1), RoleName::Leader);
}

#[test]
fn a_candidate_whose_vote_is_being_written_does_not_start_another_term() {
    let mut lab = Lab::new(3);
    lab.node(1).disk_works = false;
    for _ in 0..5 {
        lab.advance(10_000);
        lab.tick(1);
        lab.deliver_where(&[1, 2, 3], is_vote);
    }
    assert_eq!(lab.node(1).node.status().term, Term(2));
    assert_eq!(lab.node(1).writes.len(), 1);
}

#[test]
fn a_candidate_whose_disk_hangs_does_not_keep_others_from_being_elected() {
    let mut lab = Lab::new(3);
    lab.node(1).disk_works = false;
    lab.advance(10_000);
    lab.tick(1);
    lab.deliver_where(&[1, 2, 3], is_vote);
    assert_eq!(lab.role(1), RoleName::Candidate);
    lab.elect(2, &[1, 2, 3]);
}

/// A voter that answers heartbeats but writes nothing is replaced like one that is silent.
#[rstest]
#[case::its_writes_hang(false, Some(MemberChange::Remove(member(4))))]
#[case::its_writes_are_done(true, None)]
fn a_voter_whose_writes_hang_counts_as_lost(
    #[case] disk_works: bool,
    #[case] expected: Option<MemberChange>,
) {
    let mut lab = Lab::new(4);
    lab.settle(1, &[1, 2, 3, 4]);
    lab.heartbeat(1, &[1, 2, 3, 4]);
    lab.node(4).disk_works = disk_works;
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2, 3, 4]);
    let until = lab.now.after(POLICY.spare_voter_timeout).after(Duration::from_millis(100));
    while lab.now < until {
        lab.heartbeat(1, &[1, 2, 3, 4]);
    }
    let now = lab.now;
    assert_eq!(lab.node(1).node.due_membership_change(now, &POLICY), expected);
}

/// The first leader of a cluster need not wait for an election timeout after the first write.
#[test]
fn a_bootstrapped_member_stands_for_election_at_once() {
    let mut lab = Lab::new(1);
    lab.start(member(1), Recovered::default());
    let now = lab.now;
    lab.node(1).node.bootstrap(now, voters(1));
    lab.tick(1);
    assert_eq!(lab.role(1), RoleName::Leader);
}

/// Members that ask for pre-votes at the same time would otherwise all vote for themselves.
#[rstest]
#[case::both(&[1, 2])]
#[case::all(&[1, 2, 3])]
fn members_that_time_out_together_do_not_split_the_votes(#[case] numbers: &[u32]) {
    let mut lab = Lab::new(3);
    lab.advance(10_000);
    numbers.iter().for_each(|number| lab.tick(*number));
    lab.deliver_where(&[1, 2, 3], is_vote);
    let highest = *numbers.last().expect("some");
    assert_eq!(lab.role(highest), RoleName::Leader);
    assert_eq!(lab.node(highest).node.status().term, Term(2));
}

/// The member with the highest number cannot be elected without the link, and the first one can.
#[test]
fn a_pre_candidate_that_cannot_win_lets_another_one_be_elected() {
    let mut lab = Lab::new(4);
    let mut elected = false;
    for _ in 0..200 {
        lab.advance(50);
        for number in [1, 2, 3] {
            let now = lab.now;
            if now >= lab.node(number).node.next_timer() {
                lab.tick(number);
            }
        }
        while let Some(envelope) = lab.pending.pop() {
            let (from, to) = (envelope.from.node.0, envelope.to.node.0);
            let is_cut = from + to == 5 || from == 4 || to == 4;
            if !is_cut {
                lab.step(envelope);
            }
        }
        elected |= [1, 2, 3].into_iter().any(|number| lab.role(number) == RoleName::Leader);
    }
    assert!(elected);
}

#[test]
fn the_election_timeout_starts_anew_once_the_vote_is_on_disk() {
    let mut lab = Lab::new(3);
    lab.node(2).disk_works = false;
    lab.advance(10_000);
    lab.tick(1);
    lab.deliver_where(&[1, 2], is_vote);
    lab.advance(10_000);
    finish_writes(&mut lab, 2);
    let earliest = lab.now.after(settings().election_timeout);
    assert!(lab.node(2).node.next_timer() >= earliest);
}
