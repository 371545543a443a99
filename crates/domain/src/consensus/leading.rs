//! Log replication on the leader.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::error::ProposeError;
use super::leadership::{Leadership, PendingReads, Role};
use super::message::{AppendOutcome, Message, ReadRound};
use super::node::Node;
use super::progress::{Progress, ProgressState};
use super::types::{Entry, LogIndex, LogPosition, MemberId, Payload};
use crate::time::Timestamp;

/// Whether an append request may be sent without entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendMode {
    /// Only when there are entries to send.
    Entries,
    /// Also without entries: as a heartbeat, or to announce a new commit index.
    Always,
}

impl Node {
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let (former_leader, last_contact) = (self.last_followed, self.leader_last_contact);
        self.leader = Some(self.identity);
        self.role = Role::Leader(Leadership {
            progress: BTreeMap::new(),
            heartbeat_due: now.after(self.settings.heartbeat_interval),
            quorum_check_due: now.after(self.settings.election_timeout),
            reads: PendingReads::default(),
        });
        self.sync_progress(now);
        if let Some(progress) = former_leader.and_then(|member| self.progress_mut(member)) {
            // Its silence has lasted since before the election.
            progress.record_durable_contact(last_contact);
        }
        self.append_payload(Payload::Empty);
        self.broadcast(AppendMode::Always);
        self.advance_commit(now);
    }

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now >= leadership.quorum_check_due {
            leadership.quorum_check_due = now.after(self.settings.election_timeout);
            if !self.quorum_is_alive(now) {
                self.become_follower(now, self.hard_state.term, None);
                return;
            }
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now >= leadership.heartbeat_due {
            leadership.heartbeat_due = now.after(self.settings.heartbeat_interval);
            leadership.progress.values_mut().for_each(Progress::retry_probe);
            self.broadcast(AppendMode::Always);
            self.resend_snapshots();
        }
    }

    /// Whether a quorum of voters responded within the election timeout.
    fn quorum_is_alive(&self, now: Timestamp) -> bool {
        let timeout = self.settings.election_timeout;
        self.configuration().has_quorum(|voter| {
            voter == self.identity
                || self.progress(voter).is_some_and(|progress| progress.is_alive(now, timeout))
        })
    }

    /// Whether a member responded within the election timeout with its writes on disk.
    pub(super) fn is_active(&self, now: Timestamp, member: MemberId) -> bool {
        member == self.identity
            || self
                .progress(member)
                .is_some_and(|progress| progress.is_active(now, self.settings.election_timeout))
    }

    pub(super) fn progress(&self, member: MemberId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(leadership) => leadership.progress.get(&member),
            _ => None,
        }
    }

    pub(super) fn progress_mut(&mut self, member: MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(&member),
            _ => None,
        }
    }

    pub(super) fn append_command(
        &mut self,
        now: Timestamp,
        command: Bytes,
    ) -> Result<LogPosition, ProposeError> {
        let waiting = self.log.last().index.0 - self.commit.0;
        if waiting >= self.settings.uncommitted_entries_limit {
            return Err(ProposeError::Overloaded);
        }
        let position = self.append_payload(Payload::Command(command));
        self.broadcast(AppendMode::Entries);
        self.advance_commit(now);
        Ok(position)
    }

    pub(super) fn handle_forwarded_command(&mut self, now: Timestamp, command: Bytes) {
        let fits = command.len() <= self.settings.command_bytes_limit;
        if fits && matches!(self.role, Role::Leader(_)) {
            // A rejected command counts as lost in transit; the sender retries it.
            let _ = self.append_command(now, command);
        }
    }

    pub(super) fn append_payload(&mut self, payload: Payload) -> LogPosition {
        let index = self.log.last().index.next();
        let entry = Entry { term: self.hard_state.term, index, payload };
        let position = entry.position();
        self.append_entry(entry);
        position
    }

    pub(super) fn broadcast(&mut self, mode: AppendMode) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let members: Vec<MemberId> = leadership.progress.keys().copied().collect();
        for member in members {
            self.send_append(member, mode);
        }
    }

    pub(super) fn send_append(&mut self, to: MemberId, mode: AppendMode) {
        let base = self.log.base().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.reads.latest;
        let Some(progress) = leadership.progress.get_mut(&to) else {
            return;
        };
        let paused = progress.is_paused(self.settings.append_in_flight);
        if paused && mode == AppendMode::Entries {
            return;
        }
        let in_snapshot = matches!(progress.state, ProgressState::Snapshot(_));
        if !in_snapshot && progress.next <= base {
            self.start_snapshot_transfer(to);
            return;
        }
        // A member that receives a snapshot has no preceding entry to compare.
        let before = if in_snapshot { LogIndex(0) } else { progress.next.previous() };
        let term = if in_snapshot { None } else { self.log.term_at(before) };
        let previous = LogPosition { term: term.unwrap_or_default(), index: before };
        let entries = match paused {
            true => Vec::new(),
            false => self.log.slice(progress.next, self.settings.append_bytes),
        };
        if entries.is_empty() && mode == AppendMode::Entries {
            return;
        }
        progress.sent(&entries);
        let commit = self.commit;
        self.send_once_in_term(to, Message::AppendRequest { previous, entries, commit, round });
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Timestamp,
        from: MemberId,
        outcome: AppendOutcome,
        round: ReadRound,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        match outcome {
            AppendOutcome::NoStatement => progress.last_contact = now,
            _ => progress.record_durable_contact(now),
        }
        progress.confirmed_round = progress.confirmed_round.max(round);
        match outcome {
            AppendOutcome::Accepted { matched } => {
                if progress.accepted(matched) {
                    self.advance_commit(now);
                }
                self.send_entries(from);
            }
            AppendOutcome::Rejected { previous, hint } => {
                if progress.rejected(previous, hint) {
                    self.send_append(from, AppendMode::Always);
                }
            }
            AppendOutcome::NoStatement => {}
        }
        self.confirm_reads();
    }

    /// Sends entries until none is left or the limit of requests in flight is reached.
    fn send_entries(&mut self, to: MemberId) {
        let limit = self.settings.append_in_flight;
        let last = self.log.last().index;
        while let Some(progress) = self.progress(to) {
            if progress.is_paused(limit) || progress.next > last {
                return;
            }
            self.send_append(to, AppendMode::Entries);
        }
    }

    /// Advances the commit index to what a quorum has on disk, if that entry is of this term.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let matched = self.quorum_matched(leadership);
        if matched <= self.commit || self.log.term_at(matched) != Some(self.hard_state.term) {
            return;
        }
        self.commit = matched;
        self.broadcast(AppendMode::Always);
        self.start_read_round();
        self.step_down_if_removed(now);
    }

    /// Last entry that a quorum of voters has on disk, counting this member's persisted log.
    fn quorum_matched(&self, leadership: &Leadership) -> LogIndex {
        let configuration = self.configuration();
        let mut matched: Vec<LogIndex> = configuration
            .voters
            .iter()
            .map(|voter| match leadership.progress.get(voter) {
                Some(progress) => progress.matched,
                None if *voter == self.identity => self.log.persisted(),
                None => LogIndex(0),
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        matched.get(configuration.quorum() - 1).copied().unwrap_or_default()
    }

    /// Hands over the leadership if a committed change removed this leader from the voters.
    fn step_down_if_removed(&mut self, now: Timestamp) {
        if self.membership_is_committed() && !self.is_voter() {
            self.hand_over_leadership(now);
            self.may_stop = self.stopping;
        }
    }

    /// Tracks progress for exactly the other members of the current configuration.
    pub(super) fn sync_progress(&mut self, now: Timestamp) {
        let configuration = self.configurations.current();
        let next = self.log.last().index.next();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.progress.retain(|member, _| configuration.contains(*member));
        for member in configuration.members().filter(|member| *member != self.identity) {
            leadership.progress.entry(member).or_insert_with(|| Progress::new(next, now));
        }
    }
}
