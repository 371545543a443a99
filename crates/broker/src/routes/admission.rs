//! Admission control: a request is admitted at once, queued, or refused.
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

/// The overload gate of one destination, with its queued requests.
struct DestinationGate {
    gate: OverloadGate,
    /// Notified on admission; dropped if the request cannot be admitted in time.
    waiting: BTreeMap<TicketNumber, oneshot::Sender<()>>,
}

/// Admission control of all destinations.
pub struct Admission {
    clock: Clock,
    settings: OverloadGateSettings,
    gates: RefCell<BTreeMap<ServiceName, DestinationGate>>,
}

impl Admission {
    /// Creates admission control without any destination; gates are added as requests arrive.
    pub fn new(clock: Clock) -> Self {
        Self { clock, settings: OverloadGateSettings::default(), gates: RefCell::default() }
    }

    /// Waits until a request of a route is admitted; each admission must be followed by
    /// [`Admission::finish`].
    ///
    /// # Errors
    /// The retry-after of a refused request.
    pub async fn enter(&self, route: &Route, candidate: Candidate) -> Result<(), Duration> {
        let Some(service) = route.destination.representative() else {
            return Ok(());
        };
        let (ticket, admitted) = match self.join(service, candidate) {
            AdmissionDecision::Admitted => return Ok(()),
            AdmissionDecision::Refused(retry_after) => return Err(retry_after),
            AdmissionDecision::Queued(ticket) => (ticket, self.subscribe(service, ticket)),
        };
        let mut wait = WaitGuard { admission: self, service, ticket, is_over: false };
        match timeout(self.clock.until(candidate.give_up_at), admitted).await {
            Ok(Ok(())) => {
                wait.is_over = true;
                self.confirm(service, ticket);
                Ok(())
            }
            _ => Err(wait.end()),
        }
    }

    fn join(&self, service: &ServiceName, candidate: Candidate) -> AdmissionDecision {
        let mut gates = self.gates.borrow_mut();
        let new = || DestinationGate {
            gate: OverloadGate::new(&self.settings),
            waiting: BTreeMap::new(),
        };
        let destination = gates.entry(service.clone()).or_insert_with(new);
        destination.gate.enter(self.clock.now(), &self.settings, candidate)
    }

    /// Receives the admission of a queued request; fails once the request cannot be admitted in
    /// time.
    fn subscribe(&self, service: &ServiceName, ticket: TicketNumber) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        if let Some(destination) = self.gates.borrow_mut().get_mut(service) {
            destination.waiting.insert(ticket, sender);
        }
        receiver
    }

    fn confirm(&self, service: &ServiceName, ticket: TicketNumber) {
        if let Some(destination) = self.gates.borrow_mut().get_mut(service) {
            destination.gate.confirm_admission(ticket);
        }
    }

    fn leave(&self, service: &ServiceName, ticket: TicketNumber) -> Duration {
        let mut gates = self.gates.borrow_mut();
        let Some(destination) = gates.get_mut(service) else {
            return Duration::ZERO;
        };
        destination.waiting.remove(&ticket);
        let retry_after = destination.gate.leave(self.clock.now(), &self.settings, ticket);
        self.admit_next(destination);
        retry_after
    }

    /// Releases an admitted request of a route and admits queued ones in its place.
    pub fn finish(&self, route: &Route, ended: RequestOutcome) {
        let mut gates = self.gates.borrow_mut();
        let service = route.destination.representative();
        let Some(destination) = service.and_then(|service| gates.get_mut(service)) else {
            return;
        };
        let gate = &mut destination.gate;
        let limiting = gate.is_limiting();
        gate.finish(self.clock.now(), &self.settings, ended);
        if gate.is_limiting() != limiting {
            let (limited, in_flight, waiting) = (!limiting, gate.in_flight(), gate.waiting());
            let route = &route.name;
            info!(event = "admission_changed", route, limited, in_flight, waiting);
        }
        self.admit_next(destination);
    }

    fn admit_next(&self, destination: &mut DestinationGate) {
        let now = self.clock.now();
        while let Some(ticket) = destination.gate.next(now, &self.settings) {
            if let Some(admitted) = destination.waiting.remove(&ticket) {
                // A request that has stopped waiting leaves the gate by itself.
                let _ = admitted.send(());
            }
        }
        for ticket in destination.gate.take_unservable(now) {
            destination.waiting.remove(&ticket);
        }
    }

    /// Whether the leaves of a route are overloaded while requests arrive faster than they finish.
    pub fn is_overrun(&self, route: &Route) -> bool {
        let gates = self.gates.borrow();
        let service = route.destination.representative();
        let destination = service.and_then(|service| gates.get(service));
        destination.is_some_and(|destination| destination.gate.is_overloaded())
    }
}

/// A queued request. Dropping it, as when the caller disconnects, removes it from the queue.
struct WaitGuard<'admission> {
    admission: &'admission Admission,
    service: &'admission ServiceName,
    ticket: TicketNumber,
    is_over: bool,
}

impl WaitGuard<'_> {
    fn end(&mut self) -> Duration {
        self.is_over = true;
        self.admission.leave(self.service, self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.end();
        }
    }
}
