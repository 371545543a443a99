//! Safety invariants, checked independently of the implementation.

use std::collections::BTreeMap;

use gingerkeel_domain::consensus::{
    Entry, LogIndex, LogPosition, MemberId, Node, Payload, RoleName, Term, Write,
};

/// An entry of some log and the term of the one before it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LoggedEntry {
    payload: Payload,
    previous: Option<Term>,
}

/// Observes all members and records the first violation.
#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, MemberId>,
    logged: BTreeMap<LogPosition, LoggedEntry>,
    applied: BTreeMap<LogIndex, Entry>,
    highest_commit: LogIndex,
    violation: Option<String>,
    pub reads_checked: usize,
}

impl Checker {
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    pub fn violated(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// The last entry that any member knew to be committed.
    pub fn highest_commit(&self) -> LogIndex {
        self.highest_commit
    }

    pub fn applied_entries(&self) -> impl Iterator<Item = &Entry> {
        self.applied.values()
    }

    /// Election safety and leader completeness.
    pub fn see_node(&mut self, node: &Node) {
        let status = node.status();
        self.highest_commit = self.highest_commit.max(status.commit);
        if status.role != RoleName::Leader {
            return;
        }
        match self.leaders.insert(status.term, status.identity) {
            Some(other) if other != status.identity => {
                let (term, identity) = (status.term, status.identity);
                self.violated(format!("term {term} has the leaders {other} and {identity}"));
            }
            Some(_) => {}
            None => self.see_new_leader(node),
        }
    }

    fn see_new_leader(&mut self, node: &Node) {
        let last = node.status().last.index;
        // A late vote may elect a leader of an earlier term than that of a committed entry.
        let leader_term = node.status().term;
        let mut required = self.applied.values().filter(|entry| entry.term <= leader_term);
        let lost = required.find(|entry| {
            let term = node.term_at(entry.index);
            entry.index > last || term.is_some_and(|term| term != entry.term)
        });
        if let Some(entry) = lost {
            let position = entry.position();
            self.violated(format!("leader {} lacks {position:?}", node.identity()));
        }
    }

    /// Log matching: an entry and all before it are the same in all logs that hold it.
    pub fn see_write(&mut self, node: &Node, write: &Write) {
        for entry in &write.entries {
            let previous = node.term_at(entry.index.previous());
            let logged = LoggedEntry { payload: entry.payload.clone(), previous };
            let known = self.logged.entry(entry.position()).or_insert_with(|| logged.clone());
            let same_previous = known.previous.is_none()
                || logged.previous.is_none()
                || known.previous == logged.previous;
            if known.payload != logged.payload || !same_previous {
                let position = entry.position();
                self.violated(format!("logs differ at {position:?}"));
            }
        }
    }

    /// State machine safety: all apply the same entry at an index.
    pub fn see_applied(&mut self, member: MemberId, entry: &Entry) {
        let known = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        if known != entry {
            let index = entry.index;
            self.violated(format!("{member} applied another entry at {index}"));
        }
    }

    /// A read must see all that was committed when it began.
    pub fn see_read(&mut self, member: MemberId, committed: LogIndex, index: LogIndex) {
        self.reads_checked += 1;
        if index < committed {
            self.violated(format!("{member} read at {index} after {committed} was committed"));
        }
    }
}
