//! Operators' sessions: the outcome of every command, so that a resend changes nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ChangeOutcome, ChangeRefusal, ChangeRequest, CommandId, WallTime};
use crate::identifiers::SessionName;

/// Outcomes that are kept for each session; older commands are refused when they are resent.
pub const OUTCOMES_PER_SESSION: usize = 64;
/// Sessions that are kept; a further one is refused until an idle one expires.
pub const SESSION_LIMIT: usize = 16_384;
/// How long an idle session is kept. A resend that comes later counts as a new command.
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

/// All sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    sessions: BTreeMap<SessionName, Session>,
    /// Names by the time of their last command, for expiry.
    idle: BTreeSet<(WallTime, SessionName)>,
}

impl Sessions {
    /// Sessions that are kept.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// The outcome that was recorded under the identity of `request`.
    pub fn recorded(&self, request: &ChangeRequest) -> Option<ChangeOutcome> {
        let session = self.sessions.get(&request.id.session)?;
        let recorded = session.outcomes.get(&request.id.sequence)?;
        if recorded.request == *request {
            return Some(recorded.outcome.clone());
        }
        Some(ChangeOutcome::Refused(ChangeRefusal::SequenceReused(request.id.clone())))
    }

    /// Checks that a command which is not recorded may be carried out.
    ///
    /// # Errors
    /// [`ChangeRefusal::SequenceForgotten`] when a newer command was carried out, and
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

    /// Records the outcome of a command that was carried out.
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

    /// Drops sessions that were idle for [`SESSION_RETENTION`].
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
