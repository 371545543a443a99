//! One stand-in leaf: slots, queue, service times, faults and journal.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use monoio::time::{sleep, timeout};
use tokio::sync::Semaphore;

use super::admin::{AdminCommand, ReplyFault, ReplyFaultKind};
use super::health::{HealthReport, LaggingReport};
use super::service_time::ServiceTimes;
use super::settings::LeafSettings;
use crate::clock;
use crate::record::{JournalEntry, JournalStep, RecordWriter};

/// A request to search a shard.
#[derive(Debug, Clone)]
pub struct SearchRequest {
    /// Identifier given by the broker.
    pub request: String,
    /// The caller's identifier of the query.
    pub query: String,
    /// Shard to search.
    pub shard: u32,
    /// Index version to read.
    pub version: u64,
    /// Partition epoch that names the shard.
    pub epoch: u64,
    /// When the caller has no use for the result any more.
    pub deadline: Instant,
}

/// How a request ended at the leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOutcome {
    /// It ran to its end.
    Finished,
    /// It was cancelled while it ran.
    Stopped,
    /// It did not run, for the reason that goes into the reply.
    NotRun(&'static str),
}

struct State {
    service_times: ServiceTimes,
    slow_factor: f64,
    cold_left: u64,
    draining: bool,
    versions: Option<Vec<u64>>,
    epochs: Option<Vec<u64>>,
    reply_fault: Option<ReplyFault>,
    claimed_health: Option<bool>,
    health: LaggingReport,
    waiting: usize,
    connections: usize,
    cancellations: BTreeMap<String, oneshot::Sender<()>>,
    started: u64,
}

/// Where the leaves of a process write what they do; stand-in leaves do not.
pub type Journal = Option<Rc<RefCell<RecordWriter<JournalEntry>>>>;

/// One stand-in leaf.
pub struct Emulator {
    settings: LeafSettings,
    slots: Semaphore,
    journal: Journal,
    state: RefCell<State>,
}

impl Emulator {
    /// A leaf that has run nothing yet.
    pub fn new(settings: LeafSettings, seed: u64, journal: Journal) -> Self {
        let state = State {
            service_times: ServiceTimes::new(&settings, seed),
            slow_factor: 1.0,
            cold_left: settings.cold_requests,
            draining: false,
            versions: settings.versions.clone(),
            epochs: settings.epochs.clone(),
            reply_fault: None,
            claimed_health: None,
            health: LaggingReport::new(Duration::from_millis(settings.health_lag_ms)),
            waiting: 0,
            connections: 0,
            cancellations: BTreeMap::new(),
            started: 0,
        };
        let slots = Semaphore::new(settings.slots);
        Self { settings, slots, journal, state: RefCell::new(state) }
    }

    /// Number of the leaf.
    pub fn id(&self) -> u32 {
        self.settings.id
    }

    /// Requests that began to run.
    pub fn started(&self) -> u64 {
        self.state.borrow().started
    }

    /// Whether the leaf is leaving.
    pub fn draining(&self) -> bool {
        self.state.borrow().draining
    }

    /// Counts a new connection; false when there are too many.
    pub fn connection_opened(&self) -> bool {
        let mut state = self.state.borrow_mut();
        if state.connections >= self.settings.connections {
            return false;
        }
        state.connections += 1;
        true
    }

    /// Counts a connection that closed.
    pub fn connection_closed(&self) {
        self.state.borrow_mut().connections -= 1;
    }

    /// Changes the leaf as an administrator orders.
    pub fn apply(&self, command: &AdminCommand) {
        let mut state = self.state.borrow_mut();
        if let Some(factor) = command.slow_factor {
            state.slow_factor = factor.max(0.0);
        }
        if let Some(draining) = command.draining {
            state.draining = draining;
        }
        if let Some(versions) = &command.versions {
            state.versions = Some(versions.clone());
        }
        if let Some(epochs) = &command.epochs {
            state.epochs = Some(epochs.clone());
        }
        if let Some(fault) = &command.reply_fault {
            state.reply_fault = Some(fault.clone());
        }
        if let Some(healthy) = command.claimed_health {
            state.claimed_health = Some(healthy);
        }
    }

    /// The disturbance of the next reply, if it is disturbed.
    pub fn next_reply_fault(&self) -> Option<ReplyFault> {
        let mut state = self.state.borrow_mut();
        let fault = state.reply_fault.clone()?;
        let chosen = fault.kind != ReplyFaultKind::None && state.service_times.happens(fault.share);
        chosen.then_some(fault)
    }

