//! Operators' changes whose outcome has not come yet.

use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest};
use local_sync::oneshot;

use crate::replication::ProposeError;

/// Rounds after which a change without an outcome is proposed again: one second.
const ROUNDS_UNTIL_PROPOSED_AGAIN: u32 = 4;

/// Where the outcome of a change goes.
pub type ChangeReply = oneshot::Sender<Result<ChangeOutcome, ProposeError>>;

struct WaitingChange {
    request: ChangeRequest,
    reply: ChangeReply,
    rounds: u32,
}

/// Changes whose outcome has not come yet.
#[derive(Default)]
pub struct WaitingChanges {
    changes: Vec<WaitingChange>,
}

impl WaitingChanges {
    /// An operator waits for the outcome of a change.
    pub fn add(&mut self, request: ChangeRequest, reply: ChangeReply) {
        self.changes.push(WaitingChange { request, reply, rounds: 0 });
    }

    /// Tells the outcome to all that wait for this very change. Another change under the same
    /// identity has an outcome of its own.
    pub fn answer(
        &mut self,
        request: &ChangeRequest,
        outcome: &Result<ChangeOutcome, ProposeError>,
    ) {
        for answered in self.changes.extract_if(.., |waiting| waiting.request == *request) {
            // The operator may have hung up; a resend gets the recorded outcome.
            let _ = answered.reply.send(outcome.clone());
        }
    }

    /// The changes to propose again after one more round. A command that was handed to a leader
    /// which froze or fell is lost on the way; proposed twice, it is carried out once all the same.
    pub fn round(&mut self) -> Vec<ChangeRequest> {
        self.changes.retain(|waiting| !waiting.reply.is_closed());
        let mut due = Vec::new();
        for waiting in &mut self.changes {
            waiting.rounds += 1;
            if waiting.rounds.is_multiple_of(ROUNDS_UNTIL_PROPOSED_AGAIN) {
                due.push(waiting.request.clone());
            }
        }
        due
    }
}
