//! When something that waits for the log is proposed once more.

/// Rounds after which something without an outcome is proposed again: one second.
const ROUNDS_UNTIL_PROPOSED_AGAIN: u32 = 4;

/// The rounds that something has waited for its outcome. What was handed to a leader which froze or fell is lost on the
/// way; proposed twice, it counts once all the same.
#[derive(Debug, Default)]
pub struct ProposalRounds(u32);

impl ProposalRounds {
    /// One more round; gives whether it is to be proposed again.
    pub fn pass(&mut self) -> bool {
        self.0 += 1;
        self.0.is_multiple_of(ROUNDS_UNTIL_PROPOSED_AGAIN)
    }

    /// It was not proposed, and is with the next round.
    pub fn hurry(&mut self) {
        self.0 = ROUNDS_UNTIL_PROPOSED_AGAIN - 1;
    }
}
