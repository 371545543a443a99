//! A member of the replicated log in its own thread, driven by requests from the test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use gingerkeel_control::replication::{
    ProposeError, ReplicationMessage, ReplicationOptions, ReplicationStatus, StateMachineMessage,
    StateSnapshot, start_with_io,
};
use gingerkeel_control::storage::{DiskIo, StorageIo};
use gingerkeel_domain::consensus::LogIndex;
use gingerkeel_settings::{ControlSettings, parse};
use local_sync::mpsc::unbounded::{self, Tx};
use local_sync::oneshot;
use monoio::time::{sleep, timeout};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A request from the test's thread.
enum Request {
    Propose(&'static str),
    Status,
    Stop,
}

/// An answer to the test's thread.
pub enum Answer {
    Proposed(Result<(), ProposeError>),
    Status(Box<ReplicationStatus>),
}

/// A member of the replicated log in its own thread.
pub struct Member {
    requests: Sender<Request>,
    answers: Receiver<Answer>,
    pub commands: Receiver<String>,
    thread: Option<JoinHandle<()>>,
}

/// Number of calls of [`free_addresses`] so far.
static CALLS: AtomicU8 = AtomicU8::new(0);

/// Free addresses on a loopback host that no other call uses, so that no concurrent test takes a
/// port before it is bound.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let host = Ipv4Addr::new(127, 130 + call % 60, middle, low);
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((host, 0)).expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

/// Settings of member 1 of `peers`.
pub fn settings(data: &Path, peers: &[SocketAddr]) -> ControlSettings {
    let own = free_addresses(2);
    let mut text = format!(
        "name = \"control-1\"\ncluster = \"test\"\noperators = \"{}\"\nfeed = \"{}\"\n\
         data_folder = \"{}\"\n",
        own[0],
        own[1],
        data.display()
    );
    for (node, address) in (1..).zip(peers) {
        text.push_str(&format!("[[peers]]\nnode = {node}\naddress = \"{address}\"\n"));
    }
    parse("test", &text).expect("valid settings")
}

impl Member {
    pub fn start(settings: ControlSettings, io: Box<dyn StorageIo>) -> Self {
        let (requests, received) = channel();
        let (sender, answers) = channel();
        let (applied, commands) = channel();
        let thread = thread::spawn(move || {
            let run = run(settings, io, received, sender, applied);
            gingerkeel_transport::block_on(run).expect("a runtime");
        });
        Self { requests, answers, commands, thread: Some(thread) }
    }

    /// The error of a member that fails to start.
    pub fn start_error(settings: ControlSettings) -> String {
        let started = gingerkeel_transport::block_on(async move {
            let (sender, _state_machine) = unbounded::channel();
            start_with_io(&settings, ReplicationOptions::default(), Box::new(DiskIo), sender)
                .map(|_| ())
        });
        started.expect("a runtime").expect_err("the start fails").to_string()
    }

    pub fn propose(&self, command: &'static str) -> Result<(), ProposeError> {
        self.requests.send(Request::Propose(command)).expect("the member runs");
        match self.answers.recv().expect("the member answers") {
            Answer::Proposed(outcome) => outcome,
            Answer::Status(_) => panic!("unexpected answer"),
        }
    }

    pub fn status(&self) -> ReplicationStatus {
        self.requests.send(Request::Status).expect("the member runs");
        match self.answers.recv().expect("the member answers") {
            Answer::Status(status) => *status,
            Answer::Proposed(_) => panic!("another answer"),
        }
    }

    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let _ = self.requests.send(Request::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.end();
    }
}

async fn run(
    settings: ControlSettings,
    io: Box<dyn StorageIo>,
    requests: Receiver<Request>,
    answers: Sender<Answer>,
    applied: Sender<String>,
) {
    let (sender, mut state_machine) = unbounded::channel();
    let options = ReplicationOptions::default();
    let log = start_with_io(&settings, options, io, sender).expect("the member starts");
    monoio::spawn(async move {
        let mut last = LogIndex(0);
        while let Some(message) = state_machine.recv().await {
            match message {
                StateMachineMessage::Apply { index, command } => {
                    last = index;
                    let _ = applied.send(String::from_utf8_lossy(&command).into_owned());
                }
                StateMachineMessage::TakeSnapshot { reply } => {
                    let _ = reply.send(StateSnapshot { index: last, bytes: b"state".to_vec() });
                }
                _ => {}
            }
        }
    });
    loop {
        let answer = match requests.try_recv() {
            Ok(Request::Propose(command)) => Answer::Proposed(propose(&log, command).await),
            Ok(Request::Status) => {
                let (reply, receiver) = oneshot::channel();
                let _ = log.send(ReplicationMessage::Status { reply });
                Answer::Status(Box::new(receiver.await.expect("the member answers")))
            }
            Ok(Request::Stop) => {
                // Dropping the sender wakes the log's task, which ends during this pause.
                drop(log);
                sleep(POLL_INTERVAL * 10).await;
                return;
            }
            Err(_) => {
                sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        if answers.send(answer).is_err() {
            return;
        }
    }
}

async fn propose(log: &Tx<ReplicationMessage>, command: &'static str) -> Result<(), ProposeError> {
    let (reply, receiver) = oneshot::channel();
    let command = command.as_bytes().to_vec();
    let _ = log.send(ReplicationMessage::Propose { command, reply });
    let answer = timeout(ANSWER_TIMEOUT, receiver).await.expect("an answer in time");
    answer.expect("the log runs")
}
