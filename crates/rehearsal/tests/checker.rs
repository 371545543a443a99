//! The outside checker: it accepts an honest run and finds each kind of broken promise.

use gingerkeel_rehearsal::check::{CheckSettings, Evidence, Summary, ViolationKind, check};
use gingerkeel_rehearsal::leaf::LeafBody;
use gingerkeel_rehearsal::record::{
    AnswerPart, CallerOutcome, CallerRecord, JournalEntry, JournalStep, MissingShard, Order,
    OrderKind,
};
use rstest::rstest;

const SECOND: u64 = 1_000_000;
const BROKER: &str = "127.0.0.1:1";
const EPOCH: u64 = 1;
const VERSION: u64 = 7;
/// Queries of the honest run, by their place in the caller log.
const ANSWERED: usize = 0;
const PARTIAL: usize = 1;
const REFUSED: usize = 2;
const CUT: usize = 3;
const FROZEN: usize = 4;
/// Place in the journal of the first query's first shard.
const FIRST_RUN: usize = 0;
/// A leaf that is drained at `DRAINED_AT` and taken back at `RESUMED_AT`.
const DRAINED_LEAF: u32 = 2;
const DRAINED_AT: u64 = 100 * SECOND;
const RESUMED_AT: u64 = 200 * SECOND;

fn record(query: &str, outcome: CallerOutcome) -> CallerRecord {
    CallerRecord {
        query: query.to_owned(),
        service: "helpdesk".to_owned(),
        class: "console".to_owned(),
        priority: 0,
        repeatable: false,
        broker: BROKER.to_owned(),
        intended: SECOND,
        sent: Some(SECOND),
        ended: 2 * SECOND,
        outcome,
        reason: None,
        retry_after_ms: None,
        snapshot: None,
        shards: None,
        coverage: None,
        charge: None,
        missing: Vec::new(),
        parts: Vec::new(),
    }
}

fn answer(query: &str, shards: &[u32], missing: &[(u32, &str)]) -> CallerRecord {
    let named = shards.len() + missing.len();
    let part = |shard: &u32| AnswerPart {
        shard: *shard,
        body: LeafBody::new(query.to_owned(), *shard, EPOCH, VERSION).to_text(),
    };
    let missing = missing
        .iter()
        .map(|(shard, reason)| MissingShard { shard: *shard, reason: (*reason).to_owned() });
    CallerRecord {
        snapshot: Some(format!("{EPOCH}.{VERSION}")),
        shards: Some(named as u32),
        coverage: Some(shards.len() as f64 / named as f64),
        charge: Some(8),
        missing: missing.collect(),
        parts: shards.iter().map(part).collect(),
        ..record(query, CallerOutcome::Answered)
    }
}

fn started(query: &str, shard: u32) -> JournalEntry {
    JournalEntry {
        at: SECOND,
        leaf: shard,
        step: JournalStep::Started,
        request: format!("broker-0-0-{query}-{shard}-0"),
        query: query.to_owned(),
        shard,
        version: VERSION,
        epoch: EPOCH,
        drain_announced: false,
    }
}

/// A run in which every promise was kept although much went wrong.
fn honest() -> Evidence {
    let refused =
        CallerRecord { retry_after_ms: Some(50), ..record("refused", CallerOutcome::NotRun) };
    let frozen = CallerRecord {
        broker: "127.0.0.1:2".to_owned(),
        ..record("frozen", CallerOutcome::NeverAnswered)
    };
    let stop = OrderKind::StopBroker { broker: BROKER.to_owned() };
    let disturb = OrderKind::DisturbBroker { broker: "127.0.0.1:2".to_owned() };
    Evidence {
        callers: vec![
            answer("answered", &[0, 1], &[]),
            answer("partial", &[0], &[(1, "unknown"), (3, "not_run")]),
            refused,
            record("cut", CallerOutcome::Cut),
            frozen,
        ],
        journal: vec![
            started("answered", 0),
            started("answered", 1),
            started("partial", 0),
            started("partial", 1),
            started("frozen", 0),
        ],
        orders: vec![
            Order { at: SECOND, kind: stop },
            Order { at: SECOND, kind: disturb },
            Order { at: DRAINED_AT, kind: OrderKind::DrainLeaf { leaf: DRAINED_LEAF } },
            Order { at: RESUMED_AT, kind: OrderKind::ResumeLeaf { leaf: DRAINED_LEAF } },
        ],
    }
}

fn kinds(evidence: &Evidence) -> Vec<ViolationKind> {
    let violations = check(evidence, &CheckSettings::default());
    violations.into_iter().map(|violation| violation.kind).collect()
}

fn body(query: &str, shard: u32, version: u64) -> String {
    LeafBody::new(query.to_owned(), shard, EPOCH, version).to_text()
}

#[test]
fn an_honest_run_is_accepted() {
    assert_eq!(check(&honest(), &CheckSettings::default()), Vec::new());
}

