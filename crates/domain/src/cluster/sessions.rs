//! Operator sessions: recorded outcomes that make resent commands idempotent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ChangeOutcome, ChangeRefusal, ChangeRequest, CommandId, WallTime};
use crate::identifiers::SessionName;

/// Maximum outcomes kept per session; resends of older commands are refused.
pub const OUTCOMES_PER_SESSION: usize = 64;
/// Maximum sessions kept; a further one is refused until an idle session expires.
pub const SESSION_LIMIT: usize = 16_384;
/// Time for which an idle session is kept; a later resend counts as a new command.
pub const SESSION_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Recorded {
    request: ChangeRequest,
    outcome: ChangeOutcome,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    last_used: WallTime,
    highest: u64,
    outcomes: BTreeMap<u64, Recorded>,
}

/// Recorded outcomes of all operator sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    sessions: BTreeMap<SessionName, Session>,
    /// Sessions ordered by the time of their last command, for expiry.
    idle: BTreeSet<(WallTime, SessionName)>,
}

impl Sessions {
    /// Number of sessions kept.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// Recorded outcome of `request`, or a refusal if its id was used for a different command.
    pub fn recorded(&self, request: &ChangeRequest) -> Option<ChangeOutcome> {
        let session = self.sessions.get(&request.id.session)?;
        let recorded = session.outcomes.get(&request.id.sequence)?;
        if recorded.request == *request {
            return Some(recorded.outcome.clone());
        }
        Some(ChangeOutcome::Refused(ChangeRefusal::SequenceReused(request.id.clone())))
    }

    /// Checks whether a command without a recorded outcome may be executed.
    ///
    /// # Errors
    /// [`ChangeRefusal::SequenceForgotten`] when a newer command was executed, and
    /// [`ChangeRefusal::TooManySessions`] when no session can be added.
    pub fn admit(&self, id: &CommandId) -> Result<(), ChangeRefusal> {
        match self.sessions.get(&id.session) {
            Some(session) if id.sequence <= session.highest => {
                Err(ChangeRefusal::SequenceForgotten(id.clone()))
            }
            None if self.sessions.len() >= SESSION_LIMIT => {
                Err(ChangeRefusal::TooManySessions(SESSION_LIMIT as u64))
            }
            _ => Ok(()),
        }
    }

    /// Records the outcome of an executed command.
    pub fn record(&mut self, now: WallTime, request: &ChangeRequest, outcome: &ChangeOutcome) {
        let name = &request.id.session;
        let session = self.sessions.entry(name.clone()).or_default();
        self.idle.remove(&(session.last_used, name.clone()));
        self.idle.insert((now, name.clone()));
        session.last_used = now;
        session.highest = request.id.sequence;
        let recorded = Recorded { request: request.clone(), outcome: outcome.clone() };
        session.outcomes.insert(request.id.sequence, recorded);
        while session.outcomes.len() > OUTCOMES_PER_SESSION {
            session.outcomes.pop_first();
        }
    }

    /// Drops sessions idle for [`SESSION_RETENTION`].
    pub fn expire(&mut self, now: WallTime) {
        while let Some((last_used, _)) = self.idle.first() {
            if now.since(*last_used) < SESSION_RETENTION {
                return;
            }
            if let Some((_, name)) = self.idle.pop_first() {
                self.sessions.remove(&name);
            }
        }
    }
}
