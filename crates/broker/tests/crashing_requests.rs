//! Requests that crash leaves: they crash few leaves before they are refused, and other requests are
//! served.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread::{sleep, spawn};
use std::time::Duration;

use gingerkeel_domain::crash_suspects::{CrashFinding, RequestDigest, Verdict};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use rstest::rstest;
use support::control::ControlScript;
use support::leaf::{LeafAction, ScriptedLeaf, response};
use support::routed::{RoutedBroker, configuration, directory, feed_messages, honest, reply};
use support::wait_until;

/// Part of the path of requests that crash leaves.
const CRASHING: &str = "crashing";
/// Maximum number of leaves that a request may crash: two first attempts, and one that confirms.
const MAX_LOST_LEAVES: usize = 3;

/// A leaf that ends on a crashing request and answers all others after a short delay.
fn crashing(attestation: &'static str) -> Arc<ScriptedLeaf> {
    crashing_after(attestation, Duration::from_millis(5))
}

/// A leaf that ends this long after a crashing request and answers all others as late.
fn crashing_after(attestation: &'static str, delay: Duration) -> Arc<ScriptedLeaf> {
    let (crash, crashes) = sync_channel(16);
    let leaf = Arc::new(ScriptedLeaf::for_all(move |request| {
        sleep(delay);
        if !request.head.contains(CRASHING) {
            return LeafAction::Send(reply(request, attestation, &[b'x'; 16]));
        }
        // The leaf may already have ended.
        let _ = crash.try_send(());
        LeafAction::NoReply
    }));
    let ending = leaf.clone();
    spawn(move || {
        if crashes.recv().is_ok() {
            ending.end();
        }
    });
    leaf
}

/// Number of leaves that received a crashing request.
fn leaves_hit(leaves: &[Arc<ScriptedLeaf>]) -> usize {
    let is_hit = |leaf: &&Arc<ScriptedLeaf>| {
        leaf.requests().iter().any(|request| request.head.contains(CRASHING))
    };
    leaves.iter().filter(is_hit).count()
}

/// The crash findings reported by a broker.
fn findings(broker: &RoutedBroker) -> Vec<CrashFinding> {
    let received = broker.broker.control.received();
    let reports = received.iter().filter_map(|message| match message {
        SubscriberMessage::CrashFindings { findings } => {
            let findings: Vec<CrashFinding> = decode_document(&findings.bytes).expect("a document");
            Some(findings)
        }
        _ => None,
    });
    reports.flatten().collect()
}

/// Waits until a broker has reported a request as refused.
fn reported_refusal(broker: &RoutedBroker) -> CrashFinding {
    let refusal = || findings(broker).into_iter().find(|found| found.verdict == Verdict::Refused);
    wait_until("the refusal is reported", || refusal().is_some());
    refusal().expect("a refusal")
}

#[test]
fn crashing_gather_is_refused_after_few_lost_leaves() {
    let leaves: Vec<Arc<ScriptedLeaf>> = (0..16).map(|_| crashing("part")).collect();
    let addresses: Vec<[SocketAddr; 2]> =
        leaves.chunks(2).map(|pair| [pair[0].address, pair[1].address]).collect();
    let shards: Vec<&[SocketAddr]> = addresses.iter().map(|pair| &pair[..]).collect();
    let broker = RoutedBroker::start(&[], &shards);
    assert_eq!(broker.get("/all/before").status, 200);
    assert_eq!(broker.get("/all/crashing").status, 502, "it may have run");
    let lost = leaves_hit(&leaves);
    assert!(lost <= MAX_LOST_LEAVES, "{lost} leaves ended");

    let again = broker.get("/all/crashing");
    assert_eq!(again.status, 503, "nothing of it has run");
    let after: f64 = again.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((20.0..=30.0).contains(&after), "{after} s");
    assert_eq!(leaves_hit(&leaves), lost);
    assert_eq!(broker.get("/all/other").status, 200, "other requests are served");

    let found = reported_refusal(&broker);
    assert_eq!((found.route.as_str(), found.for_ms), ("all", 30_000));
    let log = broker.broker.log();
    assert!(log.contains("event=leaf_ended_under_request request=r1 route=all"), "{log}");
    assert!(!log.contains(CRASHING), "a path may tell of a caller");
}

