//! Labels of metrics; each has few values, whatever callers send.

use gingerkeel_domain::catalog::Catalog;
use gingerkeel_domain::query::{AttemptKind, QueryOutcome, Submission};
use prometheus_client::encoding::EncodeLabelSet;

/// Stands for services and classes that are not defined.
const UNKNOWN: &str = "unknown";

/// A class of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    service: String,
    class: String,
}

impl ClassLabels {
    /// Labels of a query; names that the catalog does not know are not taken over.
    pub fn new(catalog: &Catalog, submission: &Submission) -> Self {
        let (service, class) = (&submission.service, &submission.class);
        let known = catalog.class(service, class).is_some();
        let label = |name: &str| if known { name.to_owned() } else { UNKNOWN.to_owned() };
        Self { service: label(service.as_str()), class: label(class.as_str()) }
    }
}

/// A class of a service and an outcome.
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

/// A queue of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct WaitingLabels {
    pub(super) service: String,
    pub(super) priority: u32,
}

/// What a request to a leaf was sent for.
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
