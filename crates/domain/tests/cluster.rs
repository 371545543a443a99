//! The rules of the replicated state, one table each.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::catalog::{CallerAccount, Catalog, Change, MemberState, Placement};
use gingerkeel_domain::cluster::{
    BrokerChange, CONTROL_LEASE, ChangeRefusal, ChargeCounter, ChargeKey, ChargeReceipt,
    ChargeReport, ClusterState, Command, CommandBody, CommandOutcome, DEPARTED_RETENTION,
    HISTORY_LIMIT, LeafHealth, LeafHealthChange, LogIndex, OUTCOMES_PER_SESSION, RUN_RETENTION,
    SESSION_LIMIT, SESSION_RETENTION, Threshold,
};
use gingerkeel_domain::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, LeafId, RegionName, Revision, ServiceName,
    SessionName, ShardId, ZoneName,
};
use proptest::prelude::*;
use rstest::rstest;
use support::cluster::{Cluster, START, accepted, refusal, request};

fn caller(name: &str, budget: u64) -> Change {
    let account = CallerAccount { budget_per_second: budget, burst: budget };
    Change::DefineCaller { caller: CallerName::new(name), account }
}

fn service(name: &str) -> Change {
    Change::DefineService { service: ServiceName::new(name), concurrency: 4 }
}

fn repartition(name: &str) -> Change {
    Change::Repartition { service: ServiceName::new(name), shards: 2 }
}

fn shard(name: &str, number: u32) -> Change {
    let service = ServiceName::new(name);
    Change::AssignShard { service, shard: ShardId(number), leaves: Vec::new() }
}

fn placement() -> Placement {
    Placement { region: RegionName::new("south"), zone: ZoneName::new("palermo") }
}

fn follows(broker: &str, run: u64, in_force: u64) -> BrokerChange {
    BrokerChange::Follows {
        broker: BrokerName::new(broker),
        run,
        placement: placement(),
        in_force: Revision(in_force),
    }
}

fn through_snapshot(state: &ClusterState) -> ClusterState {
    let bytes = postcard::to_allocvec(state).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

#[test]
fn resend_gets_the_recorded_outcome_also_after_a_snapshot() {
    let mut cluster = Cluster::new();
    let first = cluster.change("anna", 1, caller("portal", 5));
    cluster.now = cluster.now.after(Duration::from_secs(3));
    assert_eq!(cluster.change("anna", 1, caller("portal", 5)), first);
    cluster.state = through_snapshot(&cluster.state);
    assert_eq!(cluster.change("anna", 1, caller("portal", 5)), first);
    assert_eq!(cluster.state.catalog().revision(), Revision(1));
}

#[test]
fn refusal_is_recorded_as_well() {
    let mut cluster = Cluster::new();
    let drain = repartition("console");
    let first = cluster.change("anna", 1, drain.clone());
    assert!(matches!(refusal(first.clone()), ChangeRefusal::Catalog(_)));
    cluster.change("ben", 1, service("console"));
    assert_eq!(cluster.change("anna", 1, drain.clone()), first);
    accepted(cluster.change("anna", 2, drain));
}

#[test]
fn a_command_already_in_the_state_is_left_out() {
    let mut cluster = Cluster::new();
    cluster.change("anna", 1, caller("portal", 5));
    cluster.index -= 1;
    let body = CommandBody::Change(request("ben", 1, None, caller("other", 5)));
    assert_eq!(cluster.apply(body), CommandOutcome::AlreadyApplied);
    assert_eq!(cluster.state.catalog().revision(), Revision(1));
}

#[rstest]
#[case::number_used_for_another(2, caller("other", 1), |refusal: &ChangeRefusal| {
    matches!(refusal, ChangeRefusal::SequenceReused(_))
})]
#[case::older_than_the_newest(1, caller("portal", 1), |refusal: &ChangeRefusal| {
    matches!(refusal, ChangeRefusal::SequenceForgotten(_))
})]
fn wrong_sequence_changes_nothing(
    #[case] sequence: u64,
    #[case] change: Change,
    #[case] expected: fn(&ChangeRefusal) -> bool,
) {
    let mut cluster = Cluster::new();
    accepted(cluster.change("anna", 2, caller("portal", 5)));
    let refusal = refusal(cluster.change("anna", sequence, change));
    assert!(expected(&refusal), "{refusal}");
    assert_eq!(cluster.state.catalog().revision(), Revision(1));
}

