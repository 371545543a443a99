//! What a run of any tier gives.

/// What a run gave.
#[derive(Debug)]
pub struct Outcome<History, Violation> {
    /// What was seen from outside.
    pub history: History,
    /// Hash over the trace.
    pub trace_hash: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
}
