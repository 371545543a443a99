//! Metric labels. Their cardinality is bounded, whatever callers send.

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::query::{AttemptKind, QueryOutcome, Submission};
use prometheus_client::encoding::EncodeLabelSet;

/// Label value of undefined services and classes.
const UNKNOWN: &str = "unknown";

/// Labels of a query: service and class.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    service: String,
    class: String,
}

impl ClassLabels {
    /// Labels of a query; names that are not in the catalog become [`UNKNOWN`], which bounds the
    /// cardinality.
    pub fn new(catalog: &Catalog, submission: &Submission) -> Self {
        let (service, class) = (&submission.service, &submission.class);
        let known = catalog.class(service, class).is_some();
        let label = |name: &str| if known { name.to_owned() } else { UNKNOWN.to_owned() };
        Self { service: label(service.as_str()), class: label(class.as_str()) }
    }
}

/// Labels of a finished query: service, class and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct OutcomeLabels {
    service: String,
    class: String,
    outcome: &'static str,
}

impl OutcomeLabels {
    pub(super) fn new(labels: &ClassLabels, outcome: &'static str) -> Self {
        Self { service: labels.service.clone(), class: labels.class.clone(), outcome }
    }
}

/// Labels of an admission queue: service and priority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct WaitingLabels {
    pub(super) service: String,
    pub(super) priority: u32,
}

/// Label of a leaf request: primary, retry or hedge.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AttemptLabels {
    pub(super) kind: &'static str,
}

pub(super) fn outcome_name(outcome: &QueryOutcome) -> &'static str {
    match outcome {
        QueryOutcome::Answered(answer) if answer.missing.is_empty() => "answered",
        QueryOutcome::Answered(_) => "answered_partly",
        QueryOutcome::NotRun { .. } => "not_run",
        QueryOutcome::Unknown { .. } | QueryOutcome::Unrecorded(_) => "outcome_unknown",
    }
}

pub(super) fn attempt_kind(kind: AttemptKind) -> &'static str {
    match kind {
        AttemptKind::Primary => "primary",
        AttemptKind::Retry => "retry",
        AttemptKind::Hedge => "hedge",
    }
}