#[test]
fn outcomes_of_a_session_are_bounded_and_a_forgotten_command_never_runs_again() {
    let mut cluster = Cluster::new();
    let last = OUTCOMES_PER_SESSION as u64 + 1;
    for sequence in 1..=last {
        accepted(cluster.change("anna", sequence, caller("portal", sequence)));
    }
    let refusal = refusal(cluster.change("anna", 1, caller("portal", 1)));
    assert!(matches!(refusal, ChangeRefusal::SequenceForgotten(_)), "{refusal}");
    assert_eq!(accepted(cluster.change("anna", 2, caller("portal", 2))), 2);
}

#[test]
fn idle_session_expires_by_the_time_of_commands() {
    let mut cluster = Cluster::new();
    accepted(cluster.change("anna", 1, caller("portal", 5)));
    cluster.pass(SESSION_RETENTION - Duration::from_secs(1));
    assert_eq!(accepted(cluster.change("anna", 1, caller("portal", 5))), 1);
    cluster.pass(Duration::from_secs(1));
    assert_eq!(accepted(cluster.change("anna", 1, caller("portal", 5))), 2);
}

#[test]
fn sessions_are_bounded() {
    let mut cluster = Cluster::new();
    for number in 0..SESSION_LIMIT {
        accepted(cluster.change(&format!("s{number}"), 1, caller("portal", 5)));
    }
    let refusal = refusal(cluster.change("one-more", 1, caller("portal", 5)));
    assert_eq!(refusal, ChangeRefusal::TooManySessions(SESSION_LIMIT as u64));
    accepted(cluster.change("s0", 2, caller("portal", 5)));
}

#[rstest]
#[case::same_caller(caller("portal", 1), caller("portal", 2), true)]
#[case::other_caller(caller("portal", 1), caller("archive", 2), false)]
#[case::same_shard(shard("console", 1), shard("console", 1), true)]
#[case::other_shard(shard("console", 0), shard("console", 1), false)]
#[case::map_and_its_shard(repartition("console"), shard("console", 1), true)]
#[case::shard_and_its_map(shard("console", 1), repartition("console"), true)]
#[case::map_of_another_service(repartition("archive"), shard("console", 1), false)]
#[case::service_and_its_map(service("console"), repartition("console"), true)]
fn of_two_conflicting_changes_exactly_one_is_accepted(
    #[case] one: Change,
    #[case] other: Change,
    #[case] conflicting: bool,
) {
    let mut cluster = Cluster::new();
    for (sequence, name) in [(1, "console"), (3, "archive")] {
        accepted(cluster.change("set-up", sequence, service(name)));
        accepted(cluster.change("set-up", sequence + 1, repartition(name)));
    }
    let seen = cluster.state.catalog().revision().0;
    let at = cluster.now;
    let first = accepted(cluster.request(request("anna", 1, Some(seen), one)));
    cluster.now = cluster.now.after(Duration::from_secs(1));
    let second = cluster.request(request("ben", 1, Some(seen), other.clone()));
    if !conflicting {
        accepted(second);
        return;
    }
    match refusal(second) {
        ChangeRefusal::Conflict(_, session, when, revision) => {
            assert_eq!(session, SessionName::new("anna"));
            assert_eq!(when, at);
            assert_eq!(revision, Revision(first));
        }
        another => panic!("{another}"),
    }
    accepted(cluster.request(request("ben", 2, Some(first), other)));
}

#[test]
fn revision_that_cannot_be_compared_with_is_refused() {
    let mut cluster = Cluster::new();
    for sequence in 1..=HISTORY_LIMIT as u64 + 1 {
        accepted(cluster.change("anna", sequence, caller("portal", sequence)));
    }
    let newest = cluster.state.catalog().revision();
    let ahead = cluster.request(request("ben", 1, Some(newest.0 + 1), caller("other", 1)));
    assert_eq!(refusal(ahead), ChangeRefusal::RevisionAhead(Revision(newest.0 + 1), newest));
    let forgotten = cluster.request(request("ben", 2, Some(0), caller("other", 1)));
    assert_eq!(refusal(forgotten), ChangeRefusal::RevisionForgotten(Revision(0), Revision(1)));
    accepted(cluster.request(request("ben", 3, Some(1), caller("other", 1))));
}

