//! Mutation tests: each breaks one safety rule, which the checks must detect.
//!
//! The commit rule for entries of earlier terms has its mutant in `commitment`.

use gingerkeel_domain::consensus::{
    AppendOutcome, Envelope, Message, ReadRound, Recovered, RoleName, Term,
};
use rstest::rstest;

use crate::cluster::{Cluster, Disks, Mutant};
use crate::lab::{Lab, member, voters};

/// Number of seeds, at least one of which must detect the mutant.
const SEEDS: u64 = 400;

#[rstest]
#[case::persisted_too_early(Mutant::PersistedTooEarly, Disks::Fast, "lacks")]
#[case::reads_unconfirmed(Mutant::ReadsUnconfirmed, Disks::Fast, "read at")]
#[case::identity_kept(Mutant::IdentityKept, Disks::Fast, "lacks")]
#[case::heartbeat_confirms_entries(Mutant::HeartbeatConfirmsEntries, Disks::Slow, "lacks")]
fn the_seeds_find(#[case] mutant: Mutant, #[case] disks: Disks, #[case] expected: &str) {
    let found = (0..SEEDS).find_map(|seed| {
        let violation = Cluster::new(seed, disks, Some(mutant)).run().err()?;
        violation.contains(expected).then_some((seed, violation))
    });
    let (seed, violation) = found.expect("a seed finds the fault");
    println!("{mutant:?}: seed {seed}: {violation}");
}

/// Partitions a member, which campaigns and then reconnects; returns the leader's term before and
/// after. Without pre-vote, every pre-vote request is granted.
fn return_of_a_member(pre_vote: bool) -> (Term, Term) {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    let before = lab.node(1).node.status().term;
    for _ in 0..50 {
        lab.heartbeat(1, &[1, 2]);
        lab.tick(3);
        for request in std::mem::take(&mut lab.pending) {
            if !pre_vote && matches!(request.message, Message::PreVoteRequest { .. }) {
                let message = Message::PreVoteResponse { granted: true };
                let (from, to) = (request.to, request.from);
                lab.step(Envelope { from, to, term: request.term, message });
            }
        }
        lab.pending.clear();
    }
    for _ in 0..3 {
        lab.heartbeat(1, &[1, 2, 3]);
    }
    (before, lab.node(1).node.status().term)
}

#[test]
fn pre_vote_keeps_a_returning_member_from_deposing_the_leader() {
    let (before, after) = return_of_a_member(true);
    assert_eq!(before, after);
}

#[test]
fn without_pre_vote_a_returning_member_raises_the_term() {
    let (before, after) = return_of_a_member(false);
    assert!(after > before);
}

/// Role of a partitioned leader after two election timeouts. Without the quorum check, responses
/// are forged.
fn office_of_a_leader_cut_off(check_quorum: bool) -> RoleName {
    let mut lab = Lab::new(3);
    lab.settle(1, &[1, 2, 3]);
    let term = lab.node(1).node.status().term;
    for _ in 0..13 {
        lab.heartbeat(1, &[1]);
        if !check_quorum {
            let outcome = AppendOutcome::NoStatement;
            let message = Message::AppendResponse { outcome, round: ReadRound(0) };
            lab.step(Envelope { from: member(2), to: member(1), term, message });
        }
    }
    lab.role(1)
}

#[test]
fn check_quorum_ends_the_office_of_a_leader_cut_off() {
    assert_eq!(office_of_a_leader_cut_off(true), RoleName::Follower);
}

#[test]
fn without_check_quorum_a_leader_cut_off_stays_in_office() {
    assert_eq!(office_of_a_leader_cut_off(false), RoleName::Leader);
}

/// Two members request votes in one term, and the third restarts between the requests; returns how
/// many of the two are elected.
fn leaders_of_one_term(vote_kept: bool) -> usize {
    let mut lab = Lab::new(3);
    lab.advance(10_000);
    lab.tick(2);
    lab.tick(3);
    let is_pre_vote = |message: &Message| {
        matches!(message, Message::PreVoteRequest { .. } | Message::PreVoteResponse { .. })
    };
    let mut requests = Vec::new();
    while let Some(envelope) = lab.pending.pop() {
        let with_first = envelope.to == member(1) || envelope.from == member(1);
        match is_pre_vote(&envelope.message) {
            true if with_first => lab.step(envelope),
            false if with_first => requests.push(envelope),
            _ => {}
        }
    }
    assert_eq!(requests.len(), 2, "both ask the first member for its vote");
    for request in requests {
        lab.step(request);
        lab.deliver_where(&[1, 2, 3], |message| matches!(message, Message::VoteResponse { .. }));
        restart_first(&mut lab, vote_kept);
    }
    [2, 3].into_iter().filter(|number| lab.role(*number) == RoleName::Leader).count()
}

fn restart_first(lab: &mut Lab, vote_kept: bool) {
    let mut recovered = Recovered::bootstrap(voters(3));
    let writes = &lab.node(1).writes;
    if let Some(hard_state) = writes.iter().rev().find_map(|write| write.hard_state) {
        recovered.hard_state = hard_state;
    }
    if !vote_kept {
        recovered.hard_state.vote = None;
    }
    lab.start(member(1), recovered);
}

#[test]
fn a_vote_on_disk_keeps_a_term_to_one_leader() {
    assert_eq!(leaders_of_one_term(true), 1);
}

#[test]
fn a_forgotten_vote_gives_a_term_two_leaders() {
    assert_eq!(leaders_of_one_term(false), 2);
}

/// Delivers the pending messages that are wanted, and those sent in return; gives back the others.
fn deliver_wanted(lab: &mut Lab, wanted: impl Fn(&Envelope) -> bool) -> Vec<Envelope> {
    let mut kept = Vec::new();
    while let Some(envelope) = lab.pending.pop() {
        match wanted(&envelope) {
            true => lab.step(envelope),
            false => kept.push(envelope),
        }
    }
    kept
}

/// Two candidates stand in the third term, and a vote of the second term for one of them arrives
/// late; returns how many of the two are elected.
fn leaders_after_a_late_vote(counts_in_later_term: bool) -> usize {
    let is_response =
        |envelope: &Envelope| matches!(envelope.message, Message::VoteResponse { .. });
    let involves =
        |envelope: &Envelope, number| [envelope.from, envelope.to].contains(&member(number));
    let mut lab = Lab::new(3);
    lab.advance(10_000);
    lab.tick(1);
    let kept = deliver_wanted(&mut lab, |sent| !involves(sent, 3) && !is_response(sent));
    let mut late = kept.into_iter().find(is_response).expect("the second member votes");
    lab.advance(10_000);
    lab.tick(1);
    lab.tick(2);
    let is_vote_request =
        |envelope: &Envelope| matches!(envelope.message, Message::VoteRequest { .. });
    let kept = deliver_wanted(&mut lab, |sent| involves(sent, 3) && !is_vote_request(sent));
    let requests = kept.into_iter().filter(is_vote_request);
    lab.pending = requests.filter(|sent| sent.from == member(2)).collect();
    lab.deliver_where(&[2, 3], crate::lab::is_vote);
    if counts_in_later_term {
        late.term = Term(3);
    }
    lab.step(late);
    [1, 2].into_iter().filter(|number| lab.role(*number) == RoleName::Leader).count()
}

#[test]
fn a_late_vote_counts_only_in_its_own_term() {
    assert_eq!(leaders_after_a_late_vote(false), 1);
}

#[test]
fn a_late_vote_that_counts_in_a_later_term_gives_it_two_leaders() {
    assert_eq!(leaders_after_a_late_vote(true), 2);
}
