//! Three members of a replicated log as real processes, disturbed and compared from the outside.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use gingerkeel_rehearsal::fleet::{ManagedProcess, Signal};
use gingerkeel_rehearsal::log_member::{Request, ask};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_gingerkeel-rehearsal");
/// Time for what has to come about; generous, as the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(30);

struct Member {
    node: u32,
    operators: SocketAddr,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    process: Option<ManagedProcess>,
}

struct Group {
    members: Vec<Member>,
    accepted: Vec<String>,
    _folder: TempDir,
}

/// Calls of [`free_addresses`] so far.
static CALLS: AtomicU8 = AtomicU8::new(0);

/// Free addresses of a loopback host that no other call uses, so that neither an outgoing
/// connection nor a test that runs beside takes a port while a member is down.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 190 + call % 60, middle, low);
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((host, 0)).expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

fn settings_text(node: u32, own: &[SocketAddr], peers: &[SocketAddr], data: &Path) -> String {
    let mut text = format!(
        "name = \"control-{node}\"\ncluster = \"words\"\nnode = {node}\noperators = \"{}\"\n\
         feed = \"{}\"\ndata_folder = \"{}\"\n",
        own[0],
        own[1],
        data.display()
    );
    for (number, address) in (1..).zip(peers) {
        text.push_str(&format!("[[peers]]\nnode = {number}\naddress = \"{address}\"\n"));
    }
    text
}

impl Group {
    /// Starts `count` members and waits until they lead and follow.
    fn start(count: usize) -> Self {
        let folder = TempDir::new().expect("a folder");
        let addresses = free_addresses(count * 3);
        let peers = &addresses[count * 2..];
        let members = (0..count)
            .map(|index| {
                let node = index as u32 + 1;
                let data = folder.path().join(format!("data-{node}"));
                let settings = folder.path().join(format!("control-{node}.toml"));
                let own = &addresses[index * 2..index * 2 + 2];
                fs::write(&settings, settings_text(node, own, peers, &data)).expect("a file");
                let log = folder.path().join(format!("control-{node}.log"));
                Member { node, operators: own[0], settings, data, log, process: None }
            })
            .collect();
        let mut group = Self { members, accepted: Vec::new(), _folder: folder };
        (0..count).for_each(|index| group.members[index].start());
        group.accept("first");
        group
    }

    /// Has a word accepted, trying one member after the other, as an operator would.
    fn accept(&mut self, word: &str) {
        let request = Request::Propose(word.to_owned());
        let confirmed = eventually(|| {
            self.members.iter().filter(|member| member.is_reachable()).any(|member| {
                ask(member.operators, &request).is_ok()
                    && ask(member.operators, &Request::Read)
                        .is_ok_and(|words| words.split(' ').any(|found| found == word))
            })
        });
        assert!(confirmed, "{word} is accepted");
        self.accepted.push(word.to_owned());
    }

    fn accept_many(&mut self, prefix: &str, count: usize) {
        for number in 0..count {
            self.accept(&format!("{prefix}{number}"));
        }
    }

    /// All members come to hold the same words in the same order, and every accepted one once.
    fn assert_same_everywhere(&self) {
        let mut views: Vec<Vec<String>> = Vec::new();
        let same = eventually(|| {
            views = self.members.iter().map(Member::local_words).collect();
            views.iter().all(|view| view == &views[0] && view.len() >= self.accepted.len())
        });
        assert!(same, "the members differ: {views:?}");
        for word in &self.accepted {
            let count = views[0].iter().filter(|found| *found == word).count();
            assert_eq!(count, 1, "{word} is there once");
        }
    }

    fn leader(&self) -> usize {
        let mut leader = None;
        let found = eventually(|| {
            leader = self.members.iter().position(|member| {
                member.is_reachable() && member.status().contains("role=Leader")
            });
            leader.is_some()
        });
        assert!(found, "there is a leader");
        leader.expect("checked")
    }
}

impl Member {
    fn start(&mut self) {
        let settings = self.settings.display().to_string();
        let arguments = ["log-member", "--settings", &settings, "--snapshot-interval", "10"];
        let program = Path::new(PROGRAM);
        let process = ManagedProcess::start("member", program, &arguments, &self.log);
        self.process = Some(process.expect("it starts"));
    }

    fn kill(&mut self) {
        let process = self.process.take().expect("it runs");
        process.signal(Signal::KILL).expect("it is there");
    }

    fn is_reachable(&self) -> bool {
        self.process.is_some()
    }

    fn local_words(&self) -> Vec<String> {
        let words = ask(self.operators, &Request::Local).unwrap_or_default();
        words.split_whitespace().map(str::to_owned).collect()
    }

    fn status(&self) -> String {
        ask(self.operators, &Request::Status).unwrap_or_default()
    }
}

fn eventually(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(PAUSE);
    }
    false
}

