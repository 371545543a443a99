//! What callers and the operator saw, for the checks.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use super::extra_load::SentRequest;

/// A connection that ended without an answer.
#[derive(Debug, Clone)]
pub struct Cut {
    /// The broker.
    pub broker: usize,
    /// The request.
    pub id: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the connection ended.
    pub ended: Instant,
}

/// Counts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers with parts missing.
    pub partial: u64,
    /// Refusals that promise that nothing ran.
    pub not_run: u64,
    /// Refusals of requests beyond a quota.
    pub over_quota: u64,
    /// Refusals of keys that are not held any more, or not yet.
    pub unauthorized: u64,
    /// Failures that promise nothing.
    pub failed: u64,
    /// Connections that ended, or did not come up.
    pub without_answer: u64,
    /// Configurations acknowledged.
    pub acknowledged: u64,
    /// Reads of the configuration.
    pub read: u64,
    /// Orders about a zone acknowledged.
    pub zone_orders: u64,
    /// Roll-outs that were watched until their outcome.
    pub rollouts: u64,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Counts.
    pub counts: Counts,
    /// When requests were sent, and where to.
    pub sent: Vec<SentRequest>,
    /// Not-repeatable requests that were refused as not run.
    pub refused_once: Vec<String>,
    /// Connections that ended without an answer.
    pub cuts: Vec<Cut>,
    /// Broken promises.
    pub violations: Vec<String>,
    /// Highest version acknowledged.
    pub acknowledged: u64,
}

/// What was seen, shared by the threads of a run.
#[derive(Debug, Default)]
pub struct Record(Mutex<Seen>);

impl Record {
    /// The record, for a moment.
    pub fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A promise was broken.
    pub fn violation(&self, text: String) {
        self.lock().violations.push(text);
    }
}
