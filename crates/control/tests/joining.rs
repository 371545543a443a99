//! Processes that join a cluster of more members than they know seeds, or that come back to it.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::seeded::{Cluster, ClusterShape};
use support::wait_until;

/// Members of the cluster. The settings of each successor name three of them as seeds.
const MEMBERS: usize = 5;
/// Members whose loss is tolerated.
const SHAPE: ClusterShape = ClusterShape { seeds: 3, machines: 12, voters: 7, least_voters: 5 };
/// Time within which a machine that starts, or runs again, serves the newest configuration.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time from the start of a successor until the next machine may be lost.
const LOSS_INTERVAL: Duration = Duration::from_millis(4_300);
/// Time for which a voter is frozen, so that it is removed while there are voters to spare.
const FREEZE: Duration = Duration::from_secs(4);

/// Starts five members and gives the one that leads.
fn start() -> (Cluster, usize) {
    let mut cluster = Cluster::prepare_shape(SHAPE);
    for member in 0..MEMBERS {
        cluster.add(member < SHAPE.seeds);
    }
    cluster.wait_accepted(0, 1);
    (0..MEMBERS).for_each(|member| cluster.wait_joined(member, 1));
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// The members besides these.
fn members_except(excluded: &[usize]) -> Vec<usize> {
    (0..MEMBERS).filter(|member| !excluded.contains(member)).collect()
}

/// Adds a machine of which the leader is a seed, and waits until it is a voter.
fn add_voter(cluster: &mut Cluster) {
    wait_until(|| cluster.leader().is_some());
    let leader = cluster.leader().expect("a leader");
    let successor = cluster.add_with_seeds(&[leader]);
    cluster.wait_joined(successor, 1);
}

/// Checks that a machine that has just started, or runs again, serves the configuration of this
/// version in time.
fn assert_catches_up(cluster: &Cluster, machine: usize, version: u64) {
    let began = Instant::now();
    while cluster.version(machine) != Some(version) {
        let log = cluster.log(machine);
        assert!(began.elapsed() < CATCH_UP_TIME, "machine {machine} of {version}:\n{log}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a successor that never joins because no seed leads.
#[rstest]
fn successor_joins_although_no_seed_leads(#[values(0, 1, 2, 3)] other_member: usize) {
    let (mut cluster, leader) = start();
    let mut seeds = members_except(&[leader]);
    seeds.remove(other_member);
    let successor = cluster.add_with_seeds(&seeds);
    assert_catches_up(&cluster, successor, 1);
}

/// Guards against a successor that asks only seeds that are gone or hang.
#[test]
fn successor_joins_through_its_only_live_seed_although_another_member_leads() {
    let (mut cluster, leader) = start();
    let followers = members_except(&[leader]);
    cluster.kill(followers[0]);
    cluster.freeze(followers[1]);
    let successor = cluster.add_with_seeds(&followers[..3]);
    assert_catches_up(&cluster, successor, 1);
}

/// Guards against a successor that goes on asking for a leader that is gone.
#[rstest]
#[case::gone(Cluster::kill)]
#[case::frozen(Cluster::freeze)]
fn successor_joins_while_the_leader_changes(#[case] lose: fn(&mut Cluster, usize)) {
    let (mut cluster, leader) = start();
    let seeds = members_except(&[leader]);
    lose(&mut cluster, leader);
    let successor = cluster.add_with_seeds(&seeds[1..]);
    assert_catches_up(&cluster, successor, 1);
}

/// Guards against a removed member that never returns because the machine with the lowest address,
/// which it asks for its place, is lost for good.
#[rstest]
#[case::gone(Cluster::kill)]
#[case::frozen(Cluster::freeze)]
fn removed_member_returns_although_the_lowest_address_is_lost(
    #[case] lose: fn(&mut Cluster, usize),
) {
    let (mut cluster, _) = start();
    lose(&mut cluster, 0);
    add_voter(&mut cluster);
    // One more voter than the minimum: a silent voter is removed soon.
    add_voter(&mut cluster);
    let leader = cluster.leader().expect("a leader");
    let removed = *members_except(&[0, leader]).last().expect("a follower");
    cluster.freeze(removed);
    thread::sleep(FREEZE);
    cluster.wait_accepted(leader, 2);
    cluster.thaw(removed);
    assert_catches_up(&cluster, removed, 2);
}

/// Guards against a process that waits for its seeds without a word in the log.
#[test]
fn process_whose_seeds_are_all_gone_logs_that_and_joins_once_one_returns() {
    let (mut cluster, leader) = start();
    let seeds = &members_except(&[leader])[..2];
    seeds.iter().for_each(|seed| cluster.kill(*seed));
    let successor = cluster.add_with_seeds(seeds);
    wait_until(|| cluster.log(successor).contains("event=no_seed_answers"));
    assert_eq!(cluster.version(successor), None);
    cluster.run(seeds[0]);
    assert_catches_up(&cluster, successor, 1);
}

/// Guards against a process that waits for a permission to stop which nobody can give.
#[test]
fn process_outside_the_group_stops_at_once() {
    let (mut cluster, leader) = start();
    let seeds = &members_except(&[leader])[..2];
    seeds.iter().for_each(|seed| cluster.kill(*seed));
    let successor = cluster.add_with_seeds(seeds);
    wait_until(|| cluster.log(successor).contains("event=no_seed_answers"));
    cluster.stop(successor);
    assert!(cluster.log(successor).contains("event=stop_permitted"));
}

/// Guards against a log that asks for no restart although the cluster cannot form without one.
#[test]
fn seeds_that_change_before_the_cluster_forms_need_a_restart() {
    let mut cluster = Cluster::prepare_shape(SHAPE);
    let [first, second] = [cluster.add(true), cluster.add(true)];
    let [missing, third] = [cluster.prepare_machine(true), cluster.prepare_machine(true)];
    wait_until(|| cluster.log(first).contains("event=peer_connected"));
    for machine in [first, second, third] {
        cluster.change_seeds(machine, &[missing], &[third]);
    }
    let expected = "seeds_changed=true restart_needed=true";
    wait_until(|| cluster.log(first).contains(expected));
}

/// Guards against a process that needs a restart to learn of seeds that are alive.
#[test]
fn process_whose_seeds_are_all_gone_joins_through_those_of_its_changed_settings() {
    let (mut cluster, leader) = start();
    let [first, second, live, ..] = members_except(&[leader])[..] else {
        panic!("five members");
    };
    cluster.kill(first);
    cluster.kill(second);
    let successor = cluster.add_with_seeds(&[first, second]);
    wait_until(|| cluster.log(successor).contains("event=no_seed_answers"));
    cluster.change_seeds(successor, &[second], &[live]);
    assert_catches_up(&cluster, successor, 1);
    assert!(cluster.log(successor).contains("seeds_changed=true restart_needed=false"));
}

/// Guards against a group that is one voter short after each replacement, until no quorum is left.
#[rstest]
#[case::lost(Cluster::kill)]
#[case::stopped(Cluster::stop)]
fn group_stays_whole_while_each_machine_of_the_first_start_is_replaced(
    #[case] end: fn(&mut Cluster, usize),
) {
    let (mut cluster, _) = start();
    let mut live: Vec<usize> = (0..MEMBERS).collect();
    for replaced in 0..MEMBERS {
        let version = replaced as u64 + 2;
        let leader = cluster.leader();
        end(&mut cluster, replaced);
        live.retain(|member| *member != replaced);
        let followers = live.iter().copied().filter(|member| Some(*member) != leader);
        let seeds: Vec<usize> = followers.take(3).collect();
        let successor = cluster.add_with_seeds(&seeds);
        let started = Instant::now();
        assert_catches_up(&cluster, successor, version - 1);
        live.push(successor);
        let asked = live[replaced % live.len()];
        let answer = cluster.answer_to_replace(asked, version);
        assert_eq!(answer.as_ref().map(|(status, _)| *status), Some(200), "{answer:?}");
        live.iter().for_each(|member| assert_catches_up(&cluster, *member, version));
        thread::sleep(LOSS_INTERVAL.saturating_sub(started.elapsed()));
    }
}
