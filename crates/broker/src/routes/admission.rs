//! Admission of requests: at once, after a wait, or not.
//!
//! The gates are borrowed between two waits only, never across one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::forwarding::{
    AdmissionDecision, Candidate, OverloadGate, OverloadGateSettings, RequestOutcome, TicketNumber,
};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::Route;
use gingerkeel_transport::Clock;
use local_sync::oneshot;
use monoio::time::timeout;
use tracing::info;

/// The gate of one destination, and whom to tell of an admission.
struct Entrance {
    gate: OverloadGate,
    /// Dropped unused when a request would wait in vain.
    waiting: BTreeMap<TicketNumber, oneshot::Sender<()>>,
}

/// Admission to all destinations.
pub struct Admission {
    clock: Clock,
    settings: OverloadGateSettings,
    entrances: RefCell<BTreeMap<ServiceName, Entrance>>,
}

impl Admission {
    /// Nothing is limited but by what is not known yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, settings: OverloadGateSettings::default(), entrances: RefCell::default() }
    }

    /// Waits until a request of a route may begin; [`Admission::finish`] has to follow when it may.
    ///
    /// # Errors
    /// When its caller may come back: the request is not to begin.
    pub async fn enter(&self, route: &Route, candidate: Candidate) -> Result<(), Duration> {
        let Some(service) = route.destination.representative() else {
            return Ok(());
        };
        let (ticket, admitted) = match self.join(service, candidate) {
            AdmissionDecision::Admitted => return Ok(()),
            AdmissionDecision::Refused(retry_after) => return Err(retry_after),
            AdmissionDecision::Queued(ticket) => (ticket, self.expect(service, ticket)),
        };
        let mut wait = Wait { admission: self, service, ticket, is_over: false };
        match timeout(self.clock.until(candidate.give_up_at), admitted).await {
            Ok(Ok(())) => {
                wait.is_over = true;
                self.begun(service, ticket);
                Ok(())
            }
            _ => Err(wait.end()),
        }
    }

    fn join(&self, service: &ServiceName, candidate: Candidate) -> AdmissionDecision {
        let mut entrances = self.entrances.borrow_mut();
        let new = || Entrance { gate: OverloadGate::new(&self.settings), waiting: BTreeMap::new() };
        let entrance = entrances.entry(service.clone()).or_insert_with(new);
        entrance.gate.enter(self.clock.now(), &self.settings, candidate)
    }

    /// Told once a request that waits is admitted; fails once it would wait in vain.
    fn expect(&self, service: &ServiceName, ticket: TicketNumber) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if let Some(entrance) = self.entrances.borrow_mut().get_mut(service) {
            entrance.waiting.insert(ticket, sender);
        }
        receiver
    }

    fn begun(&self, service: &ServiceName, ticket: TicketNumber) {
        if let Some(entrance) = self.entrances.borrow_mut().get_mut(service) {
            entrance.gate.confirm_admission(ticket);
        }
    }

    fn leave(&self, service: &ServiceName, ticket: TicketNumber) -> Duration {
        let mut entrances = self.entrances.borrow_mut();
        let Some(entrance) = entrances.get_mut(service) else {
            return Duration::ZERO;
        };
        entrance.waiting.remove(&ticket);
        let retry_after = entrance.gate.leave(self.clock.now(), &self.settings, ticket);
        self.admit_next(entrance);
        retry_after
    }

    /// A request of a route that was admitted has ended.
    pub fn finish(&self, route: &Route, ended: RequestOutcome) {
        let mut entrances = self.entrances.borrow_mut();
        let service = route.destination.representative();
        let Some(entrance) = service.and_then(|service| entrances.get_mut(service)) else {
            return;
        };
        let gate = &mut entrance.gate;
        let limiting = gate.is_limiting();
        gate.finish(self.clock.now(), &self.settings, ended);
        if gate.is_limiting() != limiting {
            let (limited, in_flight, waiting) = (!limiting, gate.in_flight(), gate.waiting());
            let route = &route.name;
            info!(event = "admission_changed", route, limited, in_flight, waiting);
        }
        self.admit_next(entrance);
    }

    fn admit_next(&self, entrance: &mut Entrance) {
        let now = self.clock.now();
        while let Some(ticket) = entrance.gate.next(now, &self.settings) {
            if let Some(admitted) = entrance.waiting.remove(&ticket) {
                // Whoever has ended its wait meanwhile says so itself.
                let _ = admitted.send(());
            }
        }
        for ticket in entrance.gate.take_unservable(now) {
            entrance.waiting.remove(&ticket);
        }
    }

    /// Whether leaves of a route run short of capacity while more requests come than end.
    pub fn is_overrun(&self, route: &Route) -> bool {
        let entrances = self.entrances.borrow();
        let service = route.destination.representative();
        let entrance = service.and_then(|service| entrances.get(service));
        entrance.is_some_and(|entrance| entrance.gate.is_overloaded())
    }
}

/// A request that waits. When its caller leaves, it does as well.
struct Wait<'admission> {
    admission: &'admission Admission,
    service: &'admission ServiceName,
    ticket: TicketNumber,
    is_over: bool,
}

impl Wait<'_> {
    fn end(&mut self) -> Duration {
        self.is_over = true;
        self.admission.leave(self.service, self.ticket)
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.end();
        }
    }
}
