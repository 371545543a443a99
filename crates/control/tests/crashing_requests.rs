//! Requests that crash leaves: one broker's finding reaches the brokers of all control processes
//! and is durable.

mod support;

use std::net::TcpStream;

use gingerkeel_domain::crash_suspects::{CrashFinding, RequestDigest, Verdict};
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document, encode_document};
use support::FakeBroker;
use support::cluster::Cluster;

const PROCESSES: usize = 3;

/// A broker's finding that a request crashes leaves.
fn crash_finding() -> CrashFinding {
    CrashFinding {
        digest: RequestDigest(7),
        route: "search".to_owned(),
        leaves: 3,
        verdict: Verdict::Refused,
        for_ms: 30_000,
    }
}

fn report(broker: &mut FakeBroker, finding: CrashFinding) {
    let findings = encode_document(&vec![finding]).unwrap().into();
    broker.send(&SubscriberMessage::CrashFindings { findings });
}

/// Waits until a broker receives the finding that the request is refused.
fn wait_until_refused(broker: &mut FakeBroker) {
    let finding = broker.receive_until(|message| match message {
        FeedMessage::CrashFindings { findings } | FeedMessage::RefusedRequests { findings, .. } => {
            let findings: Vec<CrashFinding> = decode_document(&findings.bytes).unwrap();
            findings.into_iter().find(|finding| finding.digest == RequestDigest(7))
        }
        _ => None,
    });
    assert_eq!(finding.verdict, Verdict::Refused);
}

fn subscribe(cluster: &Cluster, control: usize, name: &str) -> FakeBroker {
    FakeBroker::subscribe(&cluster.members[control].control, name, 1, 0)
}

/// Subscribes one broker to each control process.
fn subscribe_to_each(cluster: &Cluster) -> Vec<FakeBroker> {
    let controls = 0..PROCESSES;
    controls.map(|control| subscribe(cluster, control, &format!("b{control}"))).collect()
}

#[test]
fn crash_finding_reaches_the_brokers_of_other_control_processes() {
    let cluster = Cluster::start(PROCESSES);
    let mut others = [1, 2].map(|control| subscribe(&cluster, control, &format!("b{control}")));
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    others.iter_mut().for_each(wait_until_refused);
}

/// The reporter took a hint for the recorded refusal, and the log did not have it yet.
#[test]
fn crash_finding_survives_a_restart_of_all_control_processes() {
    let mut cluster = Cluster::start(PROCESSES);
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    wait_until_refused(&mut reporter);
    // An accepted change is later in the log than the finding, so the finding is durable, too.
    cluster.command("EVACUATE ZONE z", "operator", 1, 0, usize::MAX);
    (0..PROCESSES).for_each(|index| cluster.kill(index));
    (0..PROCESSES).for_each(|index| cluster.restart(index));
    support::wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
    wait_until_refused(&mut subscribe(&cluster, 1, "b1"));
}

/// The same without any statement between the report and the kill.
#[test]
fn crash_finding_is_durable_once_its_reporter_is_told_of_it() {
    let mut cluster = Cluster::start(PROCESSES);
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    wait_until_refused(&mut reporter);
    (0..PROCESSES).for_each(|index| cluster.kill(index));
    (0..PROCESSES).for_each(|index| cluster.restart(index));
    support::wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
    wait_until_refused(&mut subscribe(&cluster, 1, "b1"));
}

#[test]
fn operators_list_refused_requests_and_release_them_on_all_brokers() {
    let cluster = Cluster::start(PROCESSES);
    let mut brokers = subscribe_to_each(&cluster);
    report(&mut brokers[0], crash_finding());
    brokers.iter_mut().for_each(wait_until_refused);
    let control = &cluster.members[1].control;
    let rows = || control.rows("SHOW REFUSED REQUESTS");
    assert_eq!(rows()[0][..4], ["0000000000000007", "search", "3", "0"]);
    let (status, _) = control.post("RELEASE REQUEST 0000000000000008", None);
    assert_eq!(status, 400, "the request is not refused");
    control.change("RELEASE REQUEST 0000000000000007");
    assert!(rows().is_empty());
    for broker in &mut brokers {
        let released = |finding: &CrashFinding| finding.verdict == Verdict::Cleared;
        broker.receive_until(|message| match message {
            FeedMessage::RefusedRequests { findings, .. } => {
                let findings: Vec<CrashFinding> = decode_document(&findings.bytes).unwrap();
                findings.iter().any(released).then_some(())
            }
            _ => None,
        });
    }
}

