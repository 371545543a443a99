//! The task that drives the consensus core, its disk and its peers.

mod maintenance;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Entry, Envelope, Incarnation, LeaderSearch, LogIndex, MemberChange, MemberChangeError,
    MemberId, Message, Node, NodeNumber, NodeStatus, Payload, Proposed, Recovered, RoleName,
    Snapshot,
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

use super::error::{ChangeError, ProposeError};
use super::membership::ConfiguredMembers;
use super::messages::{
    MemberStatus, ReplicationMessage, ReplicationStatus, StateMachineMessage, TaskEvent,
};
use super::peers::{Links, PeerDirectory};
use super::requests::{ChangeReply, PendingRequests, ProposeReply, ReadReply};
use super::{ReplicationOptions, SNAPSHOT_COMMAND_BYTES, identity_renewal, new_incarnation};
use crate::storage::{OpenedStorage, Writer, WriterEvent, WriterMessage};

/// Time limit for a leader's answer to a read or a membership change.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of membership maintenance and of request expiry.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// The same while this process asks the leader to permit its stop, or to be a member.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of events that are handled before the core's output is processed.
const EVENT_BATCH: usize = 256;
/// Size of the buffer for the writer's wake-up bytes, whose number has no meaning.
const WAKE_BUFFER_BYTES: usize = 64;

/// State of the task that owns the consensus core and the storage writer.
pub(super) struct ReplicationTask {
    node: Node,
    options: ReplicationOptions,
    /// Whether another identity is being written to the folder.
    is_renewing: bool,
    clock: Clock,
    writer: Writer,
    links: Links,
    directory: PeerDirectory,
    planned: ConfiguredMembers,
    state_machine: Tx<StateMachineMessage>,
    requests: PendingRequests,
    /// Index of the last command that was passed to the state machine.
    last_command: LogIndex,
    /// Applied index at the last snapshot request.
    snapshot_asked: LogIndex,
    /// Bytes of the commands applied since then.
    applied_bytes: usize,
    /// Size in bytes of the latest snapshot.
    snapshot_bytes: usize,
    maintenance_due: Timestamp,
    storage_error: Option<String>,
    logged_role: Option<(RoleName, Option<MemberId>)>,
    leader_search: LeaderSearch,
    /// The processes through which the leader is searched. They may change while the process runs,
    /// unlike the planned voters, which form the cluster.
    seeds: BTreeSet<NodeNumber>,
    leaderless_since: Option<Timestamp>,
    /// Whether this process asks to be a member.
    is_searching: bool,
    /// The last refusal that was logged of each contact; none before its first answer.
    logged_join_answers: BTreeMap<NodeNumber, Option<MemberChangeError>>,
    seeds_unreached_since: Option<Timestamp>,
    seeds_logged: bool,
    /// Requesters that wait until this process may end.
    stops: Vec<oneshot::Sender<()>>,
    /// Whether all senders of requests were dropped.
    ended: bool,
}

fn new_node(
    identity: MemberId,
    options: ReplicationOptions,
    recovered: Recovered,
    now: Timestamp,
) -> Node {
    let random = Box::new(Pcg64::new(rand::rng().random(), rand::rng().random()));
    Node::new(identity, options.consensus, random, recovered, now)
}

