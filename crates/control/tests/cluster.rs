//! A cluster of three control processes, killed and frozen in turn under conflicting and resent
//! commands.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_protocol::{FeedMessage, SubscriberMessage};
use gingerkeel_statement::StatementReply;
use rustix::process::Signal;
use support::cluster::Cluster;
use support::{FakeBroker, wait_until};

/// Number of processes in a cluster.
const PROCESSES: usize = 3;

#[test]
fn accepted_commands_are_applied_once_on_all_processes_killed_and_frozen_in_turn() {
    let mut cluster = Cluster::start(PROCESSES);
    let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
    let mut sequence = 0;
    for round in 0..PROCESSES * 2 {
        let down = round % PROCESSES;
        let frozen = round >= PROCESSES;
        if frozen {
            cluster.signal(down, Signal::STOP);
        } else {
            cluster.kill(down);
        }
        for number in 0..5 {
            sequence += 1;
            let name = format!("caller-{round}-{number}");
            let text = format!("DEFINE CALLER {name} BUDGET {sequence} BURST 1");
            let revision = cluster.command(&text, "anna", sequence, number, down);
            assert!(accepted.insert(revision, name).is_none(), "revision {revision} twice");
            // The same command, resent to another process, returns the same outcome.
            let again = cluster.command(&text, "anna", sequence, number + 1, down);
            assert_eq!(again, revision);
            // A change based on the previous revision conflicts with anna's.
            let late = format!("DEFINE CALLER caller-{round}-{number} BUDGET 0 BURST 0");
            let late = format!("{late} AT REVISION {}", revision - 1);
            assert_eq!(cluster.command(&late, "ben", sequence, number, down), 0);
        }
        if frozen {
            cluster.signal(down, Signal::CONT);
        } else {
            cluster.restart(down);
        }
        let ready = &cluster.members[down].control;
        wait_until(|| ready.is_ready());
    }
    let newest = *accepted.last_key_value().unwrap().0;
    assert_eq!(accepted.len() as u64, newest, "each revision belongs to one accepted command");
    let catalogs: Vec<Catalog> = (0..PROCESSES).map(|index| cluster.catalog(index)).collect();
    let expected: BTreeSet<&str> = accepted.values().map(String::as_str).collect();
    for catalog in &catalogs {
        let callers: BTreeSet<&str> = catalog.callers().keys().map(|name| name.as_str()).collect();
        assert_eq!(callers, expected);
        assert_eq!(catalog, &catalogs[0]);
    }
}

/// The client sends each command once, so the process that received it has to retry the proposal.
#[test]
fn command_forwarded_to_a_frozen_leader_is_accepted_without_a_resend_by_the_client() {
    let cluster = Cluster::start(PROCESSES);
    for frozen in 0..PROCESSES {
        cluster.signal(frozen, Signal::STOP);
        let asked = &cluster.members[(frozen + 1) % PROCESSES].control;
        let text = format!("DEFINE CALLER caller-{frozen} BUDGET 1 BURST 1");
        let (status, replies) = asked.post(&text, Some(("anna", &(frozen + 1).to_string())));
        cluster.signal(frozen, Signal::CONT);
        assert_eq!(status, 200, "{replies:?}");
        wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
    }
    assert_eq!(cluster.members[0].control.rows("SHOW STATUS")[0][0], "3");
}

#[test]
fn restart_after_500_changes_comes_back_current() {
    let mut cluster = Cluster::start(PROCESSES);
    cluster.kill(2);
    let text: Vec<String> =
        (1..=500).map(|number| format!("DEFINE CALLER portal BUDGET {number} BURST 1")).collect();
    for batch in text.chunks(100) {
        let (status, replies) = cluster.members[0].control.post(&batch.join(";"), None);
        assert_eq!(status, 200, "{:?}", replies.last());
    }
    cluster.restart(2);
    wait_until(|| cluster.members[2].control.is_ready());
    assert_eq!(cluster.members[2].control.rows("SHOW STATUS")[0][0], "500");
    assert_eq!(cluster.catalog(2), cluster.catalog(0));
}

#[test]
fn without_a_quorum_no_command_is_accepted_and_no_lease_granted() {
    let mut cluster = Cluster::start(PROCESSES);
    let text = "DEFINE CALLER portal BUDGET 1 BURST 1";
    assert_eq!(cluster.command(text, "anna", 1, 0, usize::MAX), 1);
    let mut broker = FakeBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    broker.renew(1, 1);
    cluster.kill(1);
    cluster.kill(2);
    broker.send(&SubscriberMessage::Renew { ticket: 2, in_force: 1 });
    let (status, replies) =
        cluster.members[0].control.post("REMOVE CALLER portal", Some(("anna", "2")));
    assert_eq!(status, 503, "{replies:?}");
    assert!(matches!(replies[..], [StatementReply::Unknown { .. }]), "{replies:?}");
    // A lease requested without a quorum is never granted, unlike one requested with a quorum.
    cluster.restart(1);
    wait_until(|| cluster.members[0].control.is_ready());
    broker.send(&SubscriberMessage::Renew { ticket: 3, in_force: 1 });
    let granted = broker.receive_until(|message| match message {
        FeedMessage::Lease { ticket, .. } => Some(ticket),
        _ => None,
    });
    assert_eq!(granted, 3);
    let revision = cluster.command("REMOVE CALLER portal", "anna", 2, 0, 2);
    assert_eq!(revision, 2);
    assert_eq!(cluster.members[0].control.rows("SHOW STATUS")[0][0], "2");
}