#[test]
fn brokers_of_different_control_processes_share_one_trial() {
    let cluster = Cluster::start(PROCESSES);
    let mut brokers = subscribe_to_each(&cluster);
    report(&mut brokers[0], CrashFinding { for_ms: 0, ..crash_finding() });
    brokers.iter_mut().for_each(wait_until_refused);
    for broker in &mut brokers {
        let finding = encode_document(&crash_finding()).unwrap().into();
        broker.send(&SubscriberMessage::AskTrial { ticket: 9, finding });
    }
    let answer = |broker: &mut FakeBroker| {
        broker.receive_until(|message| match message {
            FeedMessage::Trial { ticket: 9, granted } => Some(granted),
            _ => None,
        })
    };
    let granted = brokers.iter_mut().map(answer).filter(|granted| *granted).count();
    assert_eq!(granted, 1);
}

/// One of three processes restarts. It finds no leader, and its log ends with the finding.
#[test]
fn crash_finding_is_sent_before_a_leader_is_found() {
    let mut cluster = Cluster::start(PROCESSES);
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    let recorded = || !cluster.members[2].control.rows("SHOW REFUSED REQUESTS").is_empty();
    support::wait_until(recorded);
    (0..PROCESSES).for_each(|index| cluster.kill(index));
    cluster.restart(2);
    support::wait_until(|| TcpStream::connect(cluster.members[2].control.feed).is_ok());
    wait_until_refused(&mut subscribe(&cluster, 2, "b2"));
}

/// The list of a process that had missed the refusal made brokers forget it.
#[test]
fn list_of_refused_requests_is_complete_only_once_a_quorum_has_confirmed_it() {
    let mut cluster = Cluster::start(PROCESSES);
    cluster.kill(2);
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    wait_until_refused(&mut reporter);
    (0..2).for_each(|index| cluster.kill(index));
    cluster.restart(2);
    support::wait_until(|| TcpStream::connect(cluster.members[2].control.feed).is_ok());
    let mut broker = subscribe(&cluster, 2, "b2");
    broker.receive_until(|message| match message {
        FeedMessage::RefusedRequests { is_whole: true, .. } => panic!("the list is not confirmed"),
        // Refused requests are sent before the list of control processes.
        FeedMessage::Controls { .. } => Some(()),
        _ => None,
    });
    (0..2).for_each(|index| cluster.restart(index));
    support::wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
    broker.send(&SubscriberMessage::Renew { ticket: 1, in_force: 0 });
    let whole = broker.receive_until(|message| match message {
        FeedMessage::RefusedRequests { is_whole: true, findings, .. } => Some(findings),
        FeedMessage::Lease { .. } => panic!("the list is sent before a broker may serve"),
        _ => None,
    });
    let whole: Vec<CrashFinding> = decode_document(&whole.bytes).unwrap();
    assert!(whole.iter().any(|finding| finding.digest == RequestDigest(7)), "{whole:?}");
}

#[test]
fn released_request_is_not_reported_to_a_broker_that_subscribes_later() {
    let cluster = Cluster::start(PROCESSES);
    let mut reporter = subscribe(&cluster, 0, "b0");
    report(&mut reporter, crash_finding());
    wait_until_refused(&mut reporter);
    let control = &cluster.members[0].control;
    support::wait_until(|| !control.rows("SHOW REFUSED REQUESTS").is_empty());
    control.change("RELEASE REQUEST 0000000000000007");
    let mut late = subscribe(&cluster, 0, "b9");
    let hint = late.receive_until(|message| match message {
        FeedMessage::CrashFindings { .. } => Some(true),
        // Findings are sent before the list of control processes.
        FeedMessage::Controls { .. } => Some(false),
        _ => None,
    });
    assert!(!hint, "the request is still reported as refused");
}
