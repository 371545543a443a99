//! Feeds of brokers at a process that is no member of the group.

mod support;

use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_protocol::{FeedMessage, SubscriberMessage};
use rustix::process::Signal;
use support::seeded::Cluster;
use support::{FakeBroker, wait_until};

/// Number of seed processes.
const SEEDS: usize = 3;
/// Voters after one more machine has joined.
const VOTERS: usize = SEEDS + 1;
/// Time without a lease after which a broker turns to another control process.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Number of the lease that is asked for while the process is frozen, and after it.
const LATE_TICKET: u64 = 2;
/// Time limit for a removed process to become a member again.
const REJOIN_TIME: Duration = Duration::from_secs(30);

/// The messages that a broker receives from now on.
fn messages(mut broker: FakeBroker) -> Receiver<FeedMessage> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        while let Some(message) = broker.receive() {
            if sender.send(message).is_err() {
                return;
            }
        }
    });
    receiver
}

/// The revision of a lease that is granted before a broker would turn to another process.
fn lease(received: &Receiver<FeedMessage>) -> Option<u64> {
    let began = Instant::now();
    loop {
        let left = SILENCE_LIMIT.checked_sub(began.elapsed())?;
        if let FeedMessage::Lease { ticket: LATE_TICKET, revision, .. } =
            received.recv_timeout(left).ok()?
        {
            return Some(revision);
        }
    }
}

/// Number of voters in the latest configuration that a machine has applied.
fn voters(cluster: &Cluster, machine: usize) -> Option<usize> {
    let log = cluster.log(machine);
    let line = log.lines().rfind(|line| line.contains("event=members_changed"))?;
    let count = line.split(" voters=").nth(1)?.split(' ').next()?;
    count.parse().ok()
}

/// Guards against a process that never joined and yet has brokers serve: without a lease they turn to
/// another process.
#[test]
fn process_that_never_joined_grants_no_lease() {
    let mut cluster = Cluster::start();
    cluster.wait_accepted(0, 1);
    (0..SEEDS).for_each(|seed| cluster.kill(seed));
    let stranger = cluster.add(false);
    let control = cluster.statements(stranger);
    wait_until(|| std::net::TcpStream::connect(control.feed).is_ok());
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    broker.send(&SubscriberMessage::Renew { ticket: 1, in_force: 0 });
    let began = Instant::now();
    let received = messages(broker);
    let mut kinds = Vec::new();
    while began.elapsed() < 2 * SILENCE_LIMIT {
        let left = (2 * SILENCE_LIMIT).saturating_sub(began.elapsed());
        let Ok(message) = received.recv_timeout(left) else {
            break;
        };
        assert!(!matches!(message, FeedMessage::Lease { .. }), "after {kinds:?}");
        let whole = matches!(message, FeedMessage::RefusedRequests { is_whole: true, .. });
        assert!(!whole, "the list of refused requests is confirmed by nobody");
        assert!(!matches!(message, FeedMessage::Routes { .. }), "routes of an empty log");
        kinds.push(message.kind());
    }
    assert!(!kinds.is_empty(), "the feed is open");
}

/// Guards against a removed process that has its brokers serve by the revision at which it was
/// removed.
#[test]
fn removed_process_grants_leases_only_once_it_has_the_accepted_revision() {
    let mut cluster = Cluster::start();
    cluster.wait_accepted(0, 1);
    let fourth = cluster.add(false);
    cluster.wait_joined(fourth, 1);
    let leader = cluster.leader().expect("a leader");
    wait_until(|| voters(&cluster, leader) == Some(VOTERS));
    let removed = (0..SEEDS).find(|seed| *seed != leader).unwrap();
    let other = cluster.statements(leader);
    let before = other.change("ADD BROKER b1");
    let mut broker = FakeBroker::subscribe(&cluster.statements(removed), "b1", 1, 0);
    wait_until(|| broker.renew(1, 0) >= before);
    cluster.signal(removed, Signal::STOP);
    wait_until(|| voters(&cluster, leader) == Some(VOTERS - 1));
    let accepted = other.change("ADD BROKER b2");
    broker.send(&SubscriberMessage::Renew { ticket: LATE_TICKET, in_force: before });
    cluster.signal(removed, Signal::CONT);
    let began = Instant::now();
    let mut received = messages(broker);
    let granted = loop {
        assert!(began.elapsed() < REJOIN_TIME, "no lease:\n{}", cluster.log(removed));
        if let Some(revision) = lease(&received) {
            break revision;
        }
        let mut again = FakeBroker::subscribe(&cluster.statements(removed), "b1", 1, before);
        again.send(&SubscriberMessage::Renew { ticket: LATE_TICKET, in_force: before });
        received = messages(again);
    };
    assert!(granted >= accepted, "{granted} was granted, {accepted} is accepted");
}
