//! Retry schedule of proposals.

/// Report ticks after which a proposal without an outcome is retried: one second.
const TICKS_PER_RETRY: u32 = 4;

/// Counts the report ticks that a proposal has waited for its outcome. A proposal forwarded to a
/// leader that froze or failed is lost; proposals are idempotent, so a retry is safe.
#[derive(Debug, Default)]
pub struct ProposalRetry(u32);

impl ProposalRetry {
    /// Counts one report tick; true if the proposal is to be retried.
    pub fn tick(&mut self) -> bool {
        self.0 += 1;
        self.0.is_multiple_of(TICKS_PER_RETRY)
    }

    /// Schedules a retry for the next tick, since the proposal failed.
    pub fn retry_on_next_tick(&mut self) {
        self.0 = TICKS_PER_RETRY - 1;
    }
}
