//! Followers' logs: what is accepted, rejected and replaced.

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    AppendOutcome, Entry, Envelope, LogIndex, LogPosition, Message, Payload, ReadRound, Term,
};
use rstest::rstest;

use crate::lab::{Lab, member};

fn entry(term: u64, index: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(format!("{term}-{index}")));
    Entry { term: Term(term), index: LogIndex(index), payload }
}

fn append(lab: &mut Lab, previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> AppendOutcome {
    let previous = LogPosition { term: Term(previous.0), index: LogIndex(previous.1) };
    let commit = LogIndex(commit);
    let message = Message::AppendRequest { previous, entries, commit, round: ReadRound(0) };
    lab.step(Envelope { from: member(2), to: member(1), term: Term(5), message });
    match lab.pending.pop().expect("an answer").message {
        Message::AppendResponse { outcome, .. } => outcome,
        other => panic!("unexpected {other:?}"),
    }
}

/// The follower has (1,1), (2,2), (2,3), (2,4) and has committed up to 2.
fn follower() -> Lab {
    let mut lab = Lab::new(3);
    append(&mut lab, (1, 1), vec![entry(2, 2), entry(2, 3), entry(2, 4)], 2);
    lab
}

#[rstest]
#[case::follows_the_last((2, 4), vec![entry(5, 5)], 5, 5)]
#[case::known_entries_again((2, 2), vec![entry(2, 3)], 3, 4)]
#[case::replaces_another_term((2, 3), vec![entry(5, 4)], 4, 4)]
#[case::replaces_a_longer_tail((2, 2), vec![entry(5, 3)], 3, 3)]
#[case::heartbeat((2, 4), vec![], 4, 4)]
#[case::starts_before_the_commit_index((0, 0), vec![], 2, 4)]
fn matching_entries_are_accepted(
    #[case] previous: (u64, u64),
    #[case] entries: Vec<Entry>,
    #[case] matched: u64,
    #[case] last: u64,
) {
    let mut lab = follower();
    let outcome = append(&mut lab, previous, entries, 0);
    assert_eq!(outcome, AppendOutcome::Accepted { matched: LogIndex(matched) });
    assert_eq!(lab.node(1).node.status().last.index, LogIndex(last));
}

#[rstest]
#[case::gap((5, 9), 4)]
#[case::another_term((4, 4), 2)]
#[case::another_term_in_the_middle((4, 3), 2)]
fn entries_after_a_difference_are_rejected(#[case] previous: (u64, u64), #[case] hint: u64) {
    let mut lab = follower();
    let outcome = append(&mut lab, previous, vec![entry(5, previous.1 + 1)], 9);
    let (previous, hint) = (LogIndex(previous.1), LogIndex(hint));
    assert_eq!(outcome, AppendOutcome::Rejected { previous, hint });
    assert_eq!(lab.commit(1), LogIndex(2));
}

#[rstest]
#[case::no_further_than_the_entries_that_match((2, 2), 4, 2)]
#[case::as_far_as_the_leader((2, 4), 3, 3)]
#[case::never_back((2, 4), 1, 2)]
fn the_commit_index_covers_only_entries_known_to_match(
    #[case] previous: (u64, u64),
    #[case] leader_commit: u64,
    #[case] expected: u64,
) {
    let mut lab = follower();
    append(&mut lab, previous, vec![], leader_commit);
    assert_eq!(lab.commit(1), LogIndex(expected));
}

#[test]
fn an_earlier_terms_entries_are_refused() {
    let mut lab = follower();
    let previous = LogPosition { term: Term(2), index: LogIndex(4) };
    let entries = vec![entry(3, 5)];
    let commit = LogIndex(4);
    let message = Message::AppendRequest { previous, entries, commit, round: ReadRound(0) };
    lab.step(Envelope { from: member(3), to: member(1), term: Term(3), message });
    let answer = lab.pending.pop().expect("an answer");
    assert_eq!(answer.term, Term(5));
    assert_eq!(lab.node(1).node.status().last.index, LogIndex(4));
}
