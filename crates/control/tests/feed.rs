//! Feeds of a control process, as received by fake brokers.

mod support;

use std::collections::BTreeMap;

use gingerkeel_domain::admission::{ADMIT_ALL, ClassPressure, OverloadReport};
use gingerkeel_domain::cluster::{ChargeCounter, ChargeKey, HISTORY_LIMIT};
use gingerkeel_domain::crash_suspects::{CrashFinding, RequestDigest, Verdict};
use gingerkeel_domain::feed::{BrokerList, BrokerListDelta};
use gingerkeel_domain::identifiers::{CallerName, ClassName, LeafIdentity, ServiceName};
use gingerkeel_domain::leaf_warnings::{LeafObservation, LeafWarning, WarningCause};
use gingerkeel_protocol::{
    Document, FeedMessage, FeedRefusal, PROTOCOL_VERSION, SubscriberMessage, decode_document,
    encode_document, unpack_document,
};
use rstest::rstest;
use support::{Control, FakeBroker, subscription, wait_until};

fn define(number: u64) -> String {
    format!("DEFINE CALLER portal BUDGET {number} BURST 1")
}

#[test]
fn new_broker_gets_the_full_catalog_and_then_changes() {
    let control = Control::start("control-1");
    control.change(&define(1));
    control.change(&define(2));
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    assert_eq!(broker.follow_to(2), (true, vec![2]));
    control.change(&define(3));
    assert_eq!(broker.follow_to(3), (false, vec![3]));
}

#[test]
fn reconnected_broker_gets_only_the_missing_changes() {
    let control = Control::start("control-1");
    for number in 1..=5 {
        control.change(&define(number));
    }
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 3);
    assert_eq!(broker.follow_to(5), (false, vec![4, 5]));
}

#[test]
fn broker_too_far_behind_gets_the_full_catalog() {
    let control = Control::start("control-1");
    let last = HISTORY_LIMIT as u64 + 2;
    let text: Vec<String> = (1..=last).map(define).collect();
    assert_eq!(control.post(&text.join(";"), None).0, 200);
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 1);
    assert_eq!(broker.follow_to(last), (true, vec![last]));
}

#[test]
fn lease_names_the_accepted_revision_and_the_broker_reports_the_one_in_force() {
    let control = Control::start("control-1");
    control.change(&define(1));
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    assert_eq!(broker.renew(1, 1), 1);
    control.change(&define(2));
    assert_eq!(broker.renew(2, 1), 2);
    wait_until(|| control.rows("SHOW REVISION")[0][..4] == ["2", "1", "b1", "1"]);
    broker.send(&SubscriberMessage::InForce { revision: 2 });
    wait_until(|| control.rows("SHOW REVISION")[0][..3] == ["2", "2", "-"]);
}

#[test]
fn brokers_learn_of_each_other_by_deltas() {
    let control = Control::start("control-1");
    let mut first = FakeBroker::subscribe(&control, "b1", 1, 0);
    let mut list = BrokerList::default();
    let mut second = None;
    for expected in [1, 2] {
        while list.live().len() != expected {
            list.apply(first.receive_until(broker_delta));
        }
        second.get_or_insert_with(|| FakeBroker::subscribe(&control, "b2", 2, 0));
    }
    let names: Vec<String> = list.live().iter().map(|entry| entry.name.to_string()).collect();
    assert_eq!(names, ["b1", "b2"]);
    drop(second);
    while list.live().len() != 1 {
        first.renew(1, 0);
        list.apply(first.receive_until(broker_delta));
    }
}

fn broker_delta(message: FeedMessage) -> Option<BrokerListDelta> {
    match message {
        FeedMessage::Brokers { delta } => unpack_document(&delta.bytes).ok(),
        _ => None,
    }
}

#[test]
fn removed_broker_is_disconnected_and_refused_until_it_is_added_again() {
    let control = Control::start("control-1");
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    wait_until(|| !control.rows("SHOW BROKERS").is_empty());
    control.change("REMOVE BROKER b1");
    while broker.receive().is_some() {}
    let mut again = FakeBroker::subscribe(&control, "b1", 2, 0);
    let refused = again.receive();
    assert!(
        matches!(refused, Some(FeedMessage::Refused { reason: FeedRefusal::Removed, .. })),
        "{refused:?}"
    );
    control.change("ADD BROKER b1");
    let mut welcome = FakeBroker::subscribe(&control, "b1", 3, 0);
    assert_eq!(welcome.follow_to(2), (true, vec![2]));
}

