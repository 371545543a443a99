//! Adapts the number of connections to a leaf to what the leaf is observed to accept.
//!
//! Each broker has a share of the connections that a leaf accepts, but the sum of the shares can
//! exceed what the leaf has left: brokers that start together do not know each other yet, and a
//! leaf holds the connections of dead brokers until it notices. A broker therefore starts with few
//! connections, allows one more for each accepted one, and halves the allowance when the leaf
//! resets a new connection.

/// Connections allowed before the leaf has accepted any.
const INITIAL: usize = 2;

/// Connection allowance for one leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAllowance {
    allowed: usize,
}

impl Default for ConnectionAllowance {
    fn default() -> Self {
        Self { allowed: INITIAL }
    }
}

impl ConnectionAllowance {
    /// Number of connections that may be open.
    pub fn allowed(&self) -> usize {
        self.allowed
    }

    /// Records that the leaf answered on a new connection while `open` were open, including this
    /// one.
    pub fn accepted(&mut self, open: usize) {
        self.allowed = self.allowed.max(open + 1);
    }

    /// Records that the leaf reset a new connection while `open` were open, including this one.
    pub fn refused(&mut self, open: usize) {
        let others = open.saturating_sub(1);
        self.allowed = (others / 2).max(1);
    }
}
