//! Snapshots: taking, sending in parts, installing.

use bytes::Bytes;
use gingerkeel_domain::consensus::{ConsensusSettings, LogIndex, MemberChange, Message, Recovered};
use rstest::rstest;

use crate::lab::{Lab, member, settings};

const DATA: &[u8] = b"0123456789";

fn take_snapshot(lab: &mut Lab, number: u32) -> LogIndex {
    let index = lab.node(number).node.status().applied;
    lab.node(number).node.snapshot_taken(index, Bytes::from_static(DATA));
    lab.flush(member(number));
    index
}

/// The third member missed the entries that the leader's snapshot covers.
fn lagging(chunk: usize) -> Lab {
    let settings = ConsensusSettings { snapshot_chunk_bytes: chunk, ..settings() };
    let mut lab = Lab::with_settings(3, settings);
    lab.settle(1, &[1, 2, 3]);
    for command in ["a", "b", "c"] {
        lab.propose(1, command);
        lab.deliver_among(&[1, 2]);
    }
    take_snapshot(&mut lab, 1);
    lab
}

#[rstest]
#[case::whole(100)]
#[case::in_parts(3)]
#[case::byte_by_byte(1)]
fn a_member_that_lags_too_far_gets_a_snapshot(#[case] chunk: usize) {
    let mut lab = lagging(chunk);
    lab.heartbeat(1, &[1, 2, 3]);
    lab.propose(1, "d");
    lab.deliver_among(&[1, 2, 3]);
    lab.heartbeat(1, &[1, 2, 3]);
    let third = lab.node(3);
    assert_eq!(third.restored.len(), 1);
    assert_eq!(third.restored[0].data, DATA);
    assert_eq!(lab.commands(3), ["d"]);
}

/// Guards against a member that takes long to join since the leader keeps many large entries behind
/// its snapshot.
#[test]
fn a_member_that_joins_gets_a_snapshot_instead_of_many_large_entries() {
    let settings = ConsensusSettings { trailing_entries: 256, trailing_bytes: 100, ..settings() };
    let mut lab = Lab::with_settings(3, settings);
    lab.settle(1, &[1, 2, 3]);
    for _ in 0..5 {
        lab.propose(1, "forty bytes: 0123456789 0123456789 0123");
        lab.heartbeat(1, &[1, 2, 3]);
    }
    take_snapshot(&mut lab, 1);
    lab.start(member(4), Recovered::default());
    let now = lab.now;
    let addition = MemberChange::AddLearner(member(4));
    lab.node(1).node.change_members(now, addition).expect("the learner is added");
    lab.flush(member(1));
    for _ in 0..3 {
        lab.heartbeat(1, &[1, 2, 3, 4]);
    }
    let joined = lab.node(4);
    assert_eq!(joined.restored.len(), 1, "the snapshot is sent");
    assert!(lab.commands(4).is_empty(), "no covered entry is sent");
}

#[test]
fn lost_parts_are_sent_again() {
    let mut lab = lagging(3);
    for round in 0..40 {
        lab.advance(100);
        lab.tick(1);
        // Every second message is lost.
        let mut count = round;
        while !lab.pending.is_empty() {
            for envelope in std::mem::take(&mut lab.pending) {
                count += 1;
                if count % 2 == 0 || envelope.to == member(2) || envelope.from == member(2) {
                    lab.step(envelope);
                }
            }
        }
    }
    assert_eq!(lab.node(3).restored.len(), 1);
    assert_eq!(lab.node(3).restored[0].data, DATA);
}

#[test]
fn a_snapshot_is_restored_and_confirmed_only_once_it_is_on_disk() {
    let mut lab = lagging(100);
    lab.node(3).disk_works = false;
    lab.heartbeat(1, &[1, 2, 3]);
    assert!(lab.node(3).restored.is_empty());
    assert!(
        lab.node(3)
            .writes
            .iter()
            .any(|write| { write.snapshot.as_ref().is_some_and(|snapshot| snapshot.replaces_log) })
    );
}

#[test]
fn a_snapshot_covers_the_log_up_to_its_index() {
    let mut lab = lagging(100);
    let index = lab.node(1).node.status().applied;
    assert_eq!(lab.node(1).node.applied_since_snapshot(), 0);
    assert!(lab.node(1).node.term_at(index).is_some());
    assert_eq!(lab.node(1).node.term_at(index.previous()), None);
    let write = lab.node(1).writes.last().expect("a write");
    let snapshot = write.snapshot.as_ref().expect("a snapshot");
    assert_eq!(snapshot.snapshot.metadata.position.index, index);
    assert!(!snapshot.replaces_log);
}

#[test]
fn a_snapshot_beyond_what_was_applied_is_not_taken() {
    let mut lab = lagging(100);
    lab.propose(1, "d");
    let last = lab.node(1).node.status().last.index;
    lab.node(1).node.snapshot_taken(last, Bytes::from_static(DATA));
    lab.flush(member(1));
    let taken = lab.node(1).writes.iter().filter(|write| write.snapshot.is_some()).count();
    assert_eq!(taken, 1);
}

#[test]
fn a_snapshot_keeps_the_members() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    let now = lab.now;
    let added = MemberChange::AddLearner(member(4));
    lab.node(1).node.change_members(now, added).expect("it is taken");
    lab.flush(member(1));
    lab.deliver_among(&[1, 2, 3]);
    take_snapshot(&mut lab, 1);
    let snapshot = lab.node(1).writes.last().and_then(|write| write.snapshot.clone());
    let snapshot = snapshot.expect("a snapshot").snapshot;
    let hard_state = lab.node(1).writes.iter().rev().find_map(|write| write.hard_state);
    let recovered = Recovered {
        hard_state: hard_state.expect("a hard state"),
        snapshot: Some(snapshot),
        ..Recovered::default()
    };
    lab.start(member(1), recovered);
    lab.flush(member(1));
    assert!(lab.node(1).node.configuration().learners.contains(&member(4)));
    assert_eq!(lab.node(1).restored.len(), 1);
}

#[test]
fn a_member_that_has_the_entries_needs_no_snapshot() {
    let mut lab = lagging(100);
    lab.heartbeat(1, &[1, 2]);
    let commit = lab.commit(2);
    lab.heartbeat(1, &[1, 2, 3]);
    assert!(lab.node(2).restored.is_empty());
    assert_eq!(lab.commit(2), commit);
    let requests = lab.pending.iter().filter(|sent| sent.to == member(2));
    assert!(
        requests.into_iter().all(|sent| !matches!(sent.message, Message::SnapshotRequest { .. }))
    );
}
