//! Brokers' answers as callers read them.

use gingerkeel_transport::HttpResponse;
use serde::Deserialize;

use crate::record::{AnswerPart, CallerOutcome, CallerRecord, MissingShard};

#[derive(Debug, Deserialize)]
struct Document {
    outcome: CallerOutcome,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
    snapshot: Option<String>,
    shards: Option<u32>,
    coverage: Option<f64>,
    charge: Option<u64>,
    #[serde(default)]
    missing: Vec<MissingShard>,
    #[serde(default)]
    parts: Vec<AnswerPart>,
}

/// Writes what the broker said into the caller's record.
pub fn read_into(record: &mut CallerRecord, response: &HttpResponse) {
    let Ok(document) = serde_json::from_slice::<Document>(response.body()) else {
        record.outcome = CallerOutcome::NotUnderstood;
        record.reason = Some(String::from_utf8_lossy(response.body()).chars().take(200).collect());
        return;
    };
    record.outcome = document.outcome;
    record.reason = document.reason;
    record.retry_after_ms = document.retry_after_ms;
    record.snapshot = document.snapshot;
    record.shards = document.shards;
    record.coverage = document.coverage;
    record.charge = document.charge;
    record.missing = document.missing;
    record.parts = document.parts;
}
