//! Three control processes, killed and frozen in turn under conflicting and resent commands.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::process::{Child, Command, Stdio};

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_protocol::{FeedMessage, SubscriberMessage, decode_document};
use gingerkeel_statement::StatementReply;
use rustix::process::{Pid, Signal, kill_process};
use support::{Control, HollowBroker, free_addresses, wait_until};
use tempfile::TempDir;

const PROCESSES: usize = 3;

struct Member {
    control: Control,
    settings: String,
    process: Child,
}

struct Cluster {
    members: Vec<Member>,
    _folder: TempDir,
}

impl Cluster {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses = free_addresses(PROCESSES * 3);
        let peers: Vec<String> = (0..PROCESSES)
            .map(|index| {
                format!("{{ node = {}, address = \"{}\" }}", index + 1, addresses[index * 3 + 2])
            })
            .collect();
        let members = (0..PROCESSES).map(|index| {
            let [operators, feed] = [addresses[index * 3], addresses[index * 3 + 1]];
            let data = folder.path().join(format!("data-{index}"));
            std::fs::create_dir_all(&data).unwrap();
            let text = format!(
                "name = \"control-{index}\"\nnode = {}\noperators = \"{operators}\"\n\
                 feed = \"{feed}\"\ndata_folder = {data:?}\npeers = [{}]\n",
                index + 1,
                peers.join(", ")
            );
            let settings = folder.path().join(format!("control-{index}.toml"));
            std::fs::write(&settings, text).unwrap();
            let settings = settings.display().to_string();
            let process = spawn(&settings);
            Member { control: Control::at(operators, feed), settings, process }
        });
        let cluster = Self { members: members.collect(), _folder: folder };
        wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
        cluster
    }

    fn signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_child(&self.members[index].process);
        kill_process(pid, signal).unwrap();
    }

    fn kill(&mut self, index: usize) {
        let process = &mut self.members[index].process;
        process.kill().unwrap();
        process.wait().unwrap();
    }

    fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.process = spawn(&member.settings);
    }

    /// Sends one command to the processes in turn, from `first` on and past `down`, until one
    /// tells its outcome.
    fn command(&self, text: &str, session: &str, sequence: u64, first: usize, down: usize) -> u64 {
        let mut target = first;
        loop {
            target = (target + 1) % PROCESSES;
            if target == down {
                continue;
            }
            let command = Some((session, sequence.to_string()));
            let command = command.as_ref().map(|(name, number)| (*name, number.as_str()));
            match self.members[target].control.try_post(text, command) {
                Some(StatementReply::Accepted { revision }) => return revision,
                Some(StatementReply::Refused { .. }) => return 0,
                _ => {}
            }
        }
    }

    /// The catalog as this process gives it to a new broker.
    fn catalog(&self, index: usize) -> Catalog {
        let mut broker = HollowBroker::subscribe(&self.members[index].control, "checker", 1, 0);
        broker.receive_until(|message| match message {
            FeedMessage::FullCatalog { catalog } => decode_document(&catalog.bytes).ok(),
            _ => None,
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for member in &mut self.members {
            // A process that ended already is as good.
            let _ = member.process.kill();
            let _ = member.process.wait();
        }
    }
}

fn spawn(settings: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_gingerkeel-control"))
        .args(["--settings", settings])
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

#[test]
fn accepted_commands_are_there_once_on_all_that_were_killed_and_frozen_in_turn() {
    let mut cluster = Cluster::start();
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
            // The same command again, to another process: its one outcome.
            let again = cluster.command(&text, "anna", sequence, number + 1, down);
            assert_eq!(again, revision);
            // A change against the revision before is late: anna's came in between.
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
    assert_eq!(accepted.len() as u64, newest, "each revision is of one accepted command");
    let catalogs: Vec<Catalog> = (0..PROCESSES).map(|index| cluster.catalog(index)).collect();
    let expected: BTreeSet<&str> = accepted.values().map(String::as_str).collect();
    for catalog in &catalogs {
        let callers: BTreeSet<&str> = catalog.callers().keys().map(|name| name.as_str()).collect();
        assert_eq!(callers, expected);
        assert_eq!(catalog, &catalogs[0]);
    }
}

/// The client sends each command once: the process that it asked has to see to it.
#[test]
fn command_handed_to_a_frozen_leader_is_accepted_without_a_resend_by_the_client() {
    let cluster = Cluster::start();
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
    let mut cluster = Cluster::start();
    cluster.kill(2);
    let text: Vec<String> =
        (1..=500).map(|number| format!("DEFINE CALLER portal BUDGET {number} BURST 1")).collect();
    for batch in text.chunks(100) {
        assert_eq!(cluster.members[0].control.post(&batch.join(";"), None).0, 200);
    }
    cluster.restart(2);
    wait_until(|| cluster.members[2].control.is_ready());
    assert_eq!(cluster.members[2].control.rows("SHOW STATUS")[0][0], "500");
    assert_eq!(cluster.catalog(2), cluster.catalog(0));
}

#[test]
fn without_a_quorum_nothing_is_accepted_and_no_lease_granted() {
    let mut cluster = Cluster::start();
    let text = "DEFINE CALLER portal BUDGET 1 BURST 1";
    assert_eq!(cluster.command(text, "anna", 1, 0, usize::MAX), 1);
    let mut broker = HollowBroker::subscribe(&cluster.members[0].control, "b1", 1, 0);
    broker.renew(1, 1);
    cluster.kill(1);
    cluster.kill(2);
    broker.send(&SubscriberMessage::Renew { ticket: 2, in_force: 1 });
    let (status, replies) =
        cluster.members[0].control.post("REMOVE CALLER portal", Some(("anna", "2")));
    assert_eq!(status, 503, "{replies:?}");
    assert!(matches!(replies[..], [StatementReply::Unknown { .. }]), "{replies:?}");
    // What was asked without a quorum is never granted; what is asked with one is.
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
