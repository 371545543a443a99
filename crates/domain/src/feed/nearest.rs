//! Selection of the control process that feeds a broker: the nearest one that accepts connections.
//!
//! The initial state of a feed is large, and links between regions are slow and few. The time that
//! a machine takes to accept or refuse a connection indicates its distance.

use std::time::Duration;

/// A machine is far if its connection time exceeds that of the nearest one by this factor and by
/// [`FAR_MARGIN`].
const FAR_FACTOR: f64 = 3.0;
/// Difference in connection time that does not indicate distance: a busy machine responds that much
/// later.
const FAR_MARGIN: Duration = Duration::from_millis(3);

/// What to do with an accepted connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// Use the connection.
    Take,
    /// Keep the connection open while a nearer machine, whose control process does not accept yet,
    /// is retried.
    Hold,
}

/// Results of concurrent connection attempts to the control processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NearestControl {
    /// The shortest time in which a machine refused a connection.
    nearest: Option<Duration>,
}

impl NearestControl {
    /// Records a refusal after this time: the machine is up, its control process is not, or not
    /// yet.
    pub fn refused(&mut self, took: Duration) {
        self.nearest = Some(self.nearest.map_or(took, |nearest| nearest.min(took)));
    }

    /// Decides on a connection that was accepted after this time.
    pub fn accepted(&self, took: Duration) -> Acceptance {
        let is_far =
            |nearest: Duration| took > nearest.mul_f64(FAR_FACTOR) && took > nearest + FAR_MARGIN;
        if self.nearest.is_some_and(is_far) { Acceptance::Hold } else { Acceptance::Take }
    }
}
