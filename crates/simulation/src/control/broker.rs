//! A broker as far as it follows the catalog.

use std::time::Duration;

use gingerkeel_domain::feed::{BackOff, FollowerSettings, FollowerState};
use gingerkeel_domain::time::Timestamp;

use super::machine::MachineIndex;
use super::message::{FeedContent, LinkNumber};

/// First bound of the pause before another control machine is tried.
const BACK_OFF_BASE: Duration = Duration::from_millis(100);
/// Largest bound of that pause.
const BACK_OFF_LIMIT: Duration = Duration::from_secs(1);

/// Number of a broker in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BrokerIndex(pub usize);

/// A broker.
pub struct Broker {
    /// The rules under test.
    pub follower: FollowerState,
    /// Number of the present run.
    pub run: u64,
    /// The machine that it is linked to, or tries.
    pub machine: MachineIndex,
    /// The present link.
    pub link: LinkNumber,
    /// Whether the link is open.
    pub open: bool,
    /// Whether the process stands still.
    pub frozen: bool,
    /// What arrived while it stood still.
    pub backlog: Vec<(LinkNumber, FeedContent)>,
    /// Pauses between attempts.
    pub back_off: BackOff,
    /// Timer that is set.
    pub timer: Option<Timestamp>,
}

impl Broker {
    /// A broker that tries `machine` first.
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

    /// The process ends and another one starts.
    pub fn restart(&mut self) {
        let link = self.link;
        let run = self.run + 1;
        *self = Self::new(self.machine);
        self.link = link;
        self.run = run;
    }
}

/// A follower without a catalog.
pub fn new_follower() -> FollowerState {
    FollowerState::new(FollowerSettings::default())
}
