//! State of a simulated broker that follows the catalog.

use std::time::Duration;

use gingerkeel_domain::feed::{BackOff, FollowerSettings, FollowerState};
use gingerkeel_domain::time::Timestamp;

use super::machine::MachineIndex;
use super::message::{FeedContent, LinkNumber};

/// Initial maximum backoff before trying another control machine.
const BACK_OFF_BASE: Duration = Duration::from_millis(100);
/// Upper limit of that backoff.
const BACK_OFF_LIMIT: Duration = Duration::from_secs(1);

/// Index of a broker in the simulated world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BrokerIndex(pub usize);

/// A simulated broker process and its link to a control machine.
pub struct Broker {
    /// The domain code under test.
    pub follower: FollowerState,
    /// Number of restarts; identifies the current process.
    pub run: u64,
    /// The control machine to which the broker is connected or connecting.
    pub machine: MachineIndex,
    /// Number of the current link.
    pub link: LinkNumber,
    /// Whether the link is open.
    pub open: bool,
    /// Whether the process is paused.
    pub frozen: bool,
    /// Messages received while the process was paused.
    pub backlog: Vec<(LinkNumber, FeedContent)>,
    /// Backoff between connection attempts.
    pub back_off: BackOff,
    /// Time of the next scheduled timer event.
    pub timer: Option<Timestamp>,
}

impl Broker {
    /// Creates a broker that connects to `machine` first.
    pub fn new(machine: MachineIndex) -> Self {
        Self {
            follower: new_follower(),
            run: 0,
            machine,
            link: LinkNumber::default(),
            open: false,
            frozen: false,
            backlog: Vec::new(),
            back_off: BackOff::new(BACK_OFF_BASE, BACK_OFF_LIMIT),
            timer: None,
        }
    }

    /// Replaces the process by a new one without a catalog.
    pub fn restart(&mut self) {
        let link = self.link;
        let run = self.run + 1;
        *self = Self::new(self.machine);
        self.link = link;
        self.run = run;
    }
}

/// Creates a follower without a catalog.
pub fn new_follower() -> FollowerState {
    FollowerState::new(FollowerSettings::default())
}
