//! State of a simulated control machine: consensus node, disk, cluster state and broker feeds.

use std::collections::BTreeMap;

use gingerkeel_domain::cluster::{ClusterState, CommandId};
use gingerkeel_domain::consensus::{
    Envelope, LogIndex, MemberId, Node, Recovered, RequestNumber, RoleName, WriteNumber,
};
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;
use super::disk::Disk;
use super::message::{LinkNumber, Message};
use super::operator::OperatorIndex;

/// Index of a control machine in the simulated world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineIndex(pub usize);

/// Feed to a connected broker.
#[derive(Debug, Clone, Copy)]
pub struct Feed {
    /// Link of the broker.
    pub link: LinkNumber,
    /// Last revision sent. `None` before the broker subscribes.
    pub sent: Option<Revision>,
}

/// A linearizable read that awaits confirmation by a quorum.
#[derive(Debug, Clone, Copy)]
pub enum PendingRead {
    /// Lease request of a broker, with the link and the ticket.
    Lease(BrokerIndex, LinkNumber, u64),
    /// Request of an operator for the accepted revision.
    Revision(OperatorIndex),
}

/// A confirmed read that waits until its log index has been applied.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmedRead {
    /// Log index that must be applied first.
    pub index: LogIndex,
    /// The confirmed read.
    pub read: PendingRead,
}

/// Volatile state of a machine.
pub struct Process {
    /// Consensus node.
    pub node: Node,
    /// State after all applied log entries.
    pub state: ClusterState,
    /// Feeds by broker.
    pub feeds: BTreeMap<BrokerIndex, Feed>,
    /// Operators to notify of the outcome, by command.
    pub waiting: BTreeMap<CommandId, OperatorIndex>,
    /// Unconfirmed reads by request number.
    pub reads: BTreeMap<u64, PendingRead>,
    /// Confirmed reads whose log index has not been applied yet.
    pub confirmed: Vec<ConfirmedRead>,
    /// Time of the next scheduled timer event.
    pub timer: Option<Timestamp>,
}

/// A control machine with its disk and process.
pub struct Machine {
    /// Member identity in the cluster.
    pub identity: MemberId,
    /// Disk; survives the process.
    pub disk: Disk,
    /// Process, or `None` while it is down.
    pub process: Option<Process>,
    /// Incremented at each start and kill, to discard events of earlier processes.
    pub run: u64,
    /// Whether the process is paused.
    pub frozen: bool,
    /// Messages received while the process was paused.
    pub backlog: Vec<Message>,
    /// Last write synced while the process was paused.
    pub synced_in_freeze: Option<WriteNumber>,
    /// Counter of read requests.
    pub next_read: u64,
}

impl Machine {
    /// Creates a machine without a process.
    pub fn new(identity: MemberId, synced: Recovered) -> Self {
        Self {
            identity,
            disk: Disk::holding(synced),
            process: None,
            run: 0,
            frozen: false,
            backlog: Vec::new(),
            synced_in_freeze: None,
            next_read: 0,
        }
    }

    /// The process, or `None` if it is paused or down.
    pub fn active(&mut self) -> Option<&mut Process> {
        self.process.as_mut().filter(|_| !self.frozen)
    }

    /// Whether the process is in the leader role.
    pub fn leads(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.node.status().role == RoleName::Leader)
    }

    /// Kills the process and discards unsynced writes. Returns the broken links.
    pub fn kill(&mut self) -> Vec<(BrokerIndex, LinkNumber)> {
        self.run += 1;
        self.frozen = false;
        self.backlog.clear();
        self.synced_in_freeze = None;
        self.disk.unsynced.clear();
        let feeds = self.process.take().map(|process| process.feeds).unwrap_or_default();
        feeds.into_iter().map(|(broker, feed)| (broker, feed.link)).collect()
    }

    /// Returns a new read request number.
    pub fn take_read_number(&mut self) -> RequestNumber {
        self.next_read += 1;
        RequestNumber(self.next_read)
    }
}

/// Destination machine of an envelope.
pub fn receiver(envelope: &Envelope) -> MachineIndex {
    MachineIndex(envelope.to.node.0 as usize - 1)
}
