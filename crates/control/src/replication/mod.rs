//! The replicated log of a control process: the consensus core with its disk, peers and clock.
//!
//! One task owns the core. Other tasks send it [`ReplicationMessage`]s; it sends the task of the
//! state machine [`StateMachineMessage`]s.

mod error;
mod identity_renewal;
mod membership;
mod messages;
mod peers;
mod requests;
mod task;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gingerkeel_domain::consensus::{ConsensusSettings, Incarnation, NodeNumber};
use gingerkeel_domain::memory::MemoryLimits;
use gingerkeel_settings::ControlSettings;
use gingerkeel_transport::{Clock, ConnectionMemory, listen};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use tracing::info;

use crate::storage::{DiskIo, FolderOwner, Storage, StorageIo};

pub use error::{ChangeError, ProposeError, ReadError, StartError, StopError};
pub use messages::{
    MemberStatus, PeerUsageReport, ReplicationMessage, ReplicationStatus, StateMachineMessage,
    StateSnapshot,
};

use messages::TaskEvent;

/// Default number of applied entries between two snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 1_000;

/// Bytes of the commands applied since the latest snapshot from which the next one is taken, unless
/// the latest one is larger. A member that joins gets a snapshot and the commands after it, so this
/// bounds how long joining takes, however large the commands are.
pub const SNAPSHOT_COMMAND_BYTES: usize = 4 * 1024 * 1024;

/// Heartbeat intervals per election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Timing, limits and snapshot interval of the log.
#[derive(Debug, Clone, Copy)]
pub struct ReplicationOptions {
    /// Timing and limits of the consensus core.
    pub consensus: ConsensusSettings,
    /// Number of applied entries between two snapshots.
    pub snapshot_interval: u64,
}

impl Default for ReplicationOptions {
    fn default() -> Self {
        Self { consensus: ConsensusSettings::default(), snapshot_interval: SNAPSHOT_INTERVAL }
    }
}

impl ReplicationOptions {
    /// Derives election timeout and heartbeat interval from the settings; the rest is default.
    pub fn of(settings: &ControlSettings) -> Self {
        let election_timeout = Duration::from_millis(settings.election_ms.into());
        let heartbeat_interval = election_timeout / HEARTBEATS_PER_ELECTION;
        let consensus = ConsensusSettings {
            election_timeout,
            heartbeat_interval,
            ..ConsensusSettings::default()
        };
        Self { consensus, ..Self::default() }
    }
}

/// Opens the data folder and starts the log; committed commands go to `state_machine`.
///
/// The log stops and unlocks the folder once all senders of requests are dropped.
///
/// # Errors
/// A [`StartError`] when the folder or the address for peers cannot be used.
pub fn start(
    settings: &ControlSettings,
    options: ReplicationOptions,
    state_machine: Tx<StateMachineMessage>,
) -> Result<Tx<ReplicationMessage>, StartError> {
    start_with_io(settings, options, Box::new(DiskIo), state_machine)
}

/// Like [`start`], with a custom implementation of file writes and syncs.
///
/// # Errors
/// As [`start`].
pub fn start_with_io(
    settings: &ControlSettings,
    options: ReplicationOptions,
    io: Box<dyn StorageIo>,
    state_machine: Tx<StateMachineMessage>,
) -> Result<Tx<ReplicationMessage>, StartError> {
    let owner = FolderOwner {
        cluster: settings.cluster.clone(),
        node: NodeNumber(settings.node_number()),
        new_incarnation: new_incarnation(),
    };
    let opened = Storage::open(&settings.data_folder, &owner, io)?;
    info!(
        event = "log_opened",
        member = %opened.identity,
        entries = opened.recovered.entries.len(),
        snapshot = opened.recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index().0)
    );
    let (events, receiver) = unbounded::channel();
    let identity = opened.identity;
    let formed = !opened.recovered.is_empty();
    let directory = peers::PeerDirectory::new(settings, identity, formed);
    if let Some(address) = settings.peer_address() {
        let listener = listen(address).map_err(|error| StartError::Address(address, error))?;
        let limits = MemoryLimits::of_processes(settings.memory_mb, settings.open_files);
        let memory = ConnectionMemory::new("peers", Clock::start(), limits);
        monoio::spawn(peers::serve(listener, directory.clone(), events.clone(), memory));
    }
    let links = peers::Links::start(settings, &directory, &events);
    let task =
        task::ReplicationTask::new(settings, options, opened, links, directory, state_machine);
    let task = task.map_err(StartError::Thread)?;
    let (sender, requests) = unbounded::channel();
    monoio::spawn(forward_requests(requests, events.clone()));
    monoio::spawn(task.run(receiver, events));
    Ok(sender)
}

/// Microseconds since the Unix epoch, so that the number exceeds that of any earlier data folder of
/// the node, unless the clock stood ahead when that one was created. Peers tell its number then.
fn new_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

async fn forward_requests(mut requests: Rx<ReplicationMessage>, events: Tx<TaskEvent>) {
    while let Some(request) = requests.recv().await {
        if events.send(TaskEvent::Request(request)).is_err() {
            return;
        }
    }
    // The replication task may have ended already.
    let _ = events.send(TaskEvent::RequestsEnded);
}
