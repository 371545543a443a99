//! A leaf of a route's service: slots, a queue, pauses, and ways to fail.

use std::collections::VecDeque;
use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;

/// Requests that a leaf works on at once.
pub const SLOTS: usize = 5;
/// Requests that wait for a slot before a leaf refuses.
const QUEUE_LIMIT: usize = 30;
/// Median service time.
const MEDIAN_SERVICE: Duration = Duration::from_millis(10);
/// Spread of the logarithm of service times.
const SERVICE_SIGMA: f64 = 0.35;

/// What a leaf does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafMode {
    /// It answers.
    Sound,
    /// It takes no connection.
    Down,
    /// It says nothing and runs nothing.
    Dark,
    /// It runs requests and loses its answers.
    LosesAnswers,
    /// It runs requests and answers that it failed.
    Fails,
    /// It refuses requests without running them.
    Refuses,
    /// It has ended, and a leaf of this service has its address.
    AddressTaken(usize),
}

/// Number of an attempt, over all brokers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u64);

/// What a leaf does when a request arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It runs, or will once a slot is free.
    Taken,
    /// It is refused and will not run.
    Refused,
    /// No connection came up.
    NotConnected,
    /// Nothing comes back.
    Swallowed,
    /// It arrives at a leaf of this service, which refuses it.
    Misdirected(usize),
}

/// One leaf.
#[derive(Debug)]
pub struct LeafModel {
    /// What it does with requests.
    pub mode: LeafMode,
    /// Factor on service times.
    pub slow_factor: f64,
    /// It works on nothing before this time.
    pub paused_until: Timestamp,
    running: Vec<AttemptNumber>,
    waiting: VecDeque<AttemptNumber>,
}

impl LeafModel {
    /// A sound leaf without work.
    pub fn new() -> Self {
        Self {
            mode: LeafMode::Sound,
            slow_factor: 1.0,
            paused_until: Timestamp::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether a connection without a request is taken; none where nothing comes back.
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

    /// A request arrives.
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

    /// Requests that start now, each with the time until it is done.
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
        // The spread of the distribution has no bound.
        let factor = factor.clamp(0.2, 20.0) * random.random_range(0.9..1.1);
        MEDIAN_SERVICE.mul_f64(factor * self.slow_factor)
    }

    /// A request is done; false when it was cancelled before.
    pub fn finish(&mut self, attempt: AttemptNumber) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        self.running.len() < before
    }

    /// The broker closes the connection of a request.
    pub fn cancel(&mut self, attempt: AttemptNumber) {
        self.running.retain(|running| *running != attempt);
        self.waiting.retain(|waiting| *waiting != attempt);
    }
}
