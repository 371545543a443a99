//! Operators' changes that await their outcome.

use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest};
use local_sync::oneshot;

use super::proposal_retry::ProposalRetry;
use crate::replication::ProposeError;

/// Receives the outcome of a change.
pub type ChangeReply = oneshot::Sender<Result<ChangeOutcome, ProposeError>>;

struct PendingChange {
    request: ChangeRequest,
    reply: ChangeReply,
    retry: ProposalRetry,
}

/// Changes that await their outcome.
#[derive(Default)]
pub struct PendingChanges {
    changes: Vec<PendingChange>,
}

impl PendingChanges {
    /// Registers a change whose outcome an operator awaits.
    pub fn add(&mut self, request: ChangeRequest, reply: ChangeReply) {
        self.changes.push(PendingChange { request, reply, retry: ProposalRetry::default() });
    }

    /// Sends the outcome to all requesters of exactly this change. A different change with the same
    /// command id has its own outcome.
    pub fn answer(
        &mut self,
        request: &ChangeRequest,
        outcome: &Result<ChangeOutcome, ProposeError>,
    ) {
        for answered in self.changes.extract_if(.., |pending| pending.request == *request) {
            // The operator may have disconnected; a resend gets the recorded outcome.
            let _ = answered.reply.send(outcome.clone());
        }
    }

    /// Advances by one report tick and returns the changes to propose again.
    pub fn tick(&mut self) -> Vec<ChangeRequest> {
        self.changes.retain(|pending| !pending.reply.is_closed());
        let due = self.changes.iter_mut().filter_map(|pending| {
            let is_due = pending.retry.tick();
            is_due.then(|| pending.request.clone())
        });
        due.collect()
    }
}
