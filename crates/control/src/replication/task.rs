//! The task that owns the core and the disk.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Entry, Envelope, LogIndex, MemberChange, MemberChangeError, MemberId, Node, NodeNumber,
    NodeStatus, Payload, Proposed, Recovered, RoleName, Snapshot,
};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::ControlSettings;
use gingerkeel_transport::Clock;
use local_sync::mpsc::unbounded::{Rx, Tx};
use local_sync::oneshot;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use monoio::time::timeout;
use rand::Rng;
use rand_pcg::Pcg64;
use tracing::{error, info, warn};

use super::ReplicationOptions;
use super::error::{ChangeError, ProposeError};
use super::membership::{FirstStep, PlannedMembers};
use super::messages::{
    MemberStatus, ReplicationMessage, ReplicationStatus, StateMachineMessage, TaskEvent,
};
use super::peers::{Directory, Links};
use super::requests::{ChangeReply, PendingRequests, ProposeReply, ReadReply};
use crate::storage::{OpenedStorage, Writer, WriterEvent, WriterMessage};

/// Time that a leader has to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Time without a leader after which a member asks whether it was taken out.
const RETURN_AFTER: Duration = Duration::from_secs(3);
/// Time between looks at what a member has to do besides.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Events that are handled together before the core's work is carried out.
const EVENT_BATCH: usize = 256;
/// Bytes of the socket that tells of the writer's events.
const WAKE_BYTES: usize = 64;

/// The task that owns the core and the disk.
pub(super) struct ReplicationTask {
    node: Node,
    clock: Clock,
    writer: Writer,
    links: Links,
    directory: Directory,
    planned: PlannedMembers,
    state_machine: Tx<StateMachineMessage>,
    requests: PendingRequests,
    /// Last command that was handed to the state machine.
    last_command: LogIndex,
    snapshot_interval: u64,
    /// What was applied when the state machine was last asked for a snapshot.
    snapshot_asked: LogIndex,
    maintenance_due: Timestamp,
    storage_error: Option<String>,
    reported: Option<(RoleName, Option<MemberId>)>,
    /// Whom to ask for a place among the members.
    join_through: Option<MemberId>,
    leaderless_since: Option<Timestamp>,
    /// Whether no more requests can come.
    ended: bool,
}

/// Tells the state machine what the log has beyond the last entry that was known to be committed.
fn tell_unconfirmed(recovered: &Recovered, state_machine: &Tx<StateMachineMessage>) {
    for entry in recovered.entries.iter().filter(|entry| entry.index > recovered.commit) {
        if let Payload::Command(command) = &entry.payload {
            let command = command.to_vec();
            // The state machine's task lives as long as the process.
            let _ = state_machine.send(StateMachineMessage::Unconfirmed { command });
        }
    }
}

impl ReplicationTask {
    pub fn new(
        settings: &ControlSettings,
        options: ReplicationOptions,
        opened: OpenedStorage,
        links: Links,
        directory: Directory,
        state_machine: Tx<StateMachineMessage>,
    ) -> io::Result<Self> {
        let clock = Clock::start();
        let identity = opened.identity;
        let random = Box::new(Pcg64::new(rand::rng().random(), rand::rng().random()));
        let now = clock.now();
        tell_unconfirmed(&opened.recovered, &state_machine);
        Ok(Self {
            node: Node::new(identity, options.consensus, random, opened.recovered, now),
            clock,
            writer: Writer::start(opened.storage)?,
            links,
            directory,
            planned: PlannedMembers::new(settings, identity),
            state_machine,
            requests: PendingRequests::default(),
            last_command: LogIndex(0),
            snapshot_interval: options.snapshot_interval,
            snapshot_asked: LogIndex(0),
            maintenance_due: now,
            storage_error: None,
            reported: None,
            join_through: None,
            leaderless_since: None,
            ended: false,
        })
    }

