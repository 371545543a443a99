//! One member in a thread of its own.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gingerkeel_control::replication::{self, ReplicationMessage, ReplicationOptions, StartError};
use gingerkeel_control::storage::StorageError;
use gingerkeel_domain::consensus::RoleName;
use gingerkeel_settings::{ControlSettings, parse};
use hdrhistogram::Histogram;
use local_sync::mpsc::unbounded::{self, Tx};
use local_sync::oneshot;
use monoio::time::sleep;
use tempfile::TempDir;

use super::client::{self, Load};
use super::{folder, since};
use crate::error::RehearsalError;
use crate::fleet::free_addresses;
use crate::log_member::{WordsMessage, run_words};

/// Time between looks at the state of the member.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Members that belong together.
pub struct Group {
    settings: Vec<ControlSettings>,
    snapshot_interval: u64,
    stopped: AtomicBool,
    _folder: TempDir,
}

/// What a member has to do.
#[derive(Debug, Clone, Copy)]
pub enum MemberRun {
    /// Put load on the log once it leads; otherwise follow until the group is stopped.
    Load(Load),
    /// Come back, and read all words.
    Recover,
}

/// What a member measured.
pub struct MemberResult {
    /// Commit latency in microseconds.
    pub latency: Histogram<u64>,
    /// Throughput.
    pub commands_per_second: f64,
    /// Time from the start until all words were read.
    pub elapsed: Duration,
    /// Words that were read.
    pub words: usize,
}

impl Group {
    /// Settings of `count` members with empty folders.
    pub fn new(count: usize, snapshot_interval: u64) -> Result<Self, RehearsalError> {
        let folder = folder()?;
        let addresses = free_addresses(count * 3)?;
        let peers: String = (1..)
            .zip(&addresses[..count])
            .map(|(node, address)| format!("[[peers]]\nnode = {node}\naddress = \"{address}\"\n"))
            .collect();
        let own = addresses[count..].chunks_exact(2);
        let settings = (1..).zip(own).map(|(node, own)| {
            let data = folder.path().join(format!("data-{node}"));
            let text = format!(
                "name = \"control-{node}\"\nnode = {node}\noperators = \"{}\"\nfeed = \"{}\"\n\
                 data_folder = \"{}\"\n{peers}",
                own[0],
                own[1],
                data.display()
            );
            parse("bench", &text)
        });
        let settings = settings.collect::<Result<_, _>>()?;
        Ok(Self { settings, snapshot_interval, stopped: AtomicBool::new(false), _folder: folder })
    }

    /// Ends all members.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Runs a member until it has done what it has to do.
///
/// # Errors
/// A [`RehearsalError`] when it does not start.
pub fn run_member(
    group: &Group,
    index: usize,
    run: MemberRun,
) -> Result<MemberResult, RehearsalError> {
    gingerkeel_transport::block_on(member(group, index, run))
        .map_err(|error| RehearsalError::resource("runtime", error))?
}

async fn member(
    group: &Group,
    index: usize,
    run: MemberRun,
) -> Result<MemberResult, RehearsalError> {
    let (started, log, words) = start(group, index).await?;
    let result = match run {
        MemberRun::Load(load) => lead_and_load(group, &log, load).await,
        MemberRun::Recover => recover(started, &log, &words).await,
    };
    // The log's task ends before the pause does, as it is woken at once.
    drop(log);
    sleep(LOOK_INTERVAL * 10).await;
    result
}

async fn lead_and_load(
    group: &Group,
    log: &Tx<ReplicationMessage>,
    load: Load,
) -> Result<MemberResult, RehearsalError> {
    while !group.is_stopped() && !leads(log).await {
        sleep(LOOK_INTERVAL).await;
    }
    if group.is_stopped() {
        return Err(RehearsalError::NotReady("a follower".into()));
    }
    client::put_load(log, load).await
}

async fn recover(
    started: Instant,
    log: &Tx<ReplicationMessage>,
    words: &Tx<WordsMessage>,
) -> Result<MemberResult, RehearsalError> {
    let words = client::read_words(log, words).await?;
    let latency = client::histogram();
    let elapsed = since(started);
    Ok(MemberResult { latency, commands_per_second: 0.0, elapsed, words })
}

/// Starts the log, once an earlier run has given the folder free.
async fn start(
    group: &Group,
    index: usize,
) -> Result<(Instant, Tx<ReplicationMessage>, Tx<WordsMessage>), RehearsalError> {
    let options = ReplicationOptions {
        snapshot_interval: group.snapshot_interval,
        ..ReplicationOptions::default()
    };
    loop {
        let started = Instant::now();
        let (applies, received) = unbounded::channel();
        match replication::start(&group.settings[index], options, applies) {
            Ok(log) => return Ok((started, log, run_words(received))),
            Err(StartError::Storage(StorageError::InUse(_))) => sleep(LOOK_INTERVAL).await,
            Err(error) => return Err(RehearsalError::Log(error.to_string())),
        }
    }
}

async fn leads(log: &Tx<ReplicationMessage>) -> bool {
    let (reply, receiver) = oneshot::channel();
    if log.send(ReplicationMessage::Status { reply }).is_err() {
        return false;
    }
    receiver.await.is_ok_and(|status| status.role == RoleName::Leader)
}
