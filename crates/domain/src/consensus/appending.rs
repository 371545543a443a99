//! Log replication on a follower.

use super::message::{AppendOutcome, Message, ReadRound};
use super::node::Node;
use super::types::{Entry, LogIndex, LogPosition, MemberId, Payload};
use crate::time::Timestamp;

impl Node {
    pub(super) fn handle_append(
        &mut self,
        now: Timestamp,
        from: MemberId,
        previous: LogPosition,
        mut entries: Vec<Entry>,
        commit: LogIndex,
        round: ReadRound,
    ) {
        self.follow(now, from);
        let mut previous = previous;
        if previous.index < self.commit {
            // Committed entries always match the leader's log, so only later ones are compared.
            entries.retain(|entry| entry.index > self.commit);
            let term = self.log.term_at(self.commit).unwrap_or(previous.term);
            previous = LogPosition { term, index: self.commit };
        }
        let mut appended = false;
        let outcome = if self.log.term_at(previous.index) == Some(previous.term) {
            let matched = entries.last().map_or(previous.index, |entry| entry.index);
            appended = self.merge(entries);
            self.commit = self.commit.max(commit.min(matched));
            AppendOutcome::Accepted { matched }
        } else {
            let hint = self.conflict_hint(previous.index);
            AppendOutcome::Rejected { previous: previous.index, hint }
        };
        if !appended {
            self.acknowledge_heartbeat(from, round);
        }
        self.send(from, Message::AppendResponse { outcome, round });
    }

    /// Answers a heartbeat without waiting for the writes before it, so that a slow disk does not
    /// make the leader step down. The answer confirms no entry.
    fn acknowledge_heartbeat(&mut self, leader: MemberId, round: ReadRound) {
        if self.term_is_persisted() && !self.all_is_persisted() {
            let outcome = AppendOutcome::NoStatement;
            self.send_once_in_term(leader, Message::AppendResponse { outcome, round });
        }
    }

    /// Appends entries whose predecessor matches, replacing conflicting ones; returns whether any
    /// was appended.
    fn merge(&mut self, entries: Vec<Entry>) -> bool {
        let Some(first) = self.log.first_conflict(&entries) else {
            return false;
        };
        if first <= self.log.last().index {
            self.log.truncate_from(first);
            self.configurations.truncate_from(first);
        }
        for entry in entries.into_iter().filter(|entry| entry.index >= first) {
            self.append_entry(entry);
        }
        true
    }

    /// Appends an entry; a configuration in it is in force at once.
    pub(super) fn append_entry(&mut self, entry: Entry) {
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configurations.push(entry.index, configuration.clone());
        }
        self.log.push(entry);
    }

    /// Highest index before `rejected` at which the logs may match: the last entry of another term.
    fn conflict_hint(&self, rejected: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        if rejected > last {
            return last;
        }
        let conflict = self.log.term_at(rejected);
        let mut hint = rejected;
        while hint > self.commit && self.log.term_at(hint) == conflict {
            hint = hint.previous();
        }
        hint
    }
}
