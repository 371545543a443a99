//! Elections: who gets a vote, pre-vote, and a leader's office.

use gingerkeel_domain::consensus::{
    AppendOutcome, Envelope, LogIndex, LogPosition, Message, ReadRound, RoleName, Term,
};
use rstest::rstest;

use crate::lab::{Lab, member};

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index: LogIndex(index) }
}

/// The voter's log ends at (1, 1); it is in term 1.
#[rstest]
#[case::same_log(position(1, 1), 2, true)]
#[case::longer_log(position(1, 5), 2, true)]
#[case::later_last_term(position(2, 1), 3, true)]
#[case::shorter_log(position(0, 0), 2, false)]
#[case::earlier_last_term(position(0, 9), 2, false)]
fn a_vote_goes_only_to_a_log_as_complete(
    #[case] last: LogPosition,
    #[case] term: u64,
    #[case] expected: bool,
) {
    let mut lab = Lab::new(3);
    let message = Message::VoteRequest { last };
    lab.step(Envelope { from: member(2), to: member(1), term: Term(term), message });
    let answer = lab.pending.pop().expect("an answer");
    assert_eq!(answer.message, Message::VoteResponse { granted: expected });
}

#[rstest]
#[case::same_candidate(2, 2, true)]
#[case::another_candidate(2, 3, false)]
fn one_vote_in_a_term(#[case] first: u32, #[case] second: u32, #[case] expected: bool) {
    let mut lab = Lab::new(3);
    for candidate in [first, second] {
        let message = Message::VoteRequest { last: position(1, 1) };
        let from = member(candidate);
        lab.step(Envelope { from, to: member(1), term: Term(2), message });
    }
    let answer = lab.pending.pop().expect("an answer");
    assert_eq!(answer.message, Message::VoteResponse { granted: expected });
}

#[rstest]
#[case::one_of_one(1, &[], true)]
#[case::two_of_three(3, &[2], true)]
#[case::one_of_three(3, &[], false)]
#[case::two_of_four(4, &[2], false)]
#[case::three_of_five(5, &[2, 3], true)]
#[case::two_of_five(5, &[2], false)]
fn a_quorum_elects(#[case] count: u32, #[case] reachable: &[u32], #[case] expected: bool) {
    let mut lab = Lab::new(count);
    lab.advance(10_000);
    lab.tick(1);
    let numbers = [&[1], reachable].concat();
    lab.deliver_where(&numbers, crate::lab::is_vote);
    assert_eq!(lab.role(1) == RoleName::Leader, expected);
}

#[test]
fn a_member_without_a_quorum_leaves_its_term_alone() {
    let mut lab = Lab::new(3);
    for _ in 0..20 {
        lab.advance(2_000);
        lab.tick(1);
        lab.pending.clear();
    }
    assert_eq!(lab.node(1).node.status().term, Term(1));
}

#[rstest]
#[case::right_after_a_heartbeat(100, false)]
#[case::after_the_election_timeout(700, true)]
fn a_voter_that_hears_a_leader_gives_no_vote(#[case] silence: u64, #[case] expected: bool) {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.advance(silence);
    let term = Term(lab.node(1).node.status().term.0 + 1);
    let message = Message::VoteRequest { last: position(9, 9) };
    lab.step(Envelope { from: member(3), to: member(2), term, message });
    let granted = Message::VoteResponse { granted: true };
    assert_eq!(lab.pending.iter().any(|answer| answer.message == granted), expected);
}

#[rstest]
#[case::with_a_quorum(&[1, 2], true)]
#[case::alone(&[1], false)]
fn a_leader_stays_only_while_a_quorum_answers(#[case] reachable: &[u32], #[case] expected: bool) {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    for _ in 0..15 {
        lab.heartbeat(1, reachable);
    }
    assert_eq!(lab.role(1) == RoleName::Leader, expected);
}

#[test]
fn a_leader_that_learns_of_a_later_term_steps_down() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    let outcome = AppendOutcome::NoStatement;
    let message = Message::AppendResponse { outcome, round: ReadRound(0) };
    lab.step(Envelope { from: member(2), to: member(1), term: Term(9), message });
    assert_eq!(lab.role(1), RoleName::Follower);
    assert_eq!(lab.node(1).node.status().term, Term(9));
}

#[test]
fn a_member_whose_disk_is_full_neither_leads_nor_stands_for_election() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    let now = lab.now;
    lab.node(1).node.set_storage_available(now, false);
    assert_eq!(lab.role(1), RoleName::Follower);
    lab.advance(10_000);
    lab.tick(1);
    assert!(lab.pending.is_empty());
    lab.settle(2, &[1, 2, 3]);
}

#[test]
fn a_message_for_another_incarnation_is_dropped() {
    let mut lab = Lab::new(3);
    let mut former = member(1);
    former.incarnation.0 = 0;
    let message = Message::VoteRequest { last: position(9, 9) };
    let envelope = Envelope { from: member(2), to: former, term: Term(5), message };
    let now = lab.now;
    lab.node(1).node.step(now, envelope);
    assert_eq!(lab.node(1).node.ready(), None);
    assert_eq!(lab.node(1).node.status().term, Term(1));
}
