//! Addresses of the control processes that a broker can connect to, and which of them have failed.

use std::fmt;
use std::net::SocketAddr;

use gingerkeel_domain::feed::ControlHealth;
use gingerkeel_domain::time::Timestamp;
use local_sync::mpsc::unbounded::Rx;
use rand::seq::SliceRandom;

/// Maximum number of addresses kept from control processes that granted no lease.
const MAX_UNCONFIRMED: usize = 64;

/// Where the address of a control process comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlKind {
    /// The settings.
    Configured,
    /// Another control process.
    Learned,
}

impl fmt::Display for ControlKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Configured => "configured",
            Self::Learned => "learned",
        })
    }
}

/// Addresses from the settings, and addresses learned from control processes.
pub struct KnownControls {
    configured: Vec<SocketAddr>,
    /// Named by the last control process that granted a lease.
    learned: Vec<SocketAddr>,
    /// Named by control processes that granted no lease since.
    unconfirmed: Vec<SocketAddr>,
    /// Named on the current link since its last lease.
    named: Vec<SocketAddr>,
    /// New addresses after a change of the settings.
    changes: Rx<Vec<SocketAddr>>,
    health: ControlHealth,
}

impl KnownControls {
    /// Starts with the addresses of the settings.
    pub fn new(configured: Vec<SocketAddr>, changes: Rx<Vec<SocketAddr>>) -> Self {
        Self {
            configured,
            learned: Vec::new(),
            unconfirmed: Vec::new(),
            named: Vec::new(),
            changes,
            health: ControlHealth::default(),
        }
    }

    /// Records the addresses that the current link names. They replace the learned ones with the
    /// next lease: a control process without a group may name none, or those of long ago.
    pub fn name(&mut self, named: Vec<SocketAddr>) {
        self.named = named;
    }

    /// Records a lease on the current link.
    pub fn lease_granted(&mut self, now: Timestamp) {
        self.health.lease_granted(now);
        if !self.named.is_empty() {
            self.learned = std::mem::take(&mut self.named);
            self.unconfirmed.clear();
        }
    }

    /// Records the end of a link.
    pub fn link_ended(&mut self, now: Timestamp, control: SocketAddr) {
        for named in std::mem::take(&mut self.named) {
            if self.unconfirmed.len() < MAX_UNCONFIRMED && !self.unconfirmed.contains(&named) {
                self.unconfirmed.push(named);
            }
        }
        self.health.failed(now, control);
    }

    /// Records that these control processes accepted no connection.
    pub fn not_reached(&mut self, now: Timestamp, controls: &[SocketAddr]) {
        for control in controls {
            self.health.failed(now, *control);
        }
    }

    /// The control processes that have not failed lately, in random order, so that brokers spread
    /// over those at the same distance; empty if all have failed.
    pub fn usable(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.apply_changes();
        let mut usable = self.health.usable(now, &self.configured, &self.only_learned());
        usable.shuffle(&mut rand::rng());
        usable
    }

    /// The next of all control processes in turn, although each has failed lately; any of those
    /// that failed at the same time.
    pub fn next_in_turn(&mut self, now: Timestamp) -> Option<SocketAddr> {
        self.apply_changes();
        let mut all = [self.configured.clone(), self.only_learned()].concat();
        all.shuffle(&mut rand::rng());
        self.health.next_in_turn(now, &all)
    }

    /// Where the address of a control process comes from.
    pub fn kind(&self, control: SocketAddr) -> ControlKind {
        if self.configured.contains(&control) {
            ControlKind::Configured
        } else {
            ControlKind::Learned
        }
    }

    /// The addresses that the settings do not name.
    fn only_learned(&self) -> Vec<SocketAddr> {
        let mut learned: Vec<SocketAddr> = Vec::new();
        for control in self.learned.iter().chain(&self.unconfirmed) {
            if !self.configured.contains(control) && !learned.contains(control) {
                learned.push(*control);
            }
        }
        learned
    }

    fn apply_changes(&mut self) {
        while let Ok(configured) = self.changes.try_recv() {
            self.configured = configured;
        }
    }
}
