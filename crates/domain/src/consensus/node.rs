//! The consensus core of one member.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand_core::RngCore;

use super::configuration::{Configuration, ConfigurationHistory};
use super::error::ProposeError;
use super::installing::IncomingSnapshot;
use super::leadership::Role;
use super::log::Log;
use super::message::{AppendOutcome, Envelope, Message, ReadRound};
use super::ready::{
    IssuedWrite, MemberChangeOutcome, Outbox, ReadOutcome, SnapshotWrite, WriteNumber,
};
use super::settings::ConsensusSettings;
use super::types::{
    HardState, LogIndex, LogPosition, MemberId, NodeNumber, Payload, Recovered, Snapshot, Term,
};
use crate::time::Timestamp;

/// Consensus state machine of one member.
pub struct Node {
    pub(super) identity: MemberId,
    pub(super) settings: ConsensusSettings,
    random: Box<dyn RngCore + Send>,
    pub(super) hard_state: HardState,
    pub(super) issued_hard_state: HardState,
    /// The write that persists the current term and vote.
    pub(super) term_write: WriteNumber,
    /// When the current term and vote were set.
    pub(super) term_set_at: Timestamp,
    pub(super) log: Log,
    pub(super) configurations: ConfigurationHistory,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) role: Role,
    pub(super) leader: Option<MemberId>,
    /// The leader that was followed last, and when it last sent a message.
    pub(super) last_followed: Option<MemberId>,
    pub(super) leader_last_contact: Timestamp,
    pub(super) election_due: Timestamp,
    /// When this member last asked for pre-votes.
    pub(super) pre_vote_started_at: Timestamp,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) unissued_snapshot: Option<SnapshotWrite>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) writes: VecDeque<IssuedWrite>,
    pub(super) issued: WriteNumber,
    pub(super) persisted: WriteNumber,
    pub(super) outbox: Outbox,
    pub(super) restore: Option<Snapshot>,
    pub(super) reads: Vec<ReadOutcome>,
    pub(super) member_changes: Vec<MemberChangeOutcome>,
    pub(super) storage_available: bool,
    /// Nodes whose address refuses connections, and since when.
    pub(super) refusing_since: BTreeMap<NodeNumber, Timestamp>,
    /// Whether this member is about to stop; it then starts no election.
    pub(super) stopping: bool,
    /// Whether the leader has permitted this member to stop.
    pub(super) may_stop: bool,
}

/// Role of a member, without its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Replicates the leader's log, or waits for a leader.
    Follower,
    /// Collects pre-votes before it starts an election.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Status of a member, by its own knowledge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Identity of the member.
    pub identity: MemberId,
    /// Current role.
    pub role: RoleName,
    /// Current term.
    pub term: Term,
    /// Known leader of the current term.
    pub leader: Option<MemberId>,
    /// Membership as of the member's latest entry.
    pub configuration: Configuration,
    /// Commit index.
    pub commit: LogIndex,
    /// Last entry passed to the driver to be applied.
    pub applied: LogIndex,
    /// Position of the last log entry.
    pub last: LogPosition,
}

/// What happened to a proposed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposed {
    /// Appended to the member's own log; committed once the entry at exactly this position is.
    Appended(LogPosition),
    /// Forwarded to this leader; not confirmed.
    Forwarded(MemberId),
}

impl Node {
    /// Starts a member from its persisted state.
    pub fn new(
        identity: MemberId,
        settings: ConsensusSettings,
        random: Box<dyn RngCore + Send>,
        recovered: Recovered,
        now: Timestamp,
    ) -> Self {
        let metadata = recovered.snapshot.as_ref().map(|snapshot| snapshot.metadata.clone());
        let metadata = metadata.unwrap_or_default();
        let base = metadata.position;
        let mut configurations = ConfigurationHistory::new(base.index, metadata.configuration);
        for entry in &recovered.entries {
            if let Payload::Configuration(configuration) = &entry.payload {
                configurations.push(entry.index, configuration.clone());
            }
        }
        let last = recovered.entries.last().map_or(base.index, |entry| entry.index);
        let commit = recovered.commit.min(last).max(base.index);
        let mut node = Self {
            identity,
            settings,
            random,
            hard_state: recovered.hard_state,
            issued_hard_state: recovered.hard_state,
            term_write: WriteNumber(0),
            term_set_at: now,
            log: Log::new(base, recovered.entries),
            configurations,
            commit,
            applied: base.index,
            role: Role::Follower,
            leader: None,
            last_followed: None,
            leader_last_contact: now,
            election_due: now,
            pre_vote_started_at: now,
            restore: recovered.snapshot.clone(),
            snapshot: recovered.snapshot,
            unissued_snapshot: None,
            incoming: None,
            writes: VecDeque::new(),
            issued: WriteNumber(0),
            persisted: WriteNumber(0),
            outbox: Outbox::default(),
            reads: Vec::new(),
            member_changes: Vec::new(),
            storage_available: true,
            refusing_since: BTreeMap::new(),
            stopping: false,
            may_stop: false,
        };
        let alone = node.configuration().has_quorum(|voter| voter == identity);
        if !alone {
            node.reset_election_timer(now);
        }
        node
    }

    /// Identity of this member.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Membership as of the latest entry.
    pub fn configuration(&self) -> &Configuration {
        self.configurations.current()
    }

