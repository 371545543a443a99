//! Whether a caller without an answer is told that its request has not run.

use gingerkeel_domain::forwarding::{AttemptError, ExecutionEvidence, RequestFailure};
use rstest::rstest;

/// Event in the attempts at one request.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// An attempt is sent to a leaf.
    Sent,
    /// An attempt ends with a reply of this status.
    Replied(u16),
    /// An attempt ends without a reply.
    Failed(AttemptError),
}

use AttemptError::{AnotherLeaf, Lost, NotConnected, Rejected, Unusable};
use Event::{Failed, Replied, Sent};
use RequestFailure::{NoAnswer, NotRun};

/// Attempts of a request to one leaf or to many shards, none of which leads to an answer.
#[rstest]
#[case::nothing_sent(&[], NotRun)]
#[case::rejected(&[Sent, Failed(Rejected)], NotRun)]
#[case::at_another_leaf(&[Sent, Failed(AnotherLeaf)], NotRun)]
#[case::leaf_gone(&[Sent, Failed(NotConnected)], NotRun)]
#[case::rejected_by_all(&[Sent, Sent, Failed(Rejected), Failed(Rejected)], NotRun)]
#[case::connection_lost(&[Sent, Failed(Lost)], NoAnswer)]
#[case::reply_unusable(&[Sent, Failed(Unusable)], NoAnswer)]
#[case::leaf_failed(&[Sent, Replied(500)], NoAnswer)]
#[case::lost_then_rejected(&[Sent, Failed(Lost), Sent, Failed(Rejected)], NoAnswer)]
#[case::rejected_then_lost(&[Sent, Failed(Rejected), Sent, Failed(Lost)], NoAnswer)]
#[case::shard_answered_and_others_rejected(
    &[Sent, Sent, Sent, Replied(200), Failed(Rejected), Failed(Rejected)],
    NoAnswer
)]
#[case::shard_cancelled_and_others_rejected(
    &[Sent, Sent, Sent, Failed(Rejected), Failed(Rejected)],
    NoAnswer
)]
#[case::hedge_cancelled(&[Sent, Sent, Failed(Rejected)], NoAnswer)]
fn not_run_is_said_only_when_no_leaf_can_have_run_it(
    #[case] events: &[Event],
    #[case] expected: RequestFailure,
) {
    let mut evidence = ExecutionEvidence::default();
    for event in events {
        match event {
            Sent => evidence.sent(),
            Replied(status) => evidence.heard(Ok(*status)),
            Failed(error) => evidence.heard(Err(*error)),
        }
    }
    assert_eq!(evidence.certainly_not_run(), expected == NotRun);
    assert_eq!(evidence.failure(false), expected);
    assert_eq!(evidence.failure(true), RequestFailure::TimedOut);
}
