//! Time of the answer and the missing shards that the answer reports.

mod support;

use gingerkeel_domain::catalog::AnswerPolicy;
use gingerkeel_domain::dispatch::Effect;
use gingerkeel_domain::identifiers::ShardId;
use gingerkeel_domain::query::{LeafFailure, MissingReason, NotRunReason, QueryOutcome};
use rstest::rstest;
use support::*;

const PARTIAL: AnswerPolicy =
    AnswerPolicy::Partial { soft_deadline: std::time::Duration::from_millis(100) };

fn has_ended(effects: &[Effect]) -> bool {
    outcome(effects).is_some()
}

#[rstest]
#[case::partial(PARTIAL, 100)]
#[case::full(AnswerPolicy::Full, 1000)]
fn the_answer_policy_decides_when_an_incomplete_answer_is_given(
    #[case] policy: AnswerPolicy,
    #[case] expected_millis: u64,
) {
    let mut harness = Harness::with_policy(&[&[0], &[1]], policy);
    let sent = sends(&harness.submit(true));
    harness.answer(sent[0]);
    assert!(!has_ended(&harness.wait(millis(expected_millis - 1))));
    let answer = answered(&harness.wait(millis(1)));
    assert_eq!(answer.coverage(), 0.5);
    assert_eq!(answer.missing[0].shard, ShardId(1));
    assert_eq!(answer.missing[0].reason, MissingReason::Unknown);
}

#[test]
fn without_any_reply_the_query_waits_past_the_soft_deadline() {
    let mut harness = Harness::with_policy(&[&[0], &[1]], PARTIAL);
    let sent = sends(&harness.submit(true));
    assert!(!has_ended(&harness.wait(millis(500))));
    harness.answer(sent[0]);
    assert_eq!(answered(&harness.answer(sent[1])).coverage(), 1.0);
}

#[test]
fn without_any_reply_the_outcome_at_the_deadline_is_unknown() {
    let mut harness = Harness::with_policy(&[&[0], &[1]], PARTIAL);
    harness.submit(true);
    let effects = harness.wait(millis(1000));
    assert!(matches!(outcome(&effects), Some(QueryOutcome::Unknown { .. })), "{effects:?}");
}

#[rstest]
#[case::partial(PARTIAL)]
#[case::full(AnswerPolicy::Full)]
fn a_query_ends_at_once_when_no_replica_is_left(#[case] policy: AnswerPolicy) {
    let mut harness = Harness::with_policy(&[&[0], &[1]], policy);
    let sent = sends(&harness.submit(true));
    harness.answer(sent[0]);
    let effects = harness.refuse(sent[1], NotRunReason::Draining);
    assert_eq!(answered(&effects).missing[0].reason, MissingReason::NotRun);
}

#[derive(Clone, Copy)]
enum End {
    Answers,
    Refuses,
    Breaks,
    IsSilent,
    CannotBeReached,
}

#[rstest]
#[case::complete(&[End::Answers, End::Answers], &[])]
#[case::refused(&[End::Answers, End::Refuses], &[(1, MissingReason::NotRun)])]
#[case::broken(&[End::Breaks, End::Answers], &[(0, MissingReason::Unknown)])]
#[case::silent(&[End::Answers, End::IsSilent], &[(1, MissingReason::Unknown)])]
#[case::unreachable(&[End::CannotBeReached, End::Answers], &[(0, MissingReason::NotRun)])]
#[case::mixed(
    &[End::Refuses, End::Answers, End::IsSilent],
    &[(0, MissingReason::NotRun), (2, MissingReason::Unknown)]
)]
fn missing_shards_are_reported_with_the_reason(
    #[case] ends: &[End],
    #[case] expected: &[(u32, MissingReason)],
) {
    let shards: [&[u32]; 3] = [&[0], &[1], &[2]];
    let mut harness = Harness::new(&shards[..ends.len()]);
    let mut effects = harness.submit(true);
    while let Some(sending) = sends(&effects).into_iter().next() {
        let open = sends(&effects);
        effects = open[1..]
            .iter()
            .map(|sending| Effect::Send { sending: *sending, time_left: millis(0) })
            .collect();
        effects.extend(match ends[sending.request.shard.0 as usize] {
            End::Answers => harness.answer(sending),
            End::Refuses => harness.refuse(sending, NotRunReason::Shedding),
            End::Breaks => harness.fail(sending, LeafFailure::Broken),
            End::CannotBeReached => harness.fail(sending, LeafFailure::NotSent),
            End::IsSilent => Vec::new(),
        });
    }
    effects.extend(harness.wait(millis(1000)));
    let answer = answered(&effects);
    let missing: Vec<(u32, MissingReason)> =
        answer.missing.iter().map(|missing| (missing.shard.0, missing.reason)).collect();
    assert_eq!(missing, expected);
    assert_eq!(answer.parts.len() + missing.len(), ends.len());
}
