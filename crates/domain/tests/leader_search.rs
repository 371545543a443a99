//! The search for the leader by a process that asks to be a member.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::consensus::{
    Incarnation, LeaderSearch, LogIndex, MemberChangeError, MemberId, NodeNumber, RequestNumber,
};
use gingerkeel_domain::time::Timestamp;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Virtual time between two steps of the driver.
const STEP: Duration = Duration::from_millis(50);
/// Time within which a connection to a live member is established.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// Time within which the leader is asked, whatever two contacts do.
const SEARCH_LIMIT: Duration = Duration::from_secs(2);

fn member(node: u32) -> MemberId {
    MemberId { node: NodeNumber(node), incarnation: Incarnation(1) }
}

fn members(nodes: &[u32]) -> Vec<MemberId> {
    nodes.iter().copied().map(member).collect()
}

fn millis(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn not_leader(leader: Option<u32>) -> Result<LogIndex, MemberChangeError> {
    Err(MemberChangeError::NotLeader(leader.map(member)))
}

/// Asks the next contact; the number of a request is the time in milliseconds.
fn ask(search: &mut LeaderSearch, at: u64, contacts: &[u32]) -> Option<u32> {
    let contact = search.next(millis(at), RequestNumber(at), &members(contacts));
    contact.map(|contact| contact.node.0)
}

fn named(search: &LeaderSearch) -> Vec<u32> {
    search.named_leaders().map(|node| node.0).collect()
}

#[test]
fn named_leader_is_asked_as_soon_as_it_is_connected() {
    let mut search = LeaderSearch::default();
    assert_eq!(ask(&mut search, 0, &[1, 2]), Some(1));
    search.answered(millis(1), RequestNumber(0), &not_leader(Some(5)));
    assert_eq!(named(&search), [5], "a connection is needed");
    assert_eq!(ask(&mut search, 1, &[1, 2, 5]), Some(5));
}

#[test]
fn others_are_asked_while_the_named_leader_is_not_connected() {
    let mut search = LeaderSearch::default();
    ask(&mut search, 0, &[1, 2]);
    search.answered(millis(1), RequestNumber(0), &not_leader(Some(5)));
    assert_eq!(ask(&mut search, 1, &[1, 2]), Some(2));
    search.answered(millis(2), RequestNumber(1), &not_leader(Some(5)));
    assert_eq!(ask(&mut search, 3, &[1, 2]), None, "both were asked just now");
    assert_eq!(ask(&mut search, 100, &[1, 2]), Some(1));
}

#[rstest]
#[case::before_the_time_limit(299, &[1, 2], None)]
#[case::after_the_time_limit(300, &[1, 2], Some(2))]
#[case::disconnected(50, &[2], Some(2))]
fn contact_without_an_answer_is_given_up(
    #[case] at: u64,
    #[case] connected: &[u32],
    #[case] next: Option<u32>,
) {
    let mut search = LeaderSearch::default();
    assert_eq!(ask(&mut search, 0, &[1, 2]), Some(1));
    assert_eq!(ask(&mut search, at, connected), next);
}

#[test]
fn contact_that_refuses_for_another_reason_leads_and_is_asked_again() {
    let mut search = LeaderSearch::default();
    ask(&mut search, 0, &[1, 2]);
    search.answered(millis(1), RequestNumber(0), &Err(MemberChangeError::ChangePending));
    assert_eq!(ask(&mut search, 50, &[1, 2]), None);
    assert_eq!(ask(&mut search, 100, &[1, 2]), Some(1));
}

#[test]
fn accepted_request_has_time_to_take_effect() {
    let mut search = LeaderSearch::default();
    ask(&mut search, 0, &[1, 2]);
    search.answered(millis(1), RequestNumber(0), &Ok(LogIndex(7)));
    assert_eq!(ask(&mut search, 500, &[1, 2]), None);
    assert_eq!(ask(&mut search, 501, &[1, 2]), Some(2));
}

#[test]
fn late_answer_counts_and_that_to_another_request_does_not() {
    let mut search = LeaderSearch::default();
    ask(&mut search, 0, &[1, 2]);
    ask(&mut search, 300, &[1, 2]);
    assert_eq!(search.answered(millis(301), RequestNumber(7), &not_leader(Some(4))), None);
    assert!(named(&search).is_empty());
    let from = search.answered(millis(302), RequestNumber(0), &not_leader(Some(5)));
    assert_eq!((from, named(&search)), (Some(NodeNumber(1)), vec![5]));
}

#[test]
fn contacts_that_name_each_other_are_asked_at_a_bounded_rate() {
    let mut search = LeaderSearch::default();
    let mut requests = 0;
    for at in 0..1_000 {
        if let Some(contact) = ask(&mut search, at, &[1, 2]) {
            requests += 1;
            search.answered(millis(at), RequestNumber(at), &not_leader(Some(3 - contact)));
        }
    }
    assert!(requests <= 20, "{requests} requests in a second");
}

/// How a contact treats a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// It names the leader.
    Follower,
    /// It knows no leader.
    Leaderless,
    /// It names a member that is gone.
    Outdated,
    /// It is connected and does not answer.
    Frozen,
    /// It cannot be connected to.
    Gone,
}

