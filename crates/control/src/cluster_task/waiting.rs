//! Operators' changes whose outcome has not come yet.

use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest};
use local_sync::oneshot;

use super::proposal_rounds::ProposalRounds;
use crate::replication::ProposeError;

/// Where the outcome of a change goes.
pub type ChangeReply = oneshot::Sender<Result<ChangeOutcome, ProposeError>>;

struct WaitingChange {
    request: ChangeRequest,
    reply: ChangeReply,
    rounds: ProposalRounds,
}

/// Changes whose outcome has not come yet.
#[derive(Default)]
pub struct WaitingChanges {
    changes: Vec<WaitingChange>,
}

impl WaitingChanges {
    /// An operator waits for the outcome of a change.
    pub fn add(&mut self, request: ChangeRequest, reply: ChangeReply) {
        self.changes.push(WaitingChange { request, reply, rounds: ProposalRounds::default() });
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

    /// The changes to propose again after one more round.
    pub fn round(&mut self) -> Vec<ChangeRequest> {
        self.changes.retain(|waiting| !waiting.reply.is_closed());
        let due = self.changes.iter_mut().filter_map(|waiting| {
            let is_due = waiting.rounds.pass();
            is_due.then(|| waiting.request.clone())
        });
        due.collect()
    }
}