    pub async fn run(mut self, mut events: Rx<TaskEvent>, sender: Tx<TaskEvent>) {
        if let Some(wakes) = self.writer.wakes.take() {
            monoio::spawn(forward_wakes(wakes, sender.clone()));
        }
        loop {
            self.drive(&sender);
            let due = self.node.next_timer().min(self.maintenance_due);
            match timeout(self.clock.until(due), events.recv()).await {
                Ok(Some(event)) => self.handle(event),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..EVENT_BATCH {
                let Ok(event) = events.try_recv() else {
                    break;
                };
                self.handle(event);
            }
            if self.ended {
                info!(event = "log_closed");
                return;
            }
            self.pass_time();
        }
    }

    fn pass_time(&mut self) {
        let now = self.clock.now();
        if now >= self.node.next_timer() {
            self.node.tick(now);
        }
        if now >= self.maintenance_due {
            self.maintenance_due = now.after(MAINTENANCE_INTERVAL);
            self.requests.expire(now);
            self.maintain(now);
        }
    }

    fn handle(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Request(request) => self.handle_request(request),
            TaskEvent::RequestsEnded => self.ended = true,
            TaskEvent::Received(envelope) => self.handle_envelope(envelope),
            TaskEvent::PeerUsageReceived(peer, used) => {
                self.pass_on(peer, StateMachineMessage::PeerUsageReceived(used))
            }
            TaskEvent::PeerWarningsReceived(peer, warnings) => {
                self.pass_on(peer, StateMachineMessage::PeerWarningsReceived(warnings))
            }
            TaskEvent::PeerKnown => self.maintenance_due = self.clock.now(),
            TaskEvent::WriterWoke => self.handle_writer(),
            TaskEvent::Snapshot(snapshot) => {
                self.node.snapshot_taken(snapshot.index, Bytes::from(snapshot.bytes));
            }
        }
    }

    fn handle_envelope(&mut self, envelope: Envelope) {
        if !self.directory.is_superseded(envelope.from) {
            self.node.step(self.clock.now(), envelope);
        }
    }

    /// Passes on what a peer told past the log.
    fn pass_on(&self, peer: MemberId, told: StateMachineMessage) {
        if !self.directory.is_superseded(peer) {
            // The state machine lives as long as the process.
            let _ = self.state_machine.send(told);
        }
    }

    fn handle_request(&mut self, request: ReplicationMessage) {
        match request {
            ReplicationMessage::Propose { command, reply } => self.propose(command, reply),
            ReplicationMessage::ConfirmRead { reply } => self.confirm_read(reply),
            ReplicationMessage::ChangeMembers { change, reply } => {
                self.change_members(change, reply);
            }
            ReplicationMessage::Status { reply } => {
                // The asker may have given up.
                let _ = reply.send(self.status());
            }
            ReplicationMessage::BroadcastUsage(usage) => self.links.tell_usage(&usage),
            ReplicationMessage::BroadcastLeafWarnings(warnings) => {
                self.links.tell_warnings(&warnings)
            }
        }
    }

    fn propose(&mut self, command: Vec<u8>, reply: ProposeReply) {
        if let Some(reason) = &self.storage_error {
            let _ = reply.send(Err(ProposeError::Storage(reason.clone())));
            return;
        }
        match self.node.propose(self.clock.now(), Bytes::from(command)) {
            Ok(Proposed::Appended(position)) => self.requests.add_proposal(position, reply),
            Ok(Proposed::Forwarded(_)) => {
                let _ = reply.send(Ok(()));
            }
            Err(error) => {
                let _ = reply.send(Err(error.into()));
            }
        }
    }

    fn confirm_read(&mut self, reply: ReadReply) {
        let number = self.requests.next_number();
        match self.node.read(number) {
            Ok(()) => {
                let due = self.clock.now().after(ANSWER_LIMIT);
                self.requests.add_read(number, due, reply);
            }
            Err(error) => {
                let _ = reply.send(Err(error.into()));
            }
        }
    }

    fn change_members(&mut self, change: MemberChange, reply: ChangeReply) {
        let now = self.clock.now();
        let status = self.node.status();
        if status.role == RoleName::Leader {
            match self.node.change_members(now, change) {
                Ok(index) => self.requests.add_logged_change(index, change, reply),
                Err(error) => {
                    let _ = reply.send(Err(ChangeError::Refused(error)));
                }
            }
            return;
        }
        let Some(leader) = status.leader else {
            let refused = MemberChangeError::NotLeader(None);
            let _ = reply.send(Err(ChangeError::Refused(refused)));
            return;
        };
        let number = self.requests.next_number();
        self.node.request_member_change(leader, number, change);
        self.requests.add_asked_change(number, now.after(ANSWER_LIMIT), change, reply);
    }

