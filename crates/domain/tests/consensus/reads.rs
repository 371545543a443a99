//! Reads that a quorum confirms.

use gingerkeel_domain::consensus::{ReadError, ReadOutcome, RequestNumber};
use rstest::rstest;

use crate::lab::{Lab, member};

const READ: RequestNumber = RequestNumber(7);

fn read(lab: &mut Lab, number: u32) {
    lab.node(number).node.read(READ).expect("a leader is known");
    lab.flush(member(number));
}

#[rstest]
#[case::single_voter(1, 1, &[1], true)]
#[case::leader_with_a_quorum(3, 1, &[1, 2], true)]
#[case::leader_alone(3, 1, &[1], false)]
#[case::follower_through_the_leader(3, 2, &[1, 2], true)]
#[case::follower_cut_off(3, 2, &[2], false)]
#[case::leader_with_two_of_five(5, 1, &[1, 2], false)]
#[case::follower_of_a_leader_without_quorum(5, 2, &[1, 2], false)]
fn a_read_needs_a_quorum(
    #[case] count: u32,
    #[case] reader: u32,
    #[case] reachable: &[u32],
    #[case] confirmed: bool,
) {
    let all: Vec<u32> = (1..=count).collect();
    let mut lab = Lab::new(count);
    lab.settle(1, &all);
    lab.propose(1, "x");
    lab.deliver_among(&all);
    let commit = lab.commit(1);
    read(&mut lab, reader);
    lab.deliver_among(reachable);
    let expected = ReadOutcome { number: READ, result: Ok(commit) };
    let reads = &lab.node(reader).reads;
    assert_eq!(reads.as_slice() == [expected], confirmed);
    assert_eq!(reads.is_empty(), !confirmed);
}

#[test]
fn a_read_waits_until_the_leader_has_committed_in_its_own_term() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.propose(1, "x");
    lab.deliver_among(&[1, 2]);
    // The second member has "x" on disk and does not know that it is committed.
    lab.elect(2, &[2, 3]);
    read(&mut lab, 2);
    assert!(lab.node(2).reads.is_empty());
    lab.heartbeat(2, &[2, 3]);
    lab.heartbeat(2, &[2, 3]);
    let last = lab.node(2).node.status().last.index;
    assert_eq!(lab.node(2).reads, [ReadOutcome { number: READ, result: Ok(last) }]);
}

#[test]
fn a_deposed_leader_drops_its_reads() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    read(&mut lab, 1);
    lab.pending.clear();
    lab.settle(2, &[2, 3]);
    lab.heartbeat(2, &[1, 2, 3]);
    lab.flush(member(1));
    let dropped = ReadOutcome { number: READ, result: Err(ReadError::Dropped) };
    assert_eq!(lab.node(1).reads, [dropped]);
}

#[test]
fn no_leader_is_told_at_once() {
    let mut lab = Lab::new(3);
    assert_eq!(lab.node(1).node.read(READ), Err(ReadError::NoLeader));
}

#[test]
fn answers_to_an_earlier_round_confirm_no_later_read() {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    lab.advance(100);
    lab.tick(1);
    let early = std::mem::take(&mut lab.pending);
    for envelope in early {
        lab.step(envelope);
    }
    let answers = std::mem::take(&mut lab.pending);
    read(&mut lab, 1);
    lab.pending.clear();
    for envelope in answers {
        lab.step(envelope);
    }
    assert!(lab.node(1).reads.is_empty());
}