#[test]
fn history_bridges_a_revision_that_it_covers() {
    let mut cluster = Cluster::new();
    for sequence in 1..=5 {
        accepted(cluster.change("anna", sequence, caller("portal", sequence)));
    }
    let newest = cluster.state.catalog().revision();
    let history = cluster.state.history();
    let revisions = |from: u64| -> Option<Vec<u64>> {
        let changes = history.since(newest, Revision(from))?;
        Some(changes.map(|change| change.revision.0).collect())
    };
    assert_eq!(revisions(3), Some(vec![4, 5]));
    assert_eq!(revisions(5), Some(vec![]));
    assert_eq!(revisions(6), None);
}

#[test]
fn brokers_live_by_the_lease_of_their_control_process() {
    let mut cluster = Cluster::new();
    cluster.renew("c1", 1);
    cluster.report("c1", follows("b1", 7, 0));
    cluster.pass(CONTROL_LEASE - Duration::from_secs(1));
    cluster.renew("c1", 1);
    cluster.pass(Duration::from_secs(2));
    assert_eq!(cluster.state.members().brokers().len(), 1);
    cluster.pass(CONTROL_LEASE);
    assert!(cluster.state.members().brokers().is_empty());
    assert!(cluster.state.members().controls().is_empty());
}

/// A broker that is cut off is live no more, and goes on taking its share of what all may take.
#[test]
fn brokers_that_are_gone_count_among_those_that_may_be_serving_until_they_are_forgotten() {
    let mut cluster = Cluster::new();
    let departed = |cluster: &Cluster| cluster.state.members().departed().len();
    cluster.report("c1", follows("cut-off", 7, 0));
    cluster.report("c1", follows("stopped", 8, 0));
    let left = BrokerChange::Left { broker: BrokerName::new("stopped"), run: 8 };
    cluster.report("c1", left);
    assert_eq!((cluster.state.members().brokers().len(), departed(&cluster)), (1, 1));
    cluster.pass(CONTROL_LEASE);
    assert_eq!((cluster.state.members().brokers().len(), departed(&cluster)), (0, 2));
    cluster.report("c1", follows("stopped", 9, 0));
    assert_eq!((cluster.state.members().brokers().len(), departed(&cluster)), (1, 1));
    for _ in 0..DEPARTED_RETENTION.as_secs() / 10 {
        assert_eq!(departed(&cluster), 1);
        cluster.report("c1", follows("stopped", 9, 0));
        cluster.pass(CONTROL_LEASE - Duration::from_secs(1));
        cluster.pass(Duration::from_secs(1));
        cluster.report("c1", follows("stopped", 9, 0));
    }
    assert_eq!(departed(&cluster), 0);
}

#[test]
fn control_process_that_restarted_keeps_no_brokers_alive() {
    let mut cluster = Cluster::new();
    cluster.renew("c1", 1);
    cluster.report("c1", follows("b1", 7, 0));
    cluster.pass(CONTROL_LEASE - Duration::from_secs(1));
    cluster.renew("c1", 2);
    cluster.pass(Duration::from_secs(1));
    assert!(cluster.state.members().brokers().is_empty());
}

#[rstest]
#[case::same_run_and_control("c1", 7, false)]
#[case::older_run("c1", 6, true)]
#[case::moved_to_another_control("c2", 7, true)]
fn only_the_run_that_left_is_forgotten(
    #[case] control: &str,
    #[case] run: u64,
    #[case] stays: bool,
) {
    let mut cluster = Cluster::new();
    cluster.report("c1", follows("b1", 7, 0));
    cluster.report(control, BrokerChange::Left { broker: BrokerName::new("b1"), run });
    assert_eq!(!cluster.state.members().brokers().is_empty(), stays);
}

