//! Replacements of the routes whose outcome has not come yet.

use std::sync::Arc;

use gingerkeel_domain::consensus;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteVersion};
use local_sync::oneshot;

use super::proposal_rounds::ProposalRounds;
use crate::replication::ProposeError;

/// Where the outcome of a replacement goes: the version accepted, its own or a higher one.
pub type RoutesReply = oneshot::Sender<Result<RouteVersion, ProposeError>>;

struct WaitingRoutes {
    routes: Arc<AcceptedRoutes>,
    reply: RoutesReply,
    rounds: ProposalRounds,
}

/// Replacements whose outcome has not come yet.
#[derive(Default)]
pub struct WaitingReplacements {
    waiting: Vec<WaitingRoutes>,
}

impl WaitingReplacements {
    /// An operator waits for a replacement.
    pub fn add(&mut self, routes: Arc<AcceptedRoutes>, reply: RoutesReply) {
        self.waiting.push(WaitingRoutes { routes, reply, rounds: ProposalRounds::default() });
    }

    /// Configurations up to `accepted` have been accepted or overtaken.
    pub fn accepted(&mut self, accepted: RouteVersion) {
        let due = |waiting: &mut WaitingRoutes| waiting.routes.configuration.version <= accepted;
        for answered in self.waiting.extract_if(.., due) {
            // The operator may have hung up; a resend is acknowledged as well.
            let _ = answered.reply.send(Ok(accepted));
        }
    }

    /// A replacement was not proposed. While there is no leader it waits for one, and is proposed
    /// with the next round; the operator would only ask the next process, which knows none either.
    pub fn not_proposed(&mut self, routes: &Arc<AcceptedRoutes>, error: &ProposeError) {
        let same = |waiting: &WaitingRoutes| Arc::ptr_eq(&waiting.routes, routes);
        if matches!(error, ProposeError::Refused(consensus::ProposeError::NoLeader)) {
            let waiting = self.waiting.iter_mut().find(|waiting| same(waiting));
            waiting.into_iter().for_each(|waiting| waiting.rounds.hurry());
            return;
        }
        for failed in self.waiting.extract_if(.., |waiting| same(waiting)) {
            // The operator may have hung up.
            let _ = failed.reply.send(Err(error.clone()));
        }
    }

    /// The replacements to propose again after one more round.
    pub fn round(&mut self) -> Vec<Arc<AcceptedRoutes>> {
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
        let due = self.waiting.iter_mut().filter_map(|waiting| {
            let is_due = waiting.rounds.pass();
            is_due.then(|| waiting.routes.clone())
        });
        due.collect()
    }
}