/// Guards against a search that one contact holds up for good: up to eight members, of which two are
/// lost in some way and one seed at least follows the leader.
#[test]
fn leader_is_asked_in_time_whatever_two_contacts_do() {
    for seed in 0..2_000 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut draw = |limit: u32| random.next_u32() % limit;
        let leader = draw(8);
        let mut kinds = [Contact::Follower; 8];
        for _ in 0..2 {
            let faults = [Contact::Leaderless, Contact::Outdated, Contact::Frozen, Contact::Gone];
            kinds[draw(8) as usize] = faults[draw(4) as usize];
        }
        let mut seeds: BTreeSet<u32> = (0..2).map(|_| draw(8)).collect();
        seeds.insert((0..8).find(|node| kinds[*node as usize] == Contact::Follower).unwrap());
        let found = search_among(&kinds, leader, &seeds);
        assert!(found.is_some(), "seed {seed}: {kinds:?}, leader {leader}, seeds {seeds:?}");
    }
}

/// Time in which the leader is asked; none if that takes too long.
fn search_among(kinds: &[Contact; 8], leader: u32, seeds: &BTreeSet<u32>) -> Option<Duration> {
    /// A member that has ended for good.
    const FORMER: u32 = 99;
    let mut search = LeaderSearch::default();
    let mut links: Vec<(u32, Timestamp)> = seeds.iter().map(|seed| (*seed, millis(0))).collect();
    let start = millis(0).after(CONNECT_TIME);
    let mut now = start;
    let mut number = 0;
    while now.since(start) < SEARCH_LIMIT {
        let reachable =
            |node: u32| node == leader || node != FORMER && kinds[node as usize] != Contact::Gone;
        let connected: Vec<u32> = links
            .iter()
            .filter(|(node, since)| reachable(*node) && now.since(*since) >= CONNECT_TIME)
            .map(|(node, _)| *node)
            .collect();
        number += 1;
        let contact = search.next(now, RequestNumber(number), &members(&connected));
        match contact.map(|contact| contact.node.0) {
            Some(node) if node == leader => return Some(now.since(start)),
            Some(node) => {
                let answer = match kinds[node as usize] {
                    Contact::Follower => not_leader(Some(leader)),
                    Contact::Leaderless => not_leader(None),
                    Contact::Outdated => not_leader(Some(FORMER)),
                    Contact::Frozen | Contact::Gone => {
                        now = now.after(STEP);
                        continue;
                    }
                };
                search.answered(now, RequestNumber(number), &answer);
            }
            None => now = now.after(STEP),
        }
        let named = named(&search);
        links.retain(|(node, _)| seeds.contains(node) || named.contains(node));
        for node in named {
            if links.iter().all(|(linked, _)| *linked != node) {
                links.push((node, now));
            }
        }
    }
    None
}

/// Guards against a search that never uses the answers of the only contact, as each comes after the
/// next request to it.
#[rstest]
#[case::one_contact_within_the_time_limit(&[1], 250)]
#[case::one_contact_after_the_time_limit(&[1], 350)]
#[case::two_contacts_after_the_time_limit(&[1, 2], 650)]
fn contact_that_answers_late_still_names_the_leader(#[case] contacts: &[u32], #[case] delay: u64) {
    let mut search = LeaderSearch::default();
    let mut answers: Vec<(u64, u64)> = Vec::new();
    for at in (0..6_000).step_by(50) {
        answers.retain(|(due, number)| {
            if *due <= at {
                search.answered(millis(at), RequestNumber(*number), &not_leader(Some(5)));
            }
            *due > at
        });
        if ask(&mut search, at, contacts).is_some() {
            answers.push((at + delay, at));
        }
        if named(&search) == [5] {
            return;
        }
    }
    panic!("no answer after {delay} ms was used within 6 s");
}
