//! Search for the leader by a process that asks to be a member: one that joins, or one that may have
//! been removed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::error::MemberChangeError;
use super::message::RequestNumber;
use super::types::{LogIndex, MemberId, NodeNumber};
use crate::time::Timestamp;

/// Time without an answer after which the next contact is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time between two requests to the same contact.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an accepted request has to take effect.
const ACCEPTED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a connection to a named leader is kept for it to be asked.
const NAMED_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of requests whose answers still count. A contact may answer only after it was asked
/// again.
const MAX_UNANSWERED: usize = 64;

/// Decides which contact is asked next.
///
/// One request is unanswered at a time. A leader that a refusal names is asked as soon as it is
/// connected; otherwise the contact that was asked least recently is next, so that no contact that
/// is gone, hangs or is cut off holds up the others.
#[derive(Debug, Default)]
pub struct LeaderSearch {
    /// When each contact was last asked.
    asked_at: BTreeMap<NodeNumber, Timestamp>,
    /// The contacts of the latest requests without an answer.
    unanswered: BTreeMap<RequestNumber, NodeNumber>,
    /// The contact whose answer is awaited.
    awaited: Option<NodeNumber>,
    /// Leaders that were named recently. Contacts may name different ones, of which some are gone.
    named: BTreeMap<NodeNumber, NamedLeader>,
    /// No contact is asked before this time.
    paused_until: Timestamp,
}

#[derive(Debug)]
struct NamedLeader {
    at: Timestamp,
    /// Whether it was asked after it was named.
    asked: bool,
}

impl LeaderSearch {
    /// The contact to ask now, by a request with this number; none while an answer is awaited or
    /// nobody is due. Numbers increase. `contacts` are the processes with a log that are connected.
    pub fn next(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        contacts: &[MemberId],
    ) -> Option<MemberId> {
        self.named.retain(|_, named| now.since(named.at) < NAMED_TIMEOUT);
        if now < self.paused_until || self.awaits_answer(now, contacts) {
            return None;
        }
        let contact = self.first_due(now, contacts)?;
        if let Some(named) = self.named.get_mut(&contact.node) {
            named.asked = true;
        }
        self.awaited = Some(contact.node);
        self.asked_at.insert(contact.node, now);
        self.unanswered.insert(number, contact.node);
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_first();
        }
        Some(contact)
    }

    /// Handles an answer, which may come late, and gives the contact that it is from; none for an
    /// answer to another request.
    pub fn answered(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        outcome: &Result<LogIndex, MemberChangeError>,
    ) -> Option<NodeNumber> {
        let contact = self.unanswered.remove(&number)?;
        if self.awaited == Some(contact) {
            self.awaited = None;
        }
        match outcome {
            Ok(_) => self.paused_until = now.after(ACCEPTED_PAUSE),
            Err(MemberChangeError::NotLeader(Some(leader))) => {
                self.note_leader(now, leader.node);
            }
            Err(MemberChangeError::NotLeader(None)) => {}
            // Only a leader checks the change.
            Err(_) => self.note_leader(now, contact),
        }
        Some(contact)
    }

    /// The leaders that were named recently, to which connections are needed.
    pub fn named_leaders(&self) -> impl Iterator<Item = NodeNumber> + '_ {
        self.named.keys().copied()
    }

    /// Ends the search: the process has a leader.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// A named leader that is yet to be asked, or else the contact asked least recently; none if that
    /// one was asked just now.
    fn first_due(&self, now: Timestamp, contacts: &[MemberId]) -> Option<MemberId> {
        let is_due = |contact: &&MemberId| {
            self.last_asked(contact.node).is_none_or(|at| now.since(at) >= RETRY_INTERVAL)
        };
        let is_unasked_leader =
            |contact: &&MemberId| self.named.get(&contact.node).is_some_and(|named| !named.asked);
        let leader = contacts.iter().find(|contact| is_unasked_leader(contact));
        let asked_first = || contacts.iter().min_by_key(|contact| self.last_asked(contact.node));
        leader.or_else(asked_first).filter(is_due).copied()
    }

    fn note_leader(&mut self, now: Timestamp, leader: NodeNumber) {
        self.named.insert(leader, NamedLeader { at: now, asked: false });
    }

    fn last_asked(&self, contact: NodeNumber) -> Option<Timestamp> {
        self.asked_at.get(&contact).copied()
    }

    fn awaits_answer(&self, now: Timestamp, contacts: &[MemberId]) -> bool {
        let awaited = self.awaited.filter(|awaited| {
            let is_connected = contacts.iter().any(|contact| contact.node == *awaited);
            let asked_at = self.last_asked(*awaited);
            is_connected && asked_at.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT)
        });
        awaited.is_some()
    }
}