/// A control process that finds no leader drops a report after a while, and the refusal ended with
/// the brokers that knew of it.
#[test]
fn refusal_is_reported_again_until_it_is_recorded() {
    let leaves: Vec<Arc<ScriptedLeaf>> = (0..2).map(|_| crashing("leaf")).collect();
    let broker = RoutedBroker::start(&[leaves[0].address, leaves[1].address], &[]);
    assert_eq!(broker.get("/one/crashing").status, 502);
    let reports = || {
        let reported = findings(&broker).into_iter();
        reported.filter(|found| found.verdict == Verdict::Refused).count()
    };
    wait_until("the refusal is reported again", || reports() > 1);
}

#[test]
fn crashing_request_loses_no_more_leaves_than_attempts() {
    let leaves: Vec<Arc<ScriptedLeaf>> = (0..4).map(|_| crashing("leaf")).collect();
    let addresses: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
    let broker = RoutedBroker::start(&addresses, &[]);
    assert_eq!(broker.get("/one/crashing").status, 502);
    for _ in 0..3 {
        assert_eq!(broker.get("/one/crashing").status, 503);
    }
    assert_eq!(leaves_hit(&leaves), 2);
    assert_eq!(broker.get("/one/other").status, 200);
}

#[test]
fn non_repeatable_crashing_request_is_sent_to_one_leaf_each_time() {
    let leaves: Vec<Arc<ScriptedLeaf>> = (0..4).map(|_| crashing("leaf")).collect();
    let addresses: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
    let broker = RoutedBroker::start(&addresses, &[]);
    assert_eq!(broker.get("/once/crashing").status, 502);
    assert_eq!(broker.get("/once/crashing").status, 502);
    assert_eq!(broker.get("/once/crashing").status, 503);
    assert_eq!(leaves_hit(&leaves), 2);
}

/// The leaf closes connections but keeps running, so that the request is not suspected.
#[test]
fn lost_connection_alone_raises_no_suspicion() {
    let careless = ScriptedLeaf::for_all(|_| LeafAction::SendAndClose(Vec::new()));
    let broker = RoutedBroker::start(&[careless.address], &[]);
    for _ in 0..4 {
        assert_eq!(broker.get("/once/").status, 502);
    }
    assert_eq!(findings(&broker), []);
    assert!(!broker.broker.log().contains("event=leaf_ended_under_request"));
}

#[test]
fn finding_of_one_broker_protects_the_leaves_of_another() {
    let lost: Vec<Arc<ScriptedLeaf>> = (0..2).map(|_| crashing("leaf")).collect();
    let first = RoutedBroker::start(&[lost[0].address, lost[1].address], &[]);
    assert_eq!(first.get("/one/crashing").status, 502);
    let found = vec![reported_refusal(&first)];

    let kept = honest("kept", b"body");
    let mut feed_messages = feed_messages(&configuration(0), &directory(&[kept.address], &[]));
    let findings = encode_document(&found).expect("a document").into();
    feed_messages.push(FeedMessage::CrashFindings { findings });
    let second =
        RoutedBroker::start_on(ControlScript { feed_messages, ..ControlScript::default() }, "");
    wait_until("it is told", || second.broker.log().contains("source=told"));
    assert_eq!(second.get("/one/crashing").status, 503);
    assert_eq!(second.get("/one/other").status, 200);
    assert_eq!(kept.requests().len(), 1);
}

/// Feed message with a refused request of which a trial is due.
fn due(digest: RequestDigest) -> FeedMessage {
    let route = "one".to_owned();
    let finding = CrashFinding { digest, route, leaves: 3, verdict: Verdict::Refused, for_ms: 0 };
    let findings = encode_document(&vec![finding]).expect("a document").into();
    FeedMessage::RefusedRequests { is_whole: true, findings }
}

/// A broker with these leaves; the control process refuses the request to `path`.
fn refusing(path: &str, leaves: &[SocketAddr], grants_trials: Option<bool>) -> RoutedBroker {
    let digest = gingerkeel_broker::routes::request_digest("GET", "h", path, b"");
    let mut feed_messages = feed_messages(&configuration(0), &directory(leaves, &[]));
    feed_messages.insert(0, due(digest));
    let script = ControlScript { feed_messages, grants_trials, ..ControlScript::default() };
    RoutedBroker::start_on(script, "")
}