#[test]
fn accepted_and_in_force_are_told_apart() {
    let mut cluster = Cluster::new();
    cluster.report("c1", follows("b1", 1, 0));
    cluster.report("c2", follows("b2", 2, 0));
    let revision = Revision(accepted(cluster.change("anna", 1, caller("portal", 5))));
    cluster.report("c1", follows("b1", 1, 1));
    let members = cluster.state.members();
    assert_eq!(members.in_force_everywhere(revision), Revision(0));
    let lagging: Vec<&str> = members.lagging(revision).map(|(name, _)| name.as_str()).collect();
    assert_eq!(lagging, ["b2"]);
    cluster.report("c1", follows("b1", 1, 0));
    let in_force = |cluster: &Cluster, name| {
        cluster.state.members().brokers()[&BrokerName::new(name)].in_force
    };
    assert_eq!(in_force(&cluster, "b1"), Revision(1), "a late report reverts nothing");
    cluster.report("c1", follows("b1", 9, 0));
    assert_eq!(in_force(&cluster, "b1"), Revision(0), "a new run starts without a catalog");
}

#[test]
fn broker_is_drained_removed_and_added_again() {
    let mut cluster = Cluster::new();
    let broker = BrokerName::new("b1");
    let drain = Change::SetBrokerState { broker: broker.clone(), state: MemberState::Draining };
    assert!(matches!(refusal(cluster.change("anna", 1, drain.clone())), ChangeRefusal::Catalog(_)));
    cluster.report("c1", follows("b1", 1, 0));
    accepted(cluster.change("anna", 2, drain.clone()));
    assert_eq!(cluster.state.catalog().broker_state(&broker), MemberState::Draining);
    accepted(cluster.change("anna", 3, Change::RemoveBroker(broker.clone())));
    assert!(cluster.state.members().brokers().is_empty());
    refusal(cluster.change("anna", 4, drain));
    accepted(cluster.change("anna", 5, Change::AddBroker { broker: broker.clone() }));
    assert_eq!(cluster.state.catalog().broker_state(&broker), MemberState::Active);
}

#[test]
fn a_clock_that_is_wrong_ends_nothing_at_once() {
    let mut cluster = Cluster::new();
    cluster.renew("c1", 1);
    cluster.report("c1", follows("b1", 1, 0));
    cluster.now = START.after(Duration::from_secs(3600));
    cluster.index += 1;
    cluster.state.apply(
        LogIndex(cluster.index),
        &Command {
            at: cluster.now,
            body: CommandBody::SetThreshold {
                service: ServiceName::new("console"),
                threshold: None,
            },
        },
    );
    assert!(cluster.state.now() <= START.after(Duration::from_secs(10)));
    cluster.now = START;
    cluster.renew("c1", 1);
    assert!(cluster.state.now() >= START.after(Duration::from_secs(10)), "time never goes back");
}

#[test]
fn threshold_ends_by_itself() {
    let mut cluster = Cluster::new();
    let service = ServiceName::new("console");
    let until = cluster.now.after(Duration::from_secs(5));
    let threshold = Some(Threshold { lowest_admitted: 1, until });
    cluster.apply(CommandBody::SetThreshold { service: service.clone(), threshold });
    assert_eq!(cluster.state.thresholds().of(&service), threshold);
    let version = cluster.state.thresholds().version();
    cluster.pass(Duration::from_secs(5));
    assert_eq!(cluster.state.thresholds().of(&service), None);
    assert!(cluster.state.thresholds().version() > version);
}

#[test]
fn hints_concern_known_leaves_and_go_with_them() {
    let mut cluster = Cluster::new();
    let control = ControlName::new("c1");
    let leaf = gingerkeel_domain::catalog::Leaf {
        id: LeafId(1),
        address: "10.0.0.2:9000".parse().unwrap(),
        placement: placement(),
        slots: 1,
        connection_limit: 10,
        state: gingerkeel_domain::catalog::LeafState::Active,
    };
    accepted(cluster.change("anna", 1, Change::AddLeaf(leaf)));
    let changes =
        [1, 2].map(|leaf| LeafHealthChange { leaf: LeafId(leaf), health: LeafHealth::Leaving });
    cluster.apply(CommandBody::ReportLeaves { control, changes: changes.to_vec() });
    assert_eq!(cluster.state.leaf_hints().leaving(), [LeafId(1)]);
    accepted(cluster.change("anna", 2, Change::RemoveLeaf(LeafId(1))));
    assert!(cluster.state.leaf_hints().leaving().is_empty());
}

fn key(number: u8) -> ChargeKey {
    ChargeKey {
        caller: CallerName::new(format!("caller-{number}")),
        service: ServiceName::new("console"),
        class: ClassName::new("urgent"),
    }
}

