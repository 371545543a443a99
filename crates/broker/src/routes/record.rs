//! Record of a request: released from admission once its outcome is known, written to metrics and
//! logs once it is answered.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gingerkeel_domain::forwarding::RequestOutcome;
use gingerkeel_domain::quota::QuotaLimit;
use gingerkeel_domain::routes::{Route, RouteVersion};
use gingerkeel_domain::time::Timestamp;

use super::attempt::ForwardedRequest;
use super::respond::Refusal;
use super::serving::Served;
use super::state::RouteState;
use super::trail::RequestEnd;

/// Admission of a request that has not been released.
struct Admitted {
    at: Instant,
    /// Whether it was admitted too late to be answered in time.
    was_late: bool,
}

/// Record of a request. Dropping it, however the request ends, writes the metrics and the log
/// lines.
pub struct RequestRecord {
    state: Rc<RouteState>,
    request: ForwardedRequest,
    route: Option<Arc<Route>>,
    routes_version: RouteVersion,
    /// Whether the request was counted against the quota of its tenant.
    quota_charged: bool,
    /// What the request exceeds, if it is refused for the quota of its tenant.
    quota_limit: Option<QuotaLimit>,
    /// Set while the request holds a place in admission.
    admitted: Option<Admitted>,
    outcome: &'static str,
    status: u16,
    parts: Option<(usize, usize)>,
    retry_after: Option<Duration>,
    /// When a merged answer was complete enough to be sent.
    due: Option<Timestamp>,
    /// When the outcome was known.
    ended: Option<Instant>,
}

impl RequestRecord {
    /// Creates the record of a request with the outcome `caller_left` until another one is known.
    pub fn new(state: Rc<RouteState>, request: ForwardedRequest) -> Self {
        let routes_version = state.table().map_or(RouteVersion(0), |table| table.version());
        Self {
            state,
            request,
            route: None,
            routes_version,
            quota_charged: false,
            quota_limit: None,
            admitted: None,
            outcome: "caller_left",
            status: 0,
            parts: None,
            retry_after: None,
            due: None,
            ended: None,
        }
    }

    /// The request that the record is about.
    pub fn request(&self) -> &ForwardedRequest {
        &self.request
    }

    /// Sets the route of the request.
    pub fn set_route(&mut self, route: &Arc<Route>) {
        self.route = Some(route.clone());
    }

    /// Counts the request against the quota of its tenant.
    ///
    /// # Errors
    /// The retry-after of a request beyond the quota.
    pub fn charge_quota(&mut self) -> Result<(), Duration> {
        if let Some(tenant) = &self.request.tenant {
            if let Err(refused) = self.state.quotas.admit(&tenant.name) {
                self.quota_limit = Some(refused.limit);
                return Err(refused.retry_after);
            }
            self.quota_charged = true;
        }
        Ok(())
    }

    /// Refunds the quota of a request that was sent to no leaf.
    fn refund_quota(&self) {
        if let Some(tenant) = &self.request.tenant
            && self.quota_charged
            && !self.request.trail.has_attempts()
        {
            self.state.quotas.refund(&tenant.name);
        }
    }

    /// Records the admission, and whether it came too late for an answer in time.
    pub fn admitted(&mut self, was_late: bool) {
        self.admitted = Some(Admitted { at: Instant::now(), was_late });
    }

    /// Ends the request with a refusal; `reason` is the outcome in logs and metrics.
    pub fn refuse(&mut self, refusal: Refusal, reason: &'static str) -> Served {
        self.end(&Served::Refused(refusal));
        self.outcome = reason;
        Served::Refused(refusal)
    }

    /// Records the outcome and releases the place in admission.
    pub fn end(&mut self, served: &Served) {
        match served {
            Served::Merged(answer) => {
                let present = answer.attestations.len();
                self.parts = Some((present, present + answer.missing));
                self.due = Some(answer.due);
                self.outcome = if answer.missing > 0 { "answered_partly" } else { "answered" };
                self.status = 200;
            }
            Served::Relayed(reply) => {
                self.outcome = if reply.head.status < 500 { "answered" } else { "leaf_failed" };
                self.status = reply.head.status;
            }
            Served::Refused(refusal) => {
                self.outcome = refusal.outcome();
                self.status = refusal.status();
                if let Refusal::NotRun { retry_after } | Refusal::OverQuota { retry_after } =
                    refusal
                {
                    self.retry_after = Some(*retry_after);
                }
            }
        }
        self.ended = Some(Instant::now());
        self.leave_admission();
    }

    /// Records the delivery time of a merged answer that was written completely.
    pub fn delivered(&self) {
        if let Some(due) = self.due {
            self.state.record_delivery(self.state.clock.now().since(due));
        }
    }

    fn leave_admission(&mut self) {
        if let (Some(route), Some(admitted)) = (&self.route, self.admitted.take()) {
            self.state.admission.finish(route, self.admission_outcome(route, &admitted));
        }
    }

    /// The outcome as admission control counts it. Queueing time counts against the leaves unless
    /// the request was late when it was admitted.
    fn admission_outcome(&self, route: &Route, admitted: &Admitted) -> RequestOutcome {
        let since = if admitted.was_late { admitted.at } else { self.request.received };
        match self.status {
            0 => RequestOutcome::GivenUp,
            // A request that crashed leaves says nothing about their load.
            500.. if self.request.trail.leaves_ended() > 0 => RequestOutcome::GivenUp,
            200..=499 if is_in_time(route, since.elapsed()) => RequestOutcome::InTime,
            _ => RequestOutcome::Late { parts: self.request.trail.parts_in_time() },
        }
    }

    /// Time from the arrival of the request to its outcome, or to the disconnect of its caller.
    fn held(&self) -> Duration {
        let ended = self.ended.unwrap_or_else(Instant::now);
        ended.saturating_duration_since(self.request.received)
    }
}

/// Whether a request held for this time meets the target latency of its route.
fn is_in_time(route: &Route, held: Duration) -> bool {
    held <= Duration::from_millis(route.target_latency_ms)
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.leave_admission();
        self.refund_quota();
        let missing = self.parts.map_or(0, |(present, whole)| whole - present);
        let held = self.held();
        self.state.metrics.request_ended(self.outcome, held, missing);
        let in_time = self.route.as_ref().is_some_and(|route| is_in_time(route, held));
        let end = RequestEnd {
            route: self.route.as_ref().map_or("", |route| route.name.as_str()),
            tenant: self.request.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            routes_version: self.routes_version,
            directory_version: self.state.leaves.version(),
            outcome: self.outcome,
            status: self.status,
            held,
            parts: self.parts,
            quota_limit: self.quota_limit.map(QuotaLimit::as_str),
            retry_after_ms: self.retry_after.map(|span| span.as_millis() as u64),
            ordinary: (200..=499).contains(&self.status)
                && self.retry_after.is_none()
                && in_time
                && missing == 0,
        };
        for observed in self.request.trail.leaf_conducts() {
            let began = self.state.clock.at(observed.began);
            self.state.leaves.observe(&observed.leaf, began, observed.conduct);
        }
        let sample = self.state.settings.log_sample;
        self.request.trail.write(&self.request.id, &end, sample);
    }
}