#[rstest]
#[case::part_of_another_version(ViolationKind::MixedSnapshot, |run: &mut Evidence| {
    run.callers[ANSWERED].parts[1].body = body("answered", 1, VERSION + 1);
})]
#[case::snapshot_misreported(ViolationKind::MixedSnapshot, |run: &mut Evidence| {
    run.callers[PARTIAL].snapshot = Some("1.8".to_owned());
})]
#[case::part_of_another_query(ViolationKind::ForeignPart, |run: &mut Evidence| {
    run.callers[ANSWERED].parts[0].body = body("partial", 0, VERSION);
})]
#[case::part_of_another_shard(ViolationKind::ForeignPart, |run: &mut Evidence| {
    run.callers[ANSWERED].parts[0].body = body("answered", 1, VERSION);
})]
#[case::part_cut_short(ViolationKind::ForeignPart, |run: &mut Evidence| {
    run.callers[ANSWERED].parts[0].body.truncate(20);
})]
#[case::part_changed(ViolationKind::ForeignPart, |run: &mut Evidence| {
    let changed = run.callers[ANSWERED].parts[0].body.replace("\"digest\":\"", "\"digest\":\"0");
    run.callers[ANSWERED].parts[0].body = changed;
})]
#[case::coverage_too_high(ViolationKind::FalseCoverage, |run: &mut Evidence| {
    run.callers[PARTIAL].coverage = Some(1.0);
})]
#[case::missing_shard_not_named(ViolationKind::FalseCoverage, |run: &mut Evidence| {
    run.callers[PARTIAL].missing.pop();
})]
#[case::shard_counted_twice(ViolationKind::FalseCoverage, |run: &mut Evidence| {
    let again = run.callers[ANSWERED].parts[0].clone();
    run.callers[ANSWERED].parts[1] = again;
})]
#[case::part_that_no_leaf_ran(ViolationKind::InventedPart, |run: &mut Evidence| {
    run.journal.remove(FIRST_RUN);
})]
#[case::refused_but_ran(ViolationKind::NotRunButRan, |run: &mut Evidence| {
    run.journal.push(started("refused", 0));
})]
#[case::missing_shard_ran(ViolationKind::NotRunButRan, |run: &mut Evidence| {
    run.journal.push(started("partial", 3));
})]
#[case::ran_twice(ViolationKind::RanTwice, |run: &mut Evidence| {
    run.journal.push(started("answered", 1));
})]
#[case::ran_on_two_snapshots(ViolationKind::RanTwice, |run: &mut Evidence| {
    let version = VERSION + 1;
    run.journal.push(JournalEntry { version, ..started("answered", 4) });
})]
#[case::work_long_after_drain(ViolationKind::WorkAfterDrain, |run: &mut Evidence| {
    let at = DRAINED_AT + 20 * SECOND;
    run.journal.push(JournalEntry { at, leaf: DRAINED_LEAF, ..started("other", 0) });
})]
#[case::planned_stop_cuts_what_it_took(ViolationKind::AnswerCut, |run: &mut Evidence| {
    run.journal.push(started("cut", 0));
})]
#[case::cut_without_any_order(ViolationKind::AnswerCut, |run: &mut Evidence| {
    run.orders.clear();
    run.callers.truncate(FROZEN);
})]
#[case::answer_never_given(ViolationKind::NeverAnswered, |run: &mut Evidence| {
    run.orders.remove(1);
})]
#[case::refusal_without_advice(ViolationKind::RefusalWithoutRetryAfter, |run: &mut Evidence| {
    run.callers[REFUSED].retry_after_ms = None;
})]
#[case::response_of_no_kind(ViolationKind::NotUnderstood, |run: &mut Evidence| {
    run.callers[CUT].outcome = CallerOutcome::NotUnderstood;
})]
#[case::lower_class_served_first(ViolationKind::PriorityInverted, |run: &mut Evidence| {
    add_class(run, 1, 1000, 900);
    add_class(run, 2, 1000, 1000);
    add_class(run, 0, 1000, 700);
})]
fn a_broken_promise_is_found(#[case] expected: ViolationKind, #[case] doctor: fn(&mut Evidence)) {
    let mut run = honest();
    doctor(&mut run);
    let found = kinds(&run);
    assert!(!found.is_empty() && found.iter().all(|kind| *kind == expected), "found {found:?}");
}

/// Adds queries of a class that were answered or refused.
fn add_class(run: &mut Evidence, priority: u8, offered: u64, answered: u64) {
    for number in 0..offered {
        let outcome =
            if number < answered { CallerOutcome::Answered } else { CallerOutcome::NotRun };
        run.callers.push(CallerRecord {
            priority,
            retry_after_ms: Some(50),
            shards: Some(0),
            coverage: Some(0.0),
            ..record(&format!("class-{priority}-{number}"), outcome)
        });
    }
}

#[rstest]
#[case::within_the_allowed_time(DRAINED_AT + SECOND)]
#[case::after_it_was_taken_back(RESUMED_AT + 20 * SECOND)]
fn a_drained_leaf_may_start_work(#[case] at: u64) {
    let mut run = honest();
    run.journal.push(JournalEntry { at, leaf: DRAINED_LEAF, ..started("other", 0) });
    assert_eq!(kinds(&run), Vec::new());
}

#[test]
fn a_repeatable_query_may_run_twice_and_counts_as_extra_load() {
    let mut run = honest();
    run.callers[ANSWERED].repeatable = true;
    run.journal.push(started("answered", 1));
    assert_eq!(kinds(&run), Vec::new());
    let summary = Summary::new(&run);
    assert_eq!(summary.leaf_requests, 6);
    assert!((summary.extra_load - 0.2).abs() < 1e-9, "{}", summary.extra_load);
    assert_eq!(summary.total.answered, 2);
    assert_eq!(summary.total.refused_not_run, 1);
}
