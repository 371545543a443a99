//! Replacements of the route configuration that await their outcome.

use std::sync::Arc;

use gingerkeel_domain::consensus;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteVersion};
use local_sync::oneshot;
use tracing::info;

use super::proposal_retry::ProposalRetry;
use crate::replication::ProposeError;

/// Receives the accepted version: that of the replacement or a higher one.
pub type RoutesReply = oneshot::Sender<Result<RouteVersion, ProposeError>>;

struct PendingReplacement {
    routes: Arc<AcceptedRoutes>,
    reply: RoutesReply,
    retry: ProposalRetry,
    /// Whether the log tells that a proposal failed.
    is_failure_logged: bool,
}

impl PendingReplacement {
    /// Logs the first failure; while the call waits, `call_waiting` tells the rest.
    fn log_failure(&mut self, error: &ProposeError) {
        if !std::mem::replace(&mut self.is_failure_logged, true) {
            let version = self.routes.configuration.version.0;
            info!(event = "routes_not_proposed", version, %error);
        }
    }
}

/// Replacements that await their outcome.
#[derive(Default)]
pub struct PendingRoutes {
    pending: Vec<PendingReplacement>,
}

impl PendingRoutes {
    /// Registers a replacement whose outcome an operator awaits.
    pub fn add(&mut self, routes: Arc<AcceptedRoutes>, reply: RoutesReply) {
        self.pending.push(PendingReplacement {
            routes,
            reply,
            retry: ProposalRetry::default(),
            is_failure_logged: false,
        });
    }

    /// Acknowledges replacements up to version `accepted`: they were accepted or superseded.
    pub fn accepted(&mut self, accepted: RouteVersion) {
        let due =
            |pending: &mut PendingReplacement| pending.routes.configuration.version <= accepted;
        for answered in self.pending.extract_if(.., due) {
            // The operator may have disconnected; a resend is acknowledged as well.
            let _ = answered.reply.send(Ok(accepted));
        }
    }

    /// Handles a failed proposal. Without a leader, and after a leader has stepped down with the
    /// proposal pending, the replacement is retried with the next tick: the operator would only turn
    /// to another process, which has no leader either. Replacing routes twice by the same ones changes
    /// nothing. Any other error is returned to the operator.
    pub fn not_proposed(&mut self, routes: &Arc<AcceptedRoutes>, error: &ProposeError) {
        let same = |pending: &PendingReplacement| Arc::ptr_eq(&pending.routes, routes);
        if matches!(
            error,
            ProposeError::Refused(consensus::ProposeError::NoLeader) | ProposeError::Dropped
        ) {
            if let Some(pending) = self.pending.iter_mut().find(|pending| same(pending)) {
                pending.log_failure(error);
                pending.retry.retry_on_next_tick();
            }
            return;
        }
        for mut failed in self.pending.extract_if(.., |pending| same(pending)) {
            failed.log_failure(error);
            // The operator may have disconnected.
            let _ = failed.reply.send(Err(error.clone()));
        }
    }

    /// Advances by one report tick and returns the replacements to propose again.
    pub fn tick(&mut self) -> Vec<Arc<AcceptedRoutes>> {
        self.pending.retain(|pending| !pending.reply.is_closed());
        let due = self.pending.iter_mut().filter_map(|pending| {
            let is_due = pending.retry.tick();
            is_due.then(|| pending.routes.clone())
        });
        due.collect()
    }
}
