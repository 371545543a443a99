//! Simulated leaf with execution slots, a bounded queue, pauses and failure modes.

use std::collections::VecDeque;
use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// Number of concurrent requests at a leaf.
pub const SLOTS: usize = 5;
/// Queue length at which a leaf refuses requests.
const QUEUE_LIMIT: usize = 30;
/// Median service time.
const MEDIAN_SERVICE: Duration = Duration::from_millis(10);
/// Standard deviation of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.35;

/// Behavior of a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafMode {
    /// Answers requests.
    Sound,
    /// Refuses connections.
    Down,
    /// Does not respond and executes nothing.
    Dark,
    /// Executes requests, but its replies are lost.
    LosesAnswers,
    /// Executes requests and replies with failures.
    Fails,
    /// Refuses requests without execution.
    Refuses,
    /// Has ended, and a leaf of this service has its address.
    AddressTaken(usize),
}

/// Number of an attempt, unique over all brokers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u64);

/// Result of the arrival of a request at a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Accepted: running or queued.
    Taken,
    /// Refused without execution.
    Refused,
    /// Connection refused.
    NotConnected,
    /// No response.
    Swallowed,
    /// Received and refused by a leaf of this service, which has the address.
    Misdirected(usize),
}

/// A simulated leaf process.
#[derive(Debug)]
pub struct LeafModel {
    /// Behavior of the leaf.
    pub mode: LeafMode,
    /// Factor on service times.
    pub slow_factor: f64,
    /// End of the current pause; no request finishes before.
    pub paused_until: Timestamp,
    running: Vec<AttemptNumber>,
    waiting: VecDeque<AttemptNumber>,
}

impl LeafModel {
    /// Creates a healthy leaf without requests.
    pub fn new() -> Self {
        Self {
            mode: LeafMode::Sound,
            slow_factor: 1.0,
            paused_until: Timestamp::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether the leaf accepts a connection, or `None` if it does not respond.
    pub fn takes_connection(&self) -> Option<bool> {
        match self.mode {
            LeafMode::Dark => None,
            LeafMode::Down => Some(false),
            LeafMode::Sound
            | LeafMode::LosesAnswers
            | LeafMode::Fails
            | LeafMode::Refuses
            | LeafMode::AddressTaken(_) => Some(true),
        }
    }

    /// Queues or refuses a request.
    pub fn arrive(&mut self, attempt: AttemptNumber) -> Arrival {
        match self.mode {
            LeafMode::Down => return Arrival::NotConnected,
            LeafMode::Dark => return Arrival::Swallowed,
            LeafMode::Refuses => return Arrival::Refused,
            LeafMode::AddressTaken(service) => return Arrival::Misdirected(service),
            LeafMode::Sound | LeafMode::LosesAnswers | LeafMode::Fails => {}
        }
        if self.waiting.len() >= QUEUE_LIMIT {
            return Arrival::Refused;
        }
        self.waiting.push_back(attempt);
        Arrival::Taken
    }

    /// Starts queued requests while slots are free. Returns each with its execution time.
    pub fn start(&mut self, now: Timestamp, random: &mut Pcg64) -> Vec<(AttemptNumber, Duration)> {
        let mut started = Vec::new();
        while self.running.len() < SLOTS {
            let Some(attempt) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(attempt);
            let pause = self.paused_until.since(now);
            started.push((attempt, pause + self.service_time(random)));
        }
        started
    }

    fn service_time(&self, random: &mut Pcg64) -> Duration {
        let factor = LogNormal::new(0.0, SERVICE_SIGMA)
            .map_or(1.0, |distribution| distribution.sample(random));
        // The distribution is unbounded.
        let factor = factor.clamp(0.2, 20.0) * random.random_range(0.9..1.1);
        MEDIAN_SERVICE.mul_f64(factor * self.slow_factor)
    }

    /// Ends a running request. Returns false if it has been cancelled.
    pub fn finish(&mut self, attempt: AttemptNumber) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        self.running.len() < before
    }

    /// Cancels a queued or running request, whose connection has been closed.
    pub fn cancel(&mut self, attempt: AttemptNumber) {
        self.running.retain(|running| *running != attempt);
        self.waiting.retain(|waiting| *waiting != attempt);
    }
}