    /// Status of this member.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            identity: self.identity,
            role: self.role_name(),
            term: self.hard_state.term,
            leader: self.leader,
            configuration: self.configuration().clone(),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
        }
    }

    /// Term of an entry, if it is in memory or is the last one before the log in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// When [`Node::tick`] is due.
    pub fn next_timer(&self) -> Timestamp {
        match &self.role {
            Role::Leader(leadership) => leadership.heartbeat_due.min(leadership.quorum_check_due),
            _ => self.election_due,
        }
    }

    /// Handles due timers.
    pub fn tick(&mut self, now: Timestamp) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_due => self.time_out(now),
            _ => {}
        }
    }

    /// Handles a received message.
    pub fn step(&mut self, now: Timestamp, envelope: Envelope) {
        if envelope.to != self.identity {
            return;
        }
        if envelope.message.is_independent_of_term() || self.check_term(now, &envelope) {
            self.handle(now, envelope);
        }
    }

    /// Bootstraps a new cluster: appends the membership as the first entry of an empty log.
    ///
    /// Only one member of a cluster may call this, once it knows that no other member has a log.
    /// No-op when the log is not empty.
    pub fn bootstrap(&mut self, now: Timestamp, configuration: Configuration) {
        if self.log.last() != LogPosition::default() || self.hard_state != HardState::default() {
            return;
        }
        let initial = Recovered::bootstrap(configuration);
        self.set_hard_state(now, initial.hard_state);
        initial.entries.into_iter().for_each(|entry| self.append_entry(entry));
        self.election_due = now;
    }

    /// Appends a command to the log, or forwards it to the leader.
    ///
    /// # Errors
    /// A [`ProposeError`] when the command was definitely not accepted.
    pub fn propose(&mut self, now: Timestamp, command: Bytes) -> Result<Proposed, ProposeError> {
        let limit = self.settings.command_bytes_limit;
        if command.len() > limit {
            return Err(ProposeError::TooLarge(command.len(), limit));
        }
        if matches!(self.role, Role::Leader(_)) {
            return self.append_command(now, command).map(Proposed::Appended);
        }
        let leader = self.leader.ok_or(ProposeError::NoLeader)?;
        self.send(leader, Message::ForwardedCommand { command });
        Ok(Proposed::Forwarded(leader))
    }

    /// Sets whether the disk accepts writes.
    ///
    /// While it does not, the member steps down if it leads, so that a member with a working disk
    /// can take over, and starts no election.
    pub fn set_storage_available(&mut self, now: Timestamp, available: bool) {
        self.storage_available = available;
        if !available && !matches!(self.role, Role::Follower) {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.configuration().voters.contains(&self.identity)
    }

    /// A random duration below `limit`.
    pub(super) fn random_duration(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.random.next_u64() % micros.max(1))
    }

    fn role_name(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate(_) => RoleName::PreCandidate,
            Role::Candidate(_) => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Compares the message's term with the member's; returns false when the message is dropped.
    fn check_term(&mut self, now: Timestamp, envelope: &Envelope) -> bool {
        let term = envelope.term;
        if term < self.hard_state.term {
            self.reject_stale_term(envelope);
            return false;
        }
        if term == self.hard_state.term {
            return true;
        }
        match envelope.message {
            Message::PreVoteRequest { .. } | Message::PreVoteResponse { granted: true } => true,
            // Leader stickiness: no vote while the current leader is known to be alive.
            Message::VoteRequest { .. } if self.has_active_leader(now) => false,
            Message::AppendRequest { .. } | Message::SnapshotRequest { .. } => {
                self.become_follower(now, term, Some(envelope.from));
                true
            }
            _ => {
                self.become_follower(now, term, None);
                true
            }
        }
    }

    fn reject_stale_term(&mut self, envelope: &Envelope) {
        let answer = match envelope.message {
            Message::PreVoteRequest { .. } => Message::PreVoteResponse { granted: false },
            Message::VoteRequest { .. } => Message::VoteResponse { granted: false },
            Message::AppendRequest { .. } | Message::SnapshotRequest { .. } => {
                let outcome = AppendOutcome::NoStatement;
                Message::AppendResponse { outcome, round: ReadRound(0) }
            }
            _ => return,
        };
        self.send(envelope.from, answer);
    }

    fn handle(&mut self, now: Timestamp, envelope: Envelope) {
        let Envelope { from, term, message, .. } = envelope;
        match message {
            Message::PreVoteRequest { last } => self.handle_pre_vote_request(now, from, term, last),
            Message::PreVoteResponse { granted } => self.handle_pre_vote(now, from, term, granted),
            Message::VoteRequest { last } => self.handle_vote_request(now, from, last),
            Message::VoteResponse { granted } => self.handle_vote(now, from, granted),
            Message::AppendRequest { previous, entries, commit, round } => {
                self.handle_append(now, from, previous, entries, commit, round);
            }
            Message::AppendResponse { outcome, round } => {
                self.handle_append_response(now, from, outcome, round);
            }
            Message::SnapshotRequest { metadata, offset, length, data } => {
                self.handle_snapshot_part(now, from, metadata, offset, length, &data);
            }
            Message::SnapshotResponse { index, received } => {
                self.handle_snapshot_response(now, from, index, received);
            }
            Message::ForwardedCommand { command } => self.handle_forwarded_command(now, command),
            Message::ReadRequest { number } => self.handle_read_request(from, number),
            Message::ReadResponse { number, index } => self.handle_read_response(number, index),
            Message::MemberChangeRequest { number, change } => {
                self.handle_member_change_request(now, from, number, change);
            }
            Message::MemberChangeResponse { number, outcome } => {
                self.member_changes.push(MemberChangeOutcome { number, result: outcome });
            }
            Message::StopRequest => self.handle_stop_request(now, from),
            Message::StopResponse => self.handle_stop_response(),
            Message::LeadershipReleased { successor } => {
                self.handle_leadership_released(now, from, successor);
            }
        }
    }
}