    /// What the health endpoint says now.
    pub fn health(&self) -> HealthReport {
        let running = self.settings.slots - self.slots.available_permits();
        let mut state = self.state.borrow_mut();
        let current = HealthReport {
            leaf: self.settings.id,
            healthy: !state.draining,
            draining: state.draining,
            running,
            waiting: state.waiting,
            slots: self.settings.slots,
        };
        let mut report = state.health.observe(Instant::now(), current);
        if let Some(healthy) = state.claimed_health {
            report.healthy = healthy;
            report.draining = false;
            report.running = if healthy { 0 } else { self.settings.slots };
            report.waiting = 0;
        }
        report
    }

    /// Cancels a request that waits or runs; false when there is none.
    pub fn cancel(&self, request: &str) -> bool {
        let cancellation = self.state.borrow_mut().cancellations.remove(request);
        cancellation.is_some_and(|cancellation| cancellation.send(()).is_ok())
    }

    /// Runs a request, or says why not.
    pub async fn search(&self, request: &SearchRequest) -> SearchOutcome {
        if let Some(reason) = self.refusal(request) {
            return SearchOutcome::NotRun(reason);
        }
        let (cancellation, cancelled) = oneshot::channel();
        self.state.borrow_mut().cancellations.insert(request.request.clone(), cancellation);
        let outcome = self.wait_and_run(request, cancelled).await;
        self.state.borrow_mut().cancellations.remove(&request.request);
        outcome
    }

    fn refusal(&self, request: &SearchRequest) -> Option<&'static str> {
        let state = self.state.borrow();
        if state.draining {
            return Some("draining");
        }
        if !holds(&state.versions, request.version) || !holds(&state.epochs, request.epoch) {
            return Some("snapshot-unavailable");
        }
        if request.deadline <= Instant::now() {
            return Some("deadline-passed");
        }
        let full = self.slots.available_permits() == 0 && state.waiting >= self.settings.queue;
        full.then_some("shedding")
    }

    async fn wait_and_run(
        &self,
        request: &SearchRequest,
        cancelled: oneshot::Receiver<()>,
    ) -> SearchOutcome {
        let mut cancelled = pin!(cancelled);
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        let waiting = WaitingCount::new(&self.state);
        let slot = monoio::select! {
            _ = &mut cancelled => return SearchOutcome::NotRun("cancelled"),
            slot = timeout(time_left, self.slots.acquire()) => slot,
        };
        drop(waiting);
        let Ok(Ok(_slot)) = slot else {
            return SearchOutcome::NotRun("deadline-passed");
        };
        self.state.borrow_mut().started += 1;
        self.record(request, JournalStep::Started);
        let service_time = self.next_service_time();
        monoio::select! {
            _ = &mut cancelled => {
                self.record(request, JournalStep::Stopped);
                SearchOutcome::Stopped
            }
            () = sleep(service_time) => {
                self.record(request, JournalStep::Finished);
                SearchOutcome::Finished
            }
        }
    }

    fn next_service_time(&self) -> Duration {
        let mut state = self.state.borrow_mut();
        let cold = state.cold_left > 0;
        state.cold_left = state.cold_left.saturating_sub(1);
        let cold_factor = if cold { self.settings.cold_factor } else { 1.0 };
        let factor = state.slow_factor * cold_factor;
        state.service_times.draw(factor)
    }

    fn record(&self, request: &SearchRequest, step: JournalStep) {
        let Some(journal) = &self.journal else {
            return;
        };
        let entry = JournalEntry {
            at: clock::now(),
            leaf: self.settings.id,
            step,
            request: request.request.clone(),
            query: request.query.clone(),
            shard: request.shard,
            version: request.version,
            epoch: request.epoch,
            drain_announced: self.draining(),
        };
        journal.borrow_mut().append(&entry);
    }
}

fn holds(held: &Option<Vec<u64>>, asked: u64) -> bool {
    held.as_ref().is_none_or(|held| held.contains(&asked))
}

/// Counts one waiting request for as long as it lives.
struct WaitingCount<'state> {
    state: &'state RefCell<State>,
}

impl<'state> WaitingCount<'state> {
    fn new(state: &'state RefCell<State>) -> Self {
        state.borrow_mut().waiting += 1;
        Self { state }
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.state.borrow_mut().waiting -= 1;
    }
}