#[rstest]
#[case::denied(Some(false))]
#[case::not_answered(None)]
fn refused_request_is_not_sent_without_a_trial(#[case] grants_trials: Option<bool>) {
    let leaf = honest("kept", b"body");
    let broker = refusing("/one/crashing", &[leaf.address], grants_trials);
    let refused = broker.get("/one/crashing");
    assert_eq!(refused.status, 503);
    let after: f64 = refused.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((1.0..=300.0).contains(&after), "{after} s");
    assert_eq!(broker.get("/one/other").status, 200);
    assert_eq!(leaf.requests().len(), 1);
}

#[test]
fn trial_of_a_crashing_request_loses_one_leaf() {
    let leaves: Vec<Arc<ScriptedLeaf>> = (0..3).map(|_| crashing("leaf")).collect();
    let addresses: Vec<SocketAddr> = leaves.iter().map(|leaf| leaf.address).collect();
    let broker = refusing("/one/crashing", &addresses, Some(true));
    assert_eq!(broker.get("/one/crashing").status, 502);
    assert_eq!(leaves_hit(&leaves), 1);
    let refusal = reported_refusal(&broker);
    assert!(refusal.leaves >= 4, "{refusal:?}");
    assert_eq!(broker.get("/one/crashing").status, 503);
    assert_eq!(leaves_hit(&leaves), 1);
}

#[test]
fn answered_trial_is_reported_to_the_control_process() {
    let leaf = honest("kept", b"body");
    let broker = refusing("/one/harmless", &[leaf.address], Some(true));
    assert_eq!(broker.get("/one/harmless").status, 200);
    let cleared = || findings(&broker).into_iter().any(|found| found.verdict == Verdict::Cleared);
    wait_until("that it is harmless is reported", cleared);
    assert_eq!(broker.get("/one/harmless").status, 200);
}

/// The leaf may answer without having run the request, for example from its queue.
#[rstest]
#[case::failure(500)]
#[case::overload(503)]
fn failure_of_another_leaf_does_not_clear_a_suspicion(#[case] status: u16) {
    let lost = crashing("leaf");
    let failing = ScriptedLeaf::for_all(move |_| {
        LeafAction::Send(response(status, "x-queue: full\r\n", b""))
    });
    let broker = RoutedBroker::start(&[lost.address, failing.address], &[]);
    assert_eq!(broker.get("/one/crashing").status, status);
    wait_until("the end is seen", || {
        broker.broker.log().contains("event=leaf_ended_under_request")
    });
    assert!(!broker.broker.log().contains("event=crash_suspicion_cleared"));
}

/// Leaves of other services have taken the addresses of the other shards, so that the gather fails
/// while the request is still in flight. A leaf that ended after it was probed once was missed.
#[test]
fn the_end_of_a_leaf_is_not_missed_when_its_request_is_given_up() {
    let lost: Vec<Arc<ScriptedLeaf>> = (0..2).map(|_| crashing("part")).collect();
    end_after_the_request_is_given_up(&lost);
}

/// The leaf works on the request for longer than until the first probe.
#[test]
fn the_end_of_a_leaf_that_runs_an_abandoned_request_for_a_while_is_not_missed() {
    let delay = Duration::from_millis(350);
    let lost: Vec<Arc<ScriptedLeaf>> = (0..2).map(|_| crashing_after("part", delay)).collect();
    end_after_the_request_is_given_up(&lost);
}

/// Has a gather fail while the request is in flight at one of the leaves `lost` of the first shard,
/// and waits until the end of that leaf is noticed.
fn end_after_the_request_is_given_up(lost: &[Arc<ScriptedLeaf>]) {
    let others: Vec<ScriptedLeaf> = (0..3)
        .map(|_| ScriptedLeaf::for_all(|_| LeafAction::Send(response(421, "", b"another leaf"))))
        .collect();
    let shard = [lost[0].address, lost[1].address];
    let taken: Vec<[SocketAddr; 1]> = others.iter().map(|leaf| [leaf.address]).collect();
    let mut shards: Vec<&[SocketAddr]> = vec![&shard];
    shards.extend(taken.iter().map(|address| &address[..]));
    let broker = RoutedBroker::start(&[], &shards);
    assert_eq!(broker.get("/all/crashing").status, 502);
    assert_eq!(leaves_hit(lost), 1);
    wait_until("the end is held against the request", || {
        broker.broker.log().contains("event=leaf_ended_under_request request=r1")
    });
}