#[rstest]
#[case::version(PROTOCOL_VERSION + 1, "b1", FeedRefusal::ProtocolVersion)]
#[case::name(PROTOCOL_VERSION, "", FeedRefusal::BadName)]
fn refused_subscription_states_the_reason(
    #[case] version: u16,
    #[case] name: &str,
    #[case] expected: FeedRefusal,
) {
    let control = Control::start("control-1");
    let mut broker = FakeBroker::connect(&control);
    broker.send(&subscription(version, name, 1, 0));
    let refusal = FeedMessage::Refused { protocol_version: PROTOCOL_VERSION, reason: expected };
    assert_eq!(broker.receive(), Some(refusal));
    assert_eq!(broker.receive(), None);
}

#[rstest]
#[case::not_a_message(&[0, 0, 0, 1, 99])]
#[case::too_large(&[255, 255, 255, 255])]
#[case::renewal_before_subscription(&[0, 0, 0, 17, 2, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0])]
fn invalid_frame_closes_only_its_connection(#[case] bytes: &[u8]) {
    let control = Control::start("control-1");
    let mut broker = FakeBroker::connect(&control);
    broker.send_bytes(bytes);
    assert_eq!(broker.receive(), None);
    control.change(&define(1));
    let mut other = FakeBroker::subscribe(&control, "b2", 1, 0);
    assert_eq!(other.follow_to(1), (true, vec![1]));
}

fn counters(answered: u64) -> Document {
    let key = ChargeKey {
        caller: CallerName::new("portal"),
        service: ServiceName::new("console"),
        class: ClassName::new("urgent"),
    };
    let counter = ChargeCounter { answered, units: answered * 3 };
    encode_document(&BTreeMap::from([(key, counter)])).unwrap().into()
}

fn charge(broker: &mut FakeBroker, run: u64, sequence: u64, answered: u64) {
    let counters = counters(answered);
    broker.send(&SubscriberMessage::Charges { sequence, run, counters });
    broker.receive_until(|message| match message {
        FeedMessage::ChargesRecorded { run: of, sequence: recorded } => {
            (of == run && recorded == sequence).then_some(())
        }
        _ => None,
    });
}

#[test]
fn charges_are_counted_once_across_resends_and_restarts() {
    let control = Control::start("control-1");
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    charge(&mut broker, 1, 1, 10);
    charge(&mut broker, 1, 2, 15);
    charge(&mut broker, 1, 1, 10);
    let mut again = FakeBroker::subscribe(&control, "b1", 2, 0);
    charge(&mut again, 2, 1, 4);
    charge(&mut again, 1, 2, 15);
    let rows = vec![["portal", "console", "urgent", "19", "57"].map(str::to_owned).to_vec()];
    assert_eq!(control.rows("SHOW CHARGES"), rows);
    assert_eq!(control.rows("SHOW CHARGES OF portal"), rows);
    assert!(control.rows("SHOW CHARGES OF nobody").is_empty());
}

/// The next admission threshold from the feed.
fn threshold(broker: &mut FakeBroker) -> u8 {
    broker.receive_until(|message| match message {
        FeedMessage::Threshold { lowest_admitted, .. } => Some(lowest_admitted),
        _ => None,
    })
}

/// The next admission threshold, received while the broker renews its lease so as not to expire.
fn threshold_while_renewing(broker: &mut FakeBroker) -> u8 {
    let renewal = SubscriberMessage::Renew { ticket: 1, in_force: 1 };
    broker.send(&renewal);
    loop {
        match broker.receive().expect("the feed is open") {
            FeedMessage::Threshold { lowest_admitted, .. } => return lowest_admitted,
            FeedMessage::Lease { .. } => {
                std::thread::sleep(std::time::Duration::from_secs(1));
                broker.send(&renewal);
            }
            _ => {}
        }
    }
}

#[test]
fn overload_of_one_broker_sets_the_threshold_of_all_until_its_reports_end() {
    let control = Control::start("control-1");
    control.change("DEFINE SERVICE console CONCURRENCY 8");
    control.change("DEFINE CLASS callback OF console PRIORITY 1 QUEUE 8 PRICE 1 DEADLINE 1s FULL");
    let shown = || control.rows("SHOW STATUS")[0].last().cloned();
    assert_eq!(shown().as_deref(), Some("-"));
    let mut first = FakeBroker::subscribe(&control, "b1", 1, 0);
    let mut second = FakeBroker::subscribe(&control, "b2", 2, 0);
    assert_eq!([threshold(&mut first), threshold(&mut second)], [ADMIT_ALL; 2]);
    let class = |priority| ClassPressure { priority, offered: 10, refused: 5, waiting: 1 };
    let report = OverloadReport {
        service: ServiceName::new("console"),
        running: 8,
        concurrency: 8,
        lowest_admitted: ADMIT_ALL,
        classes: vec![class(1), class(2)],
    };
    let report = encode_document(&report).unwrap().into();
    first.send(&SubscriberMessage::Overload { report });
    assert_eq!([threshold(&mut first), threshold(&mut second)], [1; 2]);
    assert_eq!(shown().as_deref(), Some("console: callback"));
    let mut third = FakeBroker::subscribe(&control, "b3", 3, 0);
    assert_eq!(threshold(&mut third), 1);
    let lowest_admitted = threshold_while_renewing(&mut second);
    assert_eq!(lowest_admitted, ADMIT_ALL, "no broker reports overload any more");
}