    fn status(&self) -> ReplicationStatus {
        let status = self.node.status();
        let voters = status.configuration.voters.iter();
        let voters = voters.map(|member| MemberStatus { member: *member, voter: true });
        let learners = status.configuration.learners.iter();
        let learners = learners.map(|member| MemberStatus { member: *member, voter: false });
        ReplicationStatus {
            identity: status.identity,
            role: status.role,
            term: status.term,
            leader: status.leader,
            members: voters.chain(learners).collect(),
            commit: status.commit,
            applied: status.applied,
            last: status.last.index,
            storage_error: self.storage_error.clone(),
        }
    }

    fn handle_writer(&mut self) {
        while let Ok(event) = self.writer.events.try_recv() {
            let now = self.clock.now();
            match event {
                WriterEvent::Persisted(number) => {
                    if self.storage_error.take().is_some() {
                        info!(event = "storage_recovered");
                        self.node.set_storage_available(now, true);
                    }
                    self.node.persisted(now, number);
                }
                WriterEvent::Full(cause) | WriterEvent::Failed(cause) => {
                    error!(event = "storage_failed", %cause);
                    self.storage_error = Some(cause.to_string());
                    self.requests.drop_proposals();
                    self.node.set_storage_available(now, false);
                }
            }
        }
    }

    /// Peers are told that there is a log before any of its entries is acknowledged: one that has lost its disk
    /// forms a second cluster when all others say that they have none.
    fn note_log(&self) {
        if !self.directory.is_formed() && self.node.status().last.index > LogIndex(0) {
            self.directory.set_formed();
        }
    }

