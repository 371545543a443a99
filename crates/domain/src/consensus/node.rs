//! One member of the cluster.

use std::collections::VecDeque;

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
    HardState, LogIndex, LogPosition, MemberId, Payload, Recovered, Snapshot, Term,
};
use crate::time::Timestamp;

/// The core of one member.
pub struct Node {
    pub(super) identity: MemberId,
    pub(super) settings: ConsensusSettings,
    random: Box<dyn RngCore + Send>,
    pub(super) hard_state: HardState,
    pub(super) issued_hard_state: HardState,
    /// The write that holds the current term.
    pub(super) term_write: WriteNumber,
    pub(super) log: Log,
    pub(super) configurations: ConfigurationHistory,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) role: Role,
    pub(super) leader: Option<MemberId>,
    /// When the current leader was last heard from.
    pub(super) leader_heard: Timestamp,
    pub(super) election_due: Timestamp,
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
}

/// Name of a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would get votes.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A member as it sees itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The member.
    pub identity: MemberId,
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<MemberId>,
    /// The members that it knows.
    pub configuration: Configuration,
    /// Last entry that it knows to be committed.
    pub commit: LogIndex,
    /// Last entry that was handed out to be applied.
    pub applied: LogIndex,
    /// Last entry of its log.
    pub last: LogPosition,
}

/// Where a proposed command went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposed {
    /// Into the own log; committed once an entry of this very position is.
    Appended(LogPosition),
    /// To the leader.
    Forwarded(MemberId),
}

impl Node {
    /// A member that starts from what is on its disk.
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
            log: Log::new(base, recovered.entries),
            configurations,
            commit,
            applied: base.index,
            role: Role::Follower,
            leader: None,
            leader_heard: now,
            election_due: now,
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
        };
        let alone = node.configuration().has_quorum(|voter| voter == identity);
        if !alone {
            node.reset_election_timer(now);
        }
        node
    }

    /// The member itself.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// The members, as of the latest entry.
    pub fn configuration(&self) -> &Configuration {
        self.configurations.current()
    }

    /// The member as it sees itself.
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

    /// The term of an entry, if the entry is in memory or the last that the log lacks.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_due => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// A message arrived.
    pub fn step(&mut self, now: Timestamp, envelope: Envelope) {
        if envelope.to != self.identity {
            return;
        }
        if envelope.message.is_independent_of_term() || self.admit_term(now, &envelope) {
            self.handle(now, envelope);
        }
    }

    /// Forms a new cluster: the members become the first entry of an empty log.
    ///
    /// Only one member of a cluster may do so, once it knows that no other has a log. Without
    /// effect when the log is not empty.
    pub fn bootstrap(&mut self, now: Timestamp, configuration: Configuration) {
        if self.log.last() != LogPosition::default() || self.hard_state != HardState::default() {
            return;
        }
        let formed = Recovered::bootstrap(configuration);
        self.set_hard_state(formed.hard_state);
        formed.entries.into_iter().for_each(|entry| self.append_entry(entry));
        self.election_due = now;
    }

    /// Puts a command into the log, or hands it to the leader.
    ///
    /// # Errors
    /// A [`ProposeError`] when the command was certainly not taken.
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

    /// Tells whether the disk takes writes.
    ///
    /// Without it a leader gives up its office, so that a member with room can lead, and the
    /// member does not stand for election.
    pub fn set_storage_available(&mut self, now: Timestamp, available: bool) {
        self.storage_available = available;
        if !available && !matches!(self.role, Role::Follower) {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.configuration().voters.contains(&self.identity)
    }

    pub(super) fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    fn role_name(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate(_) => RoleName::PreCandidate,
            Role::Candidate(_) => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Compares terms; false when the message is of no further use.
    fn admit_term(&mut self, now: Timestamp, envelope: &Envelope) -> bool {
        let term = envelope.term;
        if term < self.hard_state.term {
            self.answer_stale(envelope);
            return false;
        }
        if term == self.hard_state.term {
            return true;
        }
        match envelope.message {
            Message::PreVoteRequest { .. } | Message::PreVoteResponse { granted: true } => true,
            // A voter that hears from a leader does not help to depose it.
            Message::VoteRequest { .. } if self.hears_leader(now) => false,
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

    fn answer_stale(&mut self, envelope: &Envelope) {
        let answer = match envelope.message {
            Message::PreVoteRequest { .. } => Message::PreVoteResponse { granted: false },
            Message::VoteRequest { .. } => Message::VoteResponse { granted: false },
            Message::AppendRequest { .. } | Message::SnapshotRequest { .. } => {
                let outcome = AppendOutcome::StaleTerm;
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
        }
    }
}