/// A broker's report of a leaf that was slow in requests that began this many ms ago.
fn slow_leaf(ms_ago: &[u32]) -> SubscriberMessage {
    let leaf = LeafIdentity::new("x");
    let seen = vec![LeafObservation {
        refused_ms_ago: Vec::new(),
        leaf,
        slow_ms_ago: ms_ago.to_vec(),
        failed_ms_ago: Vec::new(),
        sound: 0,
    }];
    SubscriberMessage::SlowLeaves { observations: encode_document(&seen).unwrap().into() }
}

fn next_warnings(broker: &mut FakeBroker) -> Vec<LeafWarning> {
    broker.receive_until(|message| match message {
        FeedMessage::LeafWarnings { warnings } => Some(decode_document(&warnings.bytes).unwrap()),
        _ => None,
    })
}

#[test]
fn all_brokers_are_warned_of_a_leaf_that_two_report_as_slow() {
    let control = Control::start("control-1");
    let mut brokers = ["b1", "b2", "b3"].map(|name| FakeBroker::subscribe(&control, name, 1, 0));
    // All brokers subscribe before one reports, and the process has to run for longer than the age
    // of the reported requests.
    for broker in &mut brokers {
        broker.renew(1, 0);
    }
    std::thread::sleep(std::time::Duration::from_secs(1));
    brokers[0].send(&slow_leaf(&[900, 500]));
    brokers[1].send(&slow_leaf(&[0]));
    for broker in &mut brokers {
        let warnings = next_warnings(broker);
        assert_eq!(
            warnings,
            [LeafWarning {
                leaf: LeafIdentity::new("x"),
                cause: WarningCause::Slow,
                for_ms: 1_000,
            }]
        );
    }
    let mut late = FakeBroker::subscribe(&control, "b4", 1, 0);
    assert!(
        next_warnings(&mut late)[0].for_ms <= 1_000,
        "a broker that subscribes later is warned for the remaining time"
    );
}

fn crash(leaves: u32, verdict: Verdict) -> CrashFinding {
    let route = "search".to_owned();
    CrashFinding { digest: RequestDigest(7), route, leaves, verdict, for_ms: 10_000 }
}

fn next_findings(broker: &mut FakeBroker) -> Vec<CrashFinding> {
    broker.receive_until(|message| match message {
        FeedMessage::CrashFindings { findings } => Some(decode_document(&findings.bytes).unwrap()),
        _ => None,
    })
}

#[test]
fn crash_finding_is_sent_to_all_brokers() {
    let control = Control::start("control-1");
    let mut brokers = ["b1", "b2"].map(|name| FakeBroker::subscribe(&control, name, 1, 0));
    for broker in &mut brokers {
        broker.renew(1, 0);
    }
    // A crash of a single leaf proves nothing and is not forwarded.
    for found in [crash(1, Verdict::Suspected), crash(3, Verdict::Refused)] {
        let findings = encode_document(&vec![found]).unwrap().into();
        brokers[0].send(&SubscriberMessage::CrashFindings { findings });
    }
    let [reporter, other] = &mut brokers;
    assert_eq!(next_findings(other), [crash(3, Verdict::Refused)]);
    // The reporter is told once the refusal is recorded, and of nothing before.
    let recorded = reporter.receive_until(|message| match message {
        FeedMessage::RefusedRequests { findings, is_whole: false, .. } => Some(findings),
        FeedMessage::CrashFindings { .. } => panic!("a hint went to its reporter"),
        _ => None,
    });
    let recorded: Vec<CrashFinding> = decode_document(&recorded.bytes).unwrap();
    let told = |finding: &CrashFinding| (finding.digest, finding.verdict, finding.leaves);
    assert_eq!(recorded.iter().map(told).collect::<Vec<_>>(), [told(&crash(3, Verdict::Refused))]);
    let mut late = FakeBroker::subscribe(&control, "b3", 1, 0);
    let told = next_findings(&mut late).remove(0);
    assert_eq!((told.verdict, told.leaves), (Verdict::Refused, 3));
    assert!(told.for_ms <= 10_000, "for the remaining time");
}