fn charge_report(run: u64, sequence: u64, counters: &[(u8, u64)]) -> ChargeReport {
    let counters = counters.iter().map(|(number, answered)| {
        (key(*number), ChargeCounter { answered: *answered, units: answered * 3 })
    });
    ChargeReport { broker: BrokerName::new("b1"), run, sequence, counters: counters.collect() }
}

#[test]
fn settled_run_is_not_counted_again_and_its_total_stays() {
    let mut cluster = Cluster::new();
    let report = charge_report(1, 1, &[(0, 10)]);
    assert_eq!(cluster.charge(report.clone()), ChargeReceipt::Recorded);
    cluster.pass(RUN_RETENTION + RUN_RETENTION / 12);
    assert_eq!(cluster.state.charges().open_runs(), 0);
    cluster.state = through_snapshot(&cluster.state);
    assert_eq!(cluster.charge(report), ChargeReceipt::RunSettled);
    assert_eq!(cluster.state.charges().totals()[&key(0)].answered, 10);
    assert_eq!(cluster.charge(charge_report(2, 1, &[(0, 4)])), ChargeReceipt::Recorded);
    assert_eq!(cluster.state.charges().totals()[&key(0)].answered, 14);
}

/// What each of several runs charged, step by step, to three callers.
fn runs() -> impl Strategy<Value = Vec<Vec<(u8, u64)>>> {
    prop::collection::vec(prop::collection::vec((0..3u8, 1..50u64), 1..12), 1..4)
}

/// Reports of growing counters, one after each step.
fn growing_reports(runs: &[Vec<(u8, u64)>]) -> Vec<ChargeReport> {
    let mut reports = Vec::new();
    for (run, steps) in runs.iter().enumerate() {
        let mut counters: BTreeMap<u8, u64> = BTreeMap::new();
        for (sequence, (caller, answered)) in steps.iter().enumerate() {
            *counters.entry(*caller).or_default() += answered;
            let all: Vec<(u8, u64)> = counters.iter().map(|(k, v)| (*k, *v)).collect();
            reports.push(charge_report(run as u64, sequence as u64, &all));
        }
    }
    reports
}

proptest! {
    #[test]
    fn any_resend_and_reorder_of_reports_gives_the_same_totals(
        runs in runs(),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
        order in any::<u64>(),
    ) {
        let reports = growing_reports(&runs);
        let mut expected: BTreeMap<ChargeKey, ChargeCounter> = BTreeMap::new();
        for (caller, answered) in runs.iter().flatten() {
            let counter = expected.entry(key(*caller)).or_default();
            counter.answered += answered;
            counter.units += answered * 3;
        }
        // Every report at least once, some again, in any order.
        let mut sent: Vec<ChargeReport> = reports.clone();
        sent.extend(picks.iter().map(|pick| pick.get(&reports).clone()));
        let mut shuffle = order;
        for index in (1..sent.len()).rev() {
            shuffle = shuffle.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            sent.swap(index, (shuffle >> 33) as usize % (index + 1));
        }
        let mut cluster = Cluster::new();
        for (number, report) in sent.into_iter().enumerate() {
            cluster.charge(report);
            if number % 7 == 3 {
                cluster.state = through_snapshot(&cluster.state);
            }
        }
        prop_assert_eq!(cluster.state.charges().totals(), &expected);
    }

    #[test]
    fn catalog_never_reverts_and_replicas_agree(
        commands in prop::collection::vec((0..4u8, 1..6u64, 0..3u8, prop::option::of(0..8u64)), 1..60),
    ) {
        let mut cluster = Cluster::new();
        let mut replica = ClusterState::default();
        let mut last: Catalog = Catalog::default();
        for (session, sequence, name, based_on) in commands {
            let change = caller(&format!("caller-{name}"), sequence);
            let body =
                CommandBody::Change(request(&format!("s{session}"), sequence, based_on, change));
            cluster.apply(body.clone());
            replica.apply(LogIndex(cluster.index), &Command { at: cluster.now, body });
            let catalog = cluster.state.catalog();
            prop_assert!(catalog.revision() >= last.revision());
            if catalog.revision() == last.revision() {
                prop_assert_eq!(catalog, &last);
            }
            last = catalog.clone();
            replica = through_snapshot(&replica);
        }
        prop_assert_eq!(replica, cluster.state);
    }
}
