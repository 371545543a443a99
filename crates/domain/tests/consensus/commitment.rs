//! Commitment: what counts as accepted.

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Envelope, LogIndex, LogPosition, Message, ProposeError, ReadRound,
};
use rstest::rstest;

use crate::lab::{Lab, member, settings};

#[rstest]
#[case::one_of_one(1, &[1], true)]
#[case::two_of_three(3, &[1, 2], true)]
#[case::one_of_three(3, &[1], false)]
#[case::two_of_five(5, &[1, 2], false)]
#[case::three_of_five(5, &[1, 4, 5], true)]
fn a_quorum_commits(#[case] count: u32, #[case] reachable: &[u32], #[case] expected: bool) {
    let all: Vec<u32> = (1..=count).collect();
    let mut lab = Lab::new(count);
    lab.settle(1, &all);
    lab.propose(1, "x");
    lab.deliver_among(reachable);
    assert_eq!(lab.commands(1) == ["x"], expected);
}

#[test]
fn followers_learn_what_is_committed() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2, 3]);
    assert_eq!(lab.commands(2), ["x"]);
    assert_eq!(lab.commands(3), ["x"]);
}

#[test]
fn a_follower_hands_commands_to_the_leader() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.propose(2, "x");
    lab.deliver_among(&[1, 2, 3]);
    assert_eq!(lab.commands(3), ["x"]);
}

#[test]
fn a_follower_that_missed_entries_gets_them() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    for command in ["a", "b", "c"] {
        lab.propose(1, command);
        lab.deliver_among(&[1, 2]);
    }
    lab.heartbeat(1, &[1, 2, 3]);
    lab.heartbeat(1, &[1, 2, 3]);
    assert_eq!(lab.commands(3), ["a", "b", "c"]);
}

#[test]
fn refused_commands_name_the_reason() {
    let mut lab = Lab::new(3);
    let now = lab.now;
    let refused = lab.node(1).node.propose(now, Bytes::from_static(b"x"));
    assert_eq!(refused, Err(ProposeError::NoLeader));
    lab.settle(1, &[1, 2, 3]);
    let limit = settings().command_bytes_limit;
    let refused = lab.node(1).node.propose(now, Bytes::from(vec![0; limit + 1]));
    assert_eq!(refused, Err(ProposeError::TooLarge(limit + 1, limit)));
}

#[test]
fn a_leader_without_a_quorum_takes_a_bounded_number_of_commands() {
    let limited = gingerkeel_domain::consensus::ConsensusSettings {
        uncommitted_entries_limit: 3,
        ..settings()
    };
    let mut lab = Lab::with_settings(3, limited);
    lab.settle(1, &[1, 2, 3]);
    let now = lab.now;
    let outcomes: Vec<bool> =
        (0..5).map(|_| lab.node(1).node.propose(now, Bytes::from_static(b"x")).is_ok()).collect();
    assert_eq!(outcomes, [true, true, true, false, false]);
}

/// The fifth member's view of the same index as that of the third, after the schedule of the
/// Raft paper's figure 8. `early` is what a leader without the rule would send: a commit index
/// for an entry of an earlier term as soon as a quorum has it.
fn entry_of_an_earlier_term(early: bool) -> (Vec<String>, Vec<String>) {
    let all = [1, 2, 3, 4, 5];
    let mut lab = Lab::new(5);
    lab.settle(1, &all);
    let position = LogPosition {
        term: lab.node(1).node.status().term,
        index: lab.node(1).node.status().last.index.next(),
    };
    lab.propose(1, "old");
    lab.deliver_among(&[1, 2]);
    lab.elect(5, &[3, 4, 5]);
    let now = lab.now;
    lab.node(5).node.propose(now, Bytes::from_static(b"new")).expect("it leads");
    lab.flush(member(5));
    lab.pending.clear();
    lab.elect(1, &[1, 2, 3]);
    bring_one_entry(&mut lab, position.index);
    if early {
        let term = lab.node(1).node.status().term;
        let message = Message::AppendRequest {
            previous: position,
            entries: Vec::new(),
            commit: position.index,
            round: ReadRound(0),
        };
        lab.step(Envelope { from: member(1), to: member(3), term, message });
    }
    lab.pending.clear();
    lab.settle(5, &[2, 3, 4, 5]);
    lab.heartbeat(5, &[2, 3, 4, 5]);
    (lab.commands(3), lab.commands(4))
}

/// Lets the third member catch up to `index` and no further.
fn bring_one_entry(lab: &mut Lab, index: LogIndex) {
    lab.advance(100);
    lab.tick(1);
    while lab.node(3).node.status().last.index < index {
        assert!(!lab.pending.is_empty(), "the entry is on its way");
        for envelope in std::mem::take(&mut lab.pending) {
            let parties = (envelope.from, envelope.to);
            if parties == (member(1), member(3)) || parties == (member(3), member(1)) {
                lab.step(envelope);
            }
            if lab.node(3).node.status().last.index == index {
                break;
            }
        }
    }
    lab.pending.clear();
}

#[test]
fn an_earlier_terms_entry_is_committed_only_with_one_of_the_own_term() {
    let (third, fourth) = entry_of_an_earlier_term(false);
    assert_eq!(third, ["new"]);
    assert_eq!(fourth, ["new"]);
}

#[test]
fn without_that_rule_two_members_apply_different_commands() {
    let (third, fourth) = entry_of_an_earlier_term(true);
    assert_ne!(third, fourth);
}