    /// Does what the core asks for.
    fn drive(&mut self, events: &Tx<TaskEvent>) {
        self.note_log();
        while let Some(ready) = self.node.ready() {
            if let Some(write) = ready.write {
                // A writer that failed has said so by an event.
                let _ = self.writer.messages.send(WriterMessage::Persist(write));
            }
            ready.messages.into_iter().for_each(|envelope| self.links.send(envelope));
            if let Some(snapshot) = ready.restore {
                self.restore(snapshot);
            }
            ready.committed.into_iter().for_each(|entry| self.apply(entry));
            for outcome in ready.reads {
                self.requests.read_outcome(outcome);
            }
            for outcome in ready.member_changes {
                self.joined_or_redirected(outcome.result);
                self.requests.change_outcome(outcome.number, outcome.result);
            }
            let status = self.node.status();
            self.requests.applied(status.applied, self.last_command, &status.configuration);
            self.report(&status);
            self.ask_for_snapshot(&status, events);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        let index = snapshot.index();
        self.last_command = index;
        self.snapshot_asked = index;
        self.requests.skipped_to(index);
        let snapshot = snapshot.data.to_vec();
        // The state machine's task lives as long as the process.
        let _ = self.state_machine.send(StateMachineMessage::Restore { index, snapshot });
    }

    fn apply(&mut self, entry: Entry) {
        self.requests.accepted(&entry);
        match entry.payload {
            Payload::Empty => {}
            Payload::Command(command) => {
                self.last_command = entry.index;
                let apply =
                    StateMachineMessage::Apply { index: entry.index, command: command.to_vec() };
                // As above.
                let _ = self.state_machine.send(apply);
            }
            Payload::Configuration(members) => {
                let (voters, learners) = (members.voters.len(), members.learners.len());
                info!(event = "members_changed", index = entry.index.0, voters, learners);
            }
        }
    }

    fn ask_for_snapshot(&mut self, status: &NodeStatus, events: &Tx<TaskEvent>) {
        if status.applied.0 < self.snapshot_asked.0 + self.snapshot_interval {
            return;
        }
        self.snapshot_asked = status.applied;
        let (reply, receiver) = oneshot::channel();
        // As above.
        let _ = self.state_machine.send(StateMachineMessage::TakeSnapshot { reply });
        let events = events.clone();
        monoio::spawn(async move {
            if let Ok(snapshot) = receiver.await {
                // The task may have ended with the process.
                let _ = events.send(TaskEvent::Snapshot(snapshot));
            }
        });
    }

    fn report(&mut self, status: &NodeStatus) {
        let state = Some((status.role, status.leader));
        if self.reported != state {
            self.reported = state;
            if status.role != RoleName::Leader {
                self.requests.drop_proposals();
            }
            let leader = status.leader.map_or("none".to_owned(), |leader| leader.to_string());
            let (role, term) = (status.role, status.term.0);
            info!(event = "role_changed", ?role, term, leader);
        }
    }

    /// What a member does besides: becoming one, and replacing lost data folders.
    fn maintain(&mut self, now: Timestamp) {
        self.keep_links();
        if self.node.status().last.index > LogIndex(0) {
            self.replace_lost_folders(now);
            self.grow(now);
            self.return_if_removed(now);
            return;
        }
        match self.planned.first_step(&self.directory) {
            FirstStep::Wait => {}
            FirstStep::Form(configuration) => {
                info!(event = "cluster_formed", voters = configuration.voters.len());
                self.node.bootstrap(now, configuration);
                self.node.tick(now);
            }
            FirstStep::Join(formed, change) => {
                let through = self.join_through.take().unwrap_or(formed);
                let number = self.requests.next_number();
                self.node.request_member_change(through, number, change);
            }
        }
    }

    fn replace_lost_folders(&mut self, now: Timestamp) {
        let Some(change) = self.node.due_replacement(now) else {
            return;
        };
        match self.node.change_members(now, change) {
            Ok(index) => info!(event = "folder_replaced", ?change, index = index.0),
            Err(error) => warn!(event = "folder_not_replaced_yet", ?change, %error),
        }
    }

    /// Connects to all members and seeds, and to whoever joins.
    fn keep_links(&mut self) {
        let mut nodes: BTreeSet<NodeNumber> = self.planned.voters().collect();
        nodes.extend(self.node.configuration().members().map(|member| member.node));
        nodes.extend(self.directory.known());
        self.links.keep(&nodes);
    }

    fn grow(&mut self, now: Timestamp) {
        let Some(growth) = self.planned.growth() else {
            return;
        };
        let Some(change) = self.node.due_membership_change(now, &growth) else {
            return;
        };
        match self.node.change_members(now, change) {
            Ok(index) => info!(event = "member_change", ?change, index = index.0),
            Err(error) => warn!(event = "member_not_changed_yet", ?change, %error),
        }
    }

    /// A member that has heard no leader for long may have been taken out meanwhile, as one that
    /// was lost: it asks for a place, which changes nothing when it still has one.
    fn return_if_removed(&mut self, now: Timestamp) {
        if self.planned.growth().is_none() || self.node.status().leader.is_some() {
            self.leaderless_since = None;
            return;
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if now.since(since) < RETURN_AFTER {
            return;
        }
        self.leaderless_since = Some(now);
        let Some(formed) = self.directory.any_formed() else {
            return;
        };
        let through = self.join_through.take().unwrap_or(formed);
        let number = self.requests.next_number();
        let change = MemberChange::AddLearner(self.node.identity());
        self.node.request_member_change(through, number, change);
    }

    /// The member that was asked for a place may know the leader.
    fn joined_or_redirected(&mut self, result: Result<LogIndex, MemberChangeError>) {
        if let Err(MemberChangeError::NotLeader(leader)) = result {
            self.join_through = leader;
        }
    }
}

async fn forward_wakes(wakes: std::os::unix::net::UnixStream, events: Tx<TaskEvent>) {
    let mut stream = match UnixStream::from_std(wakes) {
        Ok(stream) => stream,
        Err(cause) => {
            error!(event = "storage_not_watched", %cause);
            return;
        }
    };
    let mut buffer = vec![0; WAKE_BYTES];
    loop {
        let (result, returned) = stream.read(buffer).await;
        buffer = returned;
        let ended = !matches!(result, Ok(count) if count > 0);
        // The last wake tells of a writer that ended.
        if events.send(TaskEvent::WriterWoke).is_err() || ended {
            return;
        }
    }
}
