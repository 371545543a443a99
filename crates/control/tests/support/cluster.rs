//! A cluster of control processes, each a child process of the test.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_protocol::{FeedMessage, decode_document};
use gingerkeel_statement::StatementReply;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use super::{Control, FakeBroker, free_addresses, wait_until};

/// Number of addresses per process: statements, feed, peers and routes.
const ADDRESSES: usize = 4;

/// A control process of the cluster.
pub struct Member {
    pub control: Control,
    /// Address of its HTTP interface for routes.
    pub routes: SocketAddr,
    settings: String,
    process: Child,
}

/// Control processes that list each other in their settings. Dropping it kills them.
pub struct Cluster {
    pub members: Vec<Member>,
    _folder: TempDir,
}

impl Cluster {
    /// Starts this many processes, all of them voters, and waits until they are ready.
    pub fn start(processes: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses = free_addresses(processes * ADDRESSES);
        let peers: Vec<String> = (0..processes)
            .map(|index| {
                format!(
                    "{{ node = {}, address = \"{}\" }}",
                    index + 1,
                    addresses[index * ADDRESSES + 2]
                )
            })
            .collect();
        let members = (0..processes).map(|index| {
            let [operators, feed, _, routes] =
                [0, 1, 2, 3].map(|place| addresses[index * ADDRESSES + place]);
            let data = folder.path().join(format!("data-{index}"));
            std::fs::create_dir_all(&data).unwrap();
            let text = format!(
                "name = \"control-{index}\"\nnode = {}\noperators = \"{operators}\"\n\
                 feed = \"{feed}\"\nroutes = \"{routes}\"\ndata_folder = {data:?}\npeers = [{}]\n",
                index + 1,
                peers.join(", ")
            );
            let settings = folder.path().join(format!("control-{index}.toml"));
            std::fs::write(&settings, text).unwrap();
            let settings = settings.display().to_string();
            let process = spawn(&settings);
            Member { control: Control::at(operators, feed), routes, settings, process }
        });
        let cluster = Self { members: members.collect(), _folder: folder };
        wait_until(|| cluster.members.iter().all(|member| member.control.is_ready()));
        cluster
    }

    /// Sends a signal to the process with this index.
    pub fn signal(&self, index: usize, signal: Signal) {
        let pid = Pid::from_child(&self.members[index].process);
        kill_process(pid, signal).unwrap();
    }

    /// Kills the process with this index.
    pub fn kill(&mut self, index: usize) {
        let process = &mut self.members[index].process;
        process.kill().unwrap();
        process.wait().unwrap();
    }

    /// Restarts a killed process on its data folder.
    pub fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.process = spawn(&member.settings);
    }

    /// Sends one command to the processes in turn, starting after `first` and skipping `down`,
    /// until one returns its outcome: the accepted revision, or 0 for a refusal.
    pub fn command(
        &self,
        text: &str,
        session: &str,
        sequence: u64,
        first: usize,
        down: usize,
    ) -> u64 {
        let mut target = first;
        loop {
            target = (target + 1) % self.members.len();
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

    /// The catalog that this process sends to a new broker.
    pub fn catalog(&self, index: usize) -> Catalog {
        let mut broker = FakeBroker::subscribe(&self.members[index].control, "checker", 1, 0);
        broker.receive_until(|message| match message {
            FeedMessage::FullCatalog { catalog } => decode_document(&catalog.bytes).ok(),
            _ => None,
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for member in &mut self.members {
            // Fails if the process has already exited.
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
