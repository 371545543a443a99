//! Result of a run of any tier.

/// Result of a run.
#[derive(Debug)]
pub struct Outcome<History, Violation> {
    /// Observations of the run.
    pub history: History,
    /// Hash of the trace, to compare runs.
    pub trace_hash: u64,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}
