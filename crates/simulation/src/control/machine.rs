//! A control machine: the core of the replicated log, its disk, the cluster's state, and the
//! feeds of the brokers that are linked to it.

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

/// Number of a control machine in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineIndex(pub usize);

/// The feed of one broker.
#[derive(Debug, Clone, Copy)]
pub struct Feed {
    /// The broker's link.
    pub link: LinkNumber,
    /// The last revision that was sent on it; none before the broker subscribed.
    pub sent: Option<Revision>,
}

/// A read that a quorum has to confirm, and who waits for it.
#[derive(Debug, Clone, Copy)]
pub enum PendingRead {
    /// A broker waits for a lease.
    Lease(BrokerIndex, LinkNumber, u64),
    /// An operator waits for the accepted revision.
    Revision(OperatorIndex),
}

/// A read that waits for its index to be applied.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmedRead {
    /// The index.
    pub index: LogIndex,
    /// The read.
    pub read: PendingRead,
}

/// What is lost when the process ends.
pub struct Process {
    /// The core.
    pub node: Node,
    /// The state as applied.
    pub state: ClusterState,
    /// Feeds by broker.
    pub feeds: BTreeMap<BrokerIndex, Feed>,
    /// Operators that wait for the outcome of a command.
    pub waiting: BTreeMap<CommandId, OperatorIndex>,
    /// Reads that are not confirmed.
    pub reads: BTreeMap<u64, PendingRead>,
    /// Reads that are confirmed but not applied.
    pub confirmed: Vec<ConfirmedRead>,
    /// Timer that is set.
    pub timer: Option<Timestamp>,
}

/// A control machine.
pub struct Machine {
    /// Its identity as a member.
    pub identity: MemberId,
    /// Its disk.
    pub disk: Disk,
    /// Its process, while it runs.
    pub process: Option<Process>,
    /// Grows with each start and end, so that events of an earlier run are told apart.
    pub run: u64,
    /// Whether it stands still.
    pub frozen: bool,
    /// What arrived while it stood still.
    pub backlog: Vec<Message>,
    /// The last write that was synced while it stood still.
    pub synced_in_freeze: Option<WriteNumber>,
    /// Number of the next read.
    pub next_read: u64,
}

impl Machine {
    /// A machine that does not run yet.
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

    /// The process, unless it stands still or does not run.
    pub fn active(&mut self) -> Option<&mut Process> {
        self.process.as_mut().filter(|_| !self.frozen)
    }

    /// Whether the process believes that it leads.
    pub fn leads(&self) -> bool {
        let process = self.process.as_ref();
        process.is_some_and(|process| process.node.status().role == RoleName::Leader)
    }

    /// The process ends; unsynced writes are lost. Gives the links that break.
    pub fn kill(&mut self) -> Vec<(BrokerIndex, LinkNumber)> {
        self.run += 1;
        self.frozen = false;
        self.backlog.clear();
        self.synced_in_freeze = None;
        self.disk.unsynced.clear();
        let feeds = self.process.take().map(|process| process.feeds).unwrap_or_default();
        feeds.into_iter().map(|(broker, feed)| (broker, feed.link)).collect()
    }

    /// Takes the number of a new read.
    pub fn take_read_number(&mut self) -> RequestNumber {
        self.next_read += 1;
        RequestNumber(self.next_read)
    }
}

/// The machine that an envelope is for.
pub fn receiver(envelope: &Envelope) -> MachineIndex {
    MachineIndex(envelope.to.node.0 as usize - 1)
}