#[test]
fn each_member_killed_in_turn_comes_back_current() {
    let mut group = Group::start(3);
    for index in 0..3 {
        group.members[index].kill();
        group.accept_many(&format!("without{index}-"), 8);
        group.members[index].start();
        group.accept_many(&format!("again{index}-"), 4);
    }
    group.assert_same_everywhere();
}

#[test]
fn all_members_killed_at_once_lose_nothing() {
    let mut group = Group::start(3);
    group.accept_many("before-", 30);
    group.members.iter_mut().for_each(Member::kill);
    group.members.iter_mut().for_each(Member::start);
    group.accept("after");
    group.assert_same_everywhere();
}

#[test]
fn a_frozen_leader_is_replaced_and_neither_reads_nor_accepts_late() {
    let mut group = Group::start(3);
    group.accept_many("before-", 5);
    let leader = group.leader();
    let process = group.members[leader].process.take().expect("it runs");
    process.signal(Signal::STOP).expect("it is there");
    group.accept_many("meanwhile-", 5);
    process.signal(Signal::CONT).expect("it is there");
    group.members[leader].process = Some(process);
    let read = eventually(|| {
        ask(group.members[leader].operators, &Request::Read).is_ok_and(|words| {
            assert!(words.contains("meanwhile-4"), "a confirmed read is not stale: {words}");
            true
        })
    });
    assert!(read, "the former leader reads again");
    group.accept("after");
    group.assert_same_everywhere();
}

#[test]
fn a_lost_disk_rejoins_as_a_new_member_while_another_fails() {
    let mut group = Group::start(3);
    group.accept_many("before-", 25);
    let former = group.members[2].status();
    group.members[2].kill();
    fs::remove_dir_all(&group.members[2].data).expect("the folder is there");
    group.members[2].start();
    // The second failure, in the middle of the repair.
    group.members[1].kill();
    sleep(Duration::from_millis(300));
    group.members[1].start();
    group.accept_many("after-", 5);
    group.assert_same_everywhere();
    let identity = |status: &str| status.split(' ').next().unwrap_or_default().to_owned();
    let repaired = eventually(|| {
        let status = group.members[0].status();
        status.matches("voter=").count() == 3
            && !status.contains("learner=")
            && !status.contains(&identity(&former).replace("identity=", "voter="))
    });
    assert!(repaired, "the old identity is gone: {}", group.members[0].status());
    // The new member counts: with it and one other alone, words are accepted.
    group.members[0].kill();
    group.accept_many("new-", 3);
    group.members[0].start();
    group.assert_same_everywhere();
}

#[test]
fn a_member_without_a_quorum_accepts_nothing() {
    let mut group = Group::start(3);
    group.members[1].kill();
    group.members[2].kill();
    let refused = eventually(|| {
        let alone = group.members[0].operators;
        ask(alone, &Request::Propose("lonely".into())).is_err()
            && ask(alone, &Request::Read).is_err()
    });
    assert!(refused, "it says so");
    group.members[1].start();
    group.members[2].start();
    group.accept("after");
    group.assert_same_everywhere();
}

#[test]
fn a_member_without_peers_works_alone() {
    let folder = TempDir::new().expect("a folder");
    let own = free_addresses(2);
    let data = folder.path().join("data");
    let settings = folder.path().join("control.toml");
    fs::write(&settings, settings_text(1, &own, &[], &data)).expect("a file");
    let log = folder.path().join("control.log");
    let mut member = Member { node: 1, operators: own[0], settings, data, log, process: None };
    for round in 0..2 {
        member.start();
        let word = format!("word{round}");
        let accepted =
            eventually(|| ask(member.operators, &Request::Propose(word.clone())).is_ok());
        assert!(accepted, "{word}");
        member.kill();
    }
    member.start();
    let kept = eventually(|| {
        ask(member.operators, &Request::Read).is_ok_and(|words| words == "word0 word1")
    });
    assert!(kept, "node {} keeps its words", member.node);
}

#[test]
fn a_data_folder_in_use_or_of_another_cluster_is_refused() {
    let mut group = Group::start(1);

    let other = group.members[0].settings.with_file_name("other.toml");
    let addresses = free_addresses(3);
    let data = group.members[0].data.clone();
    let refusal = |text: &str| {
        fs::write(&other, text).expect("a file");
        let output = Command::new(PROGRAM)
            .args(["log-member", "--settings"])
            .arg(&other)
            .output()
            .expect("it starts");
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let twin = settings_text(1, &addresses[..2], &addresses[2..], &data);
    let error = refusal(&twin);
    assert!(error.contains("another process uses this data folder"), "{error}");
    group.members[0].kill();

    let error = refusal(&twin.replace("\"words\"", "\"numbers\""));
    assert!(error.contains("is of cluster words, not numbers"), "{error}");
}
