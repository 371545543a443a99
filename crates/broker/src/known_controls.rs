//! Addresses of the control processes that a broker can connect to.

use std::net::SocketAddr;

use local_sync::mpsc::unbounded::Rx;
use rand::Rng;
use rand::seq::SliceRandom;

/// Addresses from the settings, and addresses learned from control processes.
pub struct KnownControls {
    configured: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
    /// New addresses after a change of the settings.
    changes: Rx<Vec<SocketAddr>>,
    cursor: usize,
}

impl KnownControls {
    /// Starts with the addresses of the settings, at a random position, so that brokers spread over
    /// the control processes.
    pub fn new(configured: Vec<SocketAddr>, changes: Rx<Vec<SocketAddr>>) -> Self {
        let cursor = rand::rng().random_range(0..configured.len().max(1));
        Self { configured, learned: Vec::new(), changes, cursor }
    }

    /// Replaces the learned addresses.
    pub fn learn(&mut self, learned: Vec<SocketAddr>) {
        self.learned = learned;
    }

    /// The configured addresses in random order, except the one whose link was lost last: that
    /// process may accept connections without serving them. The order is random so that brokers
    /// spread over control processes at the same distance.
    pub fn configured_except(&mut self, lost: Option<SocketAddr>) -> Vec<SocketAddr> {
        self.apply_changes();
        let others = self.configured.iter().copied().filter(|control| Some(*control) != lost);
        let mut others: Vec<SocketAddr> = others.collect();
        others.shuffle(&mut rand::rng());
        others
    }

    /// The next address, round robin over the configured ones; after as many failed attempts in a
    /// row as there are configured addresses, over the learned ones, too.
    pub fn next(&mut self, tries: usize) -> SocketAddr {
        self.apply_changes();
        self.cursor = self.cursor.wrapping_add(1);
        let configured = &self.configured;
        if tries < configured.len() {
            return configured[self.cursor % configured.len()];
        }
        let learned = self.learned.iter().filter(|control| !configured.contains(control));
        let all: Vec<SocketAddr> = configured.iter().chain(learned).copied().collect();
        all[self.cursor % all.len()]
    }

    fn apply_changes(&mut self) {
        while let Ok(configured) = self.changes.try_recv() {
            self.configured = configured;
        }
    }
}
