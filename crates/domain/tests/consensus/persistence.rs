//! What is sent only after it is on disk.

use gingerkeel_domain::consensus::{
    Envelope, LogIndex, LogPosition, Message, Recovered, RoleName, Term, Write, WriteNumber,
};
use rstest::rstest;

use crate::lab::{Lab, member, voters};

/// What a member that formed the cluster has on disk after these writes.
fn on_disk(writes: &[Write]) -> Recovered {
    let mut recovered = Recovered::bootstrap(voters(3));
    for write in writes {
        recovered.hard_state = write.hard_state.unwrap_or(recovered.hard_state);
        recovered.entries.extend(write.entries.iter().cloned());
        recovered.commit = write.commit;
    }
    recovered
}

fn last() -> LogPosition {
    LogPosition { term: Term(1), index: LogIndex(1) }
}

#[test]
fn a_vote_is_sent_only_once_it_is_on_disk() {
    let mut lab = Lab::new(3);
    lab.node(1).disk_works = false;
    let message = Message::VoteRequest { last: last() };
    lab.step(Envelope { from: member(2), to: member(1), term: Term(2), message });
    assert!(lab.pending.is_empty());
    let write = lab.node(1).writes.pop().expect("a write");
    assert_eq!(write.hard_state.and_then(|state| state.vote), Some(member(2)));
    let now = lab.now;
    lab.node(1).node.persisted(now, write.number);
    lab.flush(member(1));
    assert_eq!(lab.pending.len(), 1);
}

#[test]
fn entries_are_confirmed_only_once_they_are_on_disk() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.node(2).disk_works = false;
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2]);
    assert!(lab.commands(1).is_empty());
    let write = lab.node(2).writes.pop().expect("a write");
    let now = lab.now;
    lab.node(2).node.persisted(now, write.number);
    lab.flush(member(2));
    lab.deliver_among(&[1, 2]);
    assert_eq!(lab.commands(1), ["x"]);
}

#[test]
fn a_leader_counts_its_own_copy_only_once_it_is_on_disk() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.node(1).disk_works = false;
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2]);
    assert!(lab.commands(2).is_empty());
    let now = lab.now;
    lab.node(1).node.persisted(now, WriteNumber(u64::MAX));
    lab.flush(member(1));
    lab.deliver_among(&[1, 2]);
    assert_eq!(lab.commands(2), ["x"]);
}

#[rstest]
#[case::candidate(3)]
#[case::single_voter(1)]
fn nothing_of_a_new_term_leaves_before_the_term_is_on_disk(#[case] count: u32) {
    let mut lab = Lab::new(count);
    lab.node(1).disk_works = false;
    lab.advance(10_000);
    lab.tick(1);
    lab.deliver_among(&(1..=count).collect::<Vec<_>>());
    assert!(lab.commands(1).is_empty());
    assert_eq!(lab.commit(1), LogIndex(0));
    for number in 2..=count {
        assert_eq!(lab.node(number).node.status().term, Term(1));
    }
}

#[test]
fn what_was_known_to_be_committed_is_applied_again_before_a_leader_is_found() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    for command in ["x", "y", "z"] {
        lab.propose(1, command);
        lab.deliver_among(&[1, 2, 3]);
    }
    // The last command is committed after the last write: nobody can be sure of it alone.
    let synced = on_disk(&lab.node(2).writes);
    assert_eq!(lab.commands(2), ["x", "y", "z"]);
    lab.start(member(2), synced);
    lab.flush(member(2));
    assert_eq!(lab.node(2).node.status().leader, None);
    assert_eq!(lab.commands(2), ["x", "y"]);
}

#[test]
fn a_commit_index_beyond_the_entries_on_disk_counts_up_to_them() {
    let mut lab = Lab::new(3);
    let recovered = Recovered { commit: LogIndex(99), ..Recovered::bootstrap(voters(3)) };
    lab.start(member(1), recovered);
    lab.flush(member(1));
    assert_eq!(lab.commit(1), LogIndex(1));
}

#[test]
fn requests_of_a_leader_go_out_before_its_own_disk_is_done() {
    let mut lab = Lab::new(5);
    lab.settle(1, &[1, 2, 3, 4, 5]);
    lab.node(1).disk_works = false;
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2, 3, 4]);
    assert_eq!(lab.role(1), RoleName::Leader);
    assert_eq!(lab.commands(2), ["x"]);
    assert!(lab.commands(1).is_empty());
}