/// Sends the state machine the recovered commands beyond the last known commit index.
fn forward_unconfirmed(recovered: &Recovered, state_machine: &Tx<StateMachineMessage>) {
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
        directory: PeerDirectory,
        state_machine: Tx<StateMachineMessage>,
    ) -> io::Result<Self> {
        let clock = Clock::start();
        let identity = opened.identity;
        let now = clock.now();
        forward_unconfirmed(&opened.recovered, &state_machine);
        let planned = ConfiguredMembers::new(settings, identity.node);
        let seeds = planned.voters().collect();
        Ok(Self {
            node: new_node(identity, options, opened.recovered, now),
            options,
            is_renewing: false,
            clock,
            writer: Writer::start(opened.storage)?,
            links,
            directory,
            planned,
            state_machine,
            requests: PendingRequests::default(),
            last_command: LogIndex(0),
            snapshot_asked: LogIndex(0),
            applied_bytes: 0,
            snapshot_bytes: 0,
            maintenance_due: now,
            storage_error: None,
            logged_role: None,
            leader_search: LeaderSearch::default(),
            seeds,
            leaderless_since: None,
            is_searching: false,
            logged_join_answers: BTreeMap::new(),
            seeds_unreached_since: None,
            seeds_logged: false,
            stops: Vec::new(),
            ended: false,
        })
    }

    pub async fn run(mut self, mut events: Rx<TaskEvent>, sender: Tx<TaskEvent>) {
        if let Some(wakes) = self.writer.wakes.take() {
            monoio::spawn(forward_wakes(wakes, sender.clone()));
        }
        loop {
            self.process_ready(&sender);
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
            self.run_timers();
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        if now >= self.node.next_timer() {
            self.node.tick(now);
        }
        if now >= self.maintenance_due {
            self.maintenance_due = now.after(self.maintenance_interval());
            self.requests.expire(now);
            self.maintain(now);
        }
    }

    fn maintenance_interval(&self) -> Duration {
        match self.stops.is_empty() && !self.is_searching {
            true => MAINTENANCE_INTERVAL,
            false => REQUEST_INTERVAL,
        }
    }

    fn handle(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Request(request) => self.handle_request(request),
            TaskEvent::RequestsEnded => self.ended = true,
            TaskEvent::Received(envelope) => self.handle_envelope(envelope),
            TaskEvent::PeerUsageReceived(peer, used) => {
                self.forward_to_state_machine(peer, StateMachineMessage::PeerUsageReceived(used))
            }
            TaskEvent::PeerWarningsReceived(peer, warnings) => self.forward_to_state_machine(
                peer,
                StateMachineMessage::PeerWarningsReceived(warnings),
            ),
            TaskEvent::PeerIdentified => self.maintenance_due = self.clock.now(),
            TaskEvent::Superseded(later) => self.renew_identity(later),
            TaskEvent::PeerConnected(node) => self.handle_reachability(node, false),
            TaskEvent::PeerRefusing(node) => self.handle_reachability(node, true),
            TaskEvent::WriterSignaled => self.handle_writer(),
            TaskEvent::Snapshot(snapshot) => {
                self.snapshot_bytes = snapshot.bytes.len();
                self.node.snapshot_taken(snapshot.index, Bytes::from(snapshot.bytes));
            }
        }
    }

    fn handle_reachability(&mut self, node: NodeNumber, refusing: bool) {
        let now = self.clock.now();
        self.node.set_refusing(now, node, refusing);
        // A membership change may be due.
        self.maintenance_due = now;
    }

    fn handle_envelope(&mut self, envelope: Envelope) {
        if !self.directory.is_superseded(envelope.from) {
            if matches!(envelope.message, Message::StopRequest) {
                // The membership changes that the stop requires, or its permission, may be due.
                self.maintenance_due = self.clock.now();
            }
            self.node.step(self.clock.now(), envelope);
        }
    }

    /// Forwards a message that a peer sent outside the log, unless a newer incarnation of it is
    /// known.
    fn forward_to_state_machine(&self, peer: MemberId, message: StateMachineMessage) {
        if !self.directory.is_superseded(peer) {
            // The state machine's task lives as long as the process.
            let _ = self.state_machine.send(message);
        }
    }

    fn handle_request(&mut self, request: ReplicationMessage) {
        match request {
            ReplicationMessage::Propose { command, reply } => self.propose(command, reply),
            ReplicationMessage::ConfirmRead { reply } => self.confirm_read(reply),
            ReplicationMessage::ChangeMembers { change, reply } => {
                self.change_members(change, reply);
            }
            ReplicationMessage::PrepareStop { reply } => {
                self.stops.push(reply);
                self.maintenance_due = self.clock.now();
            }
            ReplicationMessage::Status { reply } => {
                // The requester may have given up.
                let _ = reply.send(self.status());
            }
            ReplicationMessage::UseSeeds(seeds) => {
                self.seeds = seeds.into_iter().collect();
                self.maintenance_due = self.clock.now();
            }
            ReplicationMessage::BroadcastUsage(usage) => self.links.broadcast_usage(&usage),
            ReplicationMessage::BroadcastLeafWarnings(warnings) => {
                self.links.broadcast_warnings(&warnings)
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
                let due = self.clock.now().after(LEADER_ANSWER_TIMEOUT);
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
        self.requests.add_unanswered_change(
            number,
            now.after(LEADER_ANSWER_TIMEOUT),
            change,
            reply,
        );
    }

    fn status(&self) -> ReplicationStatus {
        let now = self.clock.now();
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
            contacts: self.node.contacts(now),
            voters_without_answer: self.node.voters_without_answer(),
            leader_silent_for: self.node.leader_silent_for(now),
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
                WriterEvent::IdentityReplaced(identity) => self.adopt_identity(identity),
                WriterEvent::IdentityKept(error) => {
                    warn!(event = "identity_not_renewed", %error);
                    self.is_renewing = false;
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

    /// Draws a higher incarnation for a folder without a log. Until it is durable the process goes on
    /// under its present identity, which peers refuse.
    fn renew_identity(&mut self, later: Incarnation) {
        let renewed = identity_renewal::renewed(&self.node.status(), later, new_incarnation());
        if let Some(identity) = renewed.filter(|_| !self.is_renewing) {
            self.is_renewing = true;
            // A writer that failed has sent an event.
            let _ = self.writer.messages.send(WriterMessage::ReplaceIdentity(identity));
        }
    }

    fn adopt_identity(&mut self, identity: MemberId) {
        info!(event = "identity_renewed", former = %self.node.identity(), member = %identity);
        self.is_renewing = false;
        let now = self.clock.now();
        self.node = new_node(identity, self.options, Recovered::default(), now);
        self.directory.set_own(identity);
        self.maintenance_due = now;
    }

    /// Reports to peers that this log has entries, before any of them is acknowledged. A peer that
    /// lost its disk would form a second cluster if all others still reported empty logs.
    fn mark_formed(&self) {
        if !self.directory.is_formed() && self.node.status().last.index > LogIndex(0) {
            self.directory.set_formed();
        }
    }

    /// Processes the core's output: writes, messages, committed entries and answers.
    fn process_ready(&mut self, events: &Tx<TaskEvent>) {
        self.mark_formed();
        while let Some(ready) = self.node.ready() {
            if let Some(write) = ready.write {
                // A writer that failed has sent an event.
                let _ = self.writer.messages.send(WriterMessage::Persist(write));
            }
            ready.messages.into_iter().for_each(|envelope| self.links.send(envelope));
            if let Some(snapshot) = ready.restore {
                self.restore(snapshot);
            }
            ready.committed.into_iter().for_each(|entry| self.apply(entry));
            for outcome in ready.reads {
                self.requests.resolve_read(outcome);
            }
            for outcome in ready.member_changes {
                self.note_join_answer(&outcome);
                self.requests.resolve_change(outcome.number, outcome.result);
            }
            let status = self.node.status();
            self.requests.applied(status.applied, self.last_command, &status.configuration);
            self.log_role_change(&status);
            self.ask_for_snapshot(&status, events);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        let index = snapshot.index();
        self.last_command = index;
        self.snapshot_asked = index;
        self.applied_bytes = 0;
        self.snapshot_bytes = snapshot.data.len();
        self.requests.drop_covered(index);
        let snapshot = snapshot.data.to_vec();
        // The state machine's task lives as long as the process.
        let _ = self.state_machine.send(StateMachineMessage::Restore { index, snapshot });
    }

    fn apply(&mut self, entry: Entry) {
        self.requests.committed(&entry);
        match entry.payload {
            // The first entry of a leader's term; membership changes may be due from now on.
            Payload::Empty => self.maintenance_due = self.clock.now(),
            Payload::Command(command) => {
                self.last_command = entry.index;
                self.applied_bytes += command.len();
                let apply =
                    StateMachineMessage::Apply { index: entry.index, command: command.to_vec() };
                // The state machine's task lives as long as the process.
                let _ = self.state_machine.send(apply);
            }
            Payload::Configuration(members) => {
                let (voters, learners) = (members.voters.len(), members.learners.len());
                let (voter_names, learner_names) =
                    (names(&members.voters), names(&members.learners));
                info!(
                    event = "members_changed",
                    index = entry.index.0,
                    voters,
                    learners,
                    voter_names,
                    learner_names
                );
                // The next step of a replacement may be due.
                self.maintenance_due = self.clock.now();
            }
        }
    }

    fn ask_for_snapshot(&mut self, status: &NodeStatus, events: &Tx<TaskEvent>) {
        let entries = status.applied.0 - self.snapshot_asked.0.min(status.applied.0);
        let is_large = self.applied_bytes >= SNAPSHOT_COMMAND_BYTES.max(self.snapshot_bytes);
        if entries < self.options.snapshot_interval && !is_large {
            return;
        }
        self.snapshot_asked = status.applied;
        self.applied_bytes = 0;
        let (reply, receiver) = oneshot::channel();
        // The state machine's task lives as long as the process.
        let _ = self.state_machine.send(StateMachineMessage::TakeSnapshot { reply });
        let events = events.clone();
        monoio::spawn(async move {
            if let Ok(snapshot) = receiver.await {
                // The task may have ended with the process.
                let _ = events.send(TaskEvent::Snapshot(snapshot));
            }
        });
    }

    fn log_role_change(&mut self, status: &NodeStatus) {
        let state = Some((status.role, status.leader));
        if self.logged_role != state {
            self.logged_role = state;
            if status.role != RoleName::Leader {
                self.requests.drop_proposals();
            }
            let leader = status.leader.map_or("none".to_owned(), |leader| leader.to_string());
            let (role, term) = (status.role, status.term.0);
            let (last, commit) = (status.last.index.0, status.commit.0);
            let voters = names(&status.configuration.voters);
            info!(event = "role_changed", ?role, term, leader, last, commit, voters);
        }
    }
}

/// Members in one field of a log line.
fn names(members: &BTreeSet<MemberId>) -> String {
    let names: Vec<String> = members.iter().map(ToString::to_string).collect();
    names.join(",")
}

async fn forward_wakes(wakes: std::os::unix::net::UnixStream, events: Tx<TaskEvent>) {
    let mut stream = match UnixStream::from_std(wakes) {
        Ok(stream) => stream,
        Err(cause) => {
            error!(event = "storage_not_watched", %cause);
            return;
        }
    };
    let mut buffer = vec![0; WAKE_BUFFER_BYTES];
    loop {
        let (result, returned) = stream.read(buffer).await;
        buffer = returned;
        let ended = !matches!(result, Ok(count) if count > 0);
        // The final wake-up lets the task drain the events of a writer that ended.
        if events.send(TaskEvent::WriterSignaled).is_err() || ended {
            return;
        }
    }
}
