//! Admission of requests: at once, after a wait, or not.
//!
//! The gates are borrowed between two waits only, never across one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::forwarding::{
    Admitted, Candidate, Ended, OverloadGate, OverloadGateSettings, RoomFound, TicketNumber,
};
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::Route;
use gingerkeel_transport::Clock;
use local_sync::oneshot;
use monoio::time::{sleep, timeout};
use tracing::info;

/// Least and longest time until a request that waits looks whether a pause is over: others end and begin
/// meanwhile.
const SHORTEST_LOOK: Duration = Duration::from_millis(2);
const LONGEST_LOOK: Duration = Duration::from_millis(50);

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
    /// Nothing is limited but by what is not known yet. Retries may be this share of the requests.
    pub fn new(clock: Clock, retry_ratio: f64) -> Self {
        let covered_refusals = retry_ratio;
        let settings = OverloadGateSettings { covered_refusals, ..OverloadGateSettings::default() };
        Self { clock, settings, entrances: RefCell::default() }
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
            Admitted::Yes => return Ok(()),
            Admitted::No(retry_after) => return Err(retry_after),
            Admitted::Waits(ticket) => (ticket, self.expect(service, ticket)),
        };
        let mut wait = Wait { admission: self, service, ticket, is_over: false };
        let mut admitted = std::pin::pin!(admitted);
        let outcome = timeout(self.clock.until(candidate.give_up_at), async {
            loop {
                monoio::select! {
                    biased;
                    outcome = &mut admitted => return outcome,
                    () = self.pause_over(service, candidate.rank) => self.admit_more(service),
                }
            }
        });
        match outcome.await {
            Ok(Ok(())) => {
                wait.is_over = true;
                self.begun(service, ticket);
                Ok(())
            }
            _ => Err(wait.end()),
        }
    }

    /// Ends when a pause between requests does that one of this rank waits for; it is looked for now and then.
    async fn pause_over(&self, service: &ServiceName, rank: u32) {
        let ends = {
            let entrances = self.entrances.borrow();
            let gate = entrances.get(service).map(|entrance| &entrance.gate);
            gate.and_then(|gate| gate.pause_ends(&self.settings, rank))
        };
        let left = ends.map_or(LONGEST_LOOK, |at| self.clock.until(at));
        sleep(left.clamp(SHORTEST_LOOK, LONGEST_LOOK)).await;
    }

    fn admit_more(&self, service: &ServiceName) {
        if let Some(entrance) = self.entrances.borrow_mut().get_mut(service) {
            self.admit_next(entrance);
        }
    }

    fn join(&self, service: &ServiceName, candidate: Candidate) -> Admitted {
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
            entrance.gate.begun(ticket);
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
    pub fn finish(&self, route: &Route, ended: Ended) {
        let mut entrances = self.entrances.borrow_mut();
        let service = route.destination.representative();
        let Some(entrance) = service.and_then(|service| entrances.get_mut(service)) else {
            return;
        };
        let limiting = entrance.gate.is_limiting();
        entrance.gate.finish(self.clock.now(), &self.settings, ended);
        log_change(route, &entrance.gate, limiting);
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
        for ticket in entrance.gate.hopeless(now) {
            entrance.waiting.remove(&ticket);
        }
    }

    /// A request of a route, or a part of one, has found a leaf with room for it, or none.
    pub fn looked_for_room(
        &self,
        route: &Route,
        found: RoomFound,
        slots: impl FnOnce() -> Option<f64>,
    ) {
        let mut entrances = self.entrances.borrow_mut();
        let service = route.destination.representative();
        let Some(entrance) = service.and_then(|service| entrances.get_mut(service)) else {
            return;
        };
        let limiting = entrance.gate.is_limiting();
        entrance.gate.looked_for_room(self.clock.now(), &self.settings, found, slots);
        log_change(route, &entrance.gate, limiting);
        self.admit_next(entrance);
    }

    /// Whether leaves of a route run short of capacity while more requests come than end.
    pub fn is_overrun(&self, route: &Route) -> bool {
        let entrances = self.entrances.borrow();
        let service = route.destination.representative();
        let entrance = service.and_then(|service| entrances.get(service));
        entrance.is_some_and(|entrance| entrance.gate.is_overrun())
    }
}

/// Writes that requests are limited from now on, or not any more.
fn log_change(route: &Route, gate: &OverloadGate, was_limiting: bool) {
    let limited = gate.is_limiting();
    if limited != was_limiting {
        let (in_flight, waiting) = (gate.in_flight(), gate.waiting());
        let (route, limit) = (&route.name, gate.limit());
        info!(event = "admission_changed", route, limited, limit, in_flight, waiting);
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
