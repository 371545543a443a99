//! Failures of control processes, by which a broker chooses the next one to connect to.
//!
//! A control process without a group, such as a removed member, accepts connections and grants no
//! lease. Without a record of such failures, a broker near two of them would alternate between
//! them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Time after which a failure is forgotten, if a lease was granted since. Until a lease is granted,
/// no control process is tried twice before each was tried once.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The latest failure of each control process: it did not accept a connection, or a link to it
/// ended.
#[derive(Debug, Clone, Default)]
pub struct ControlHealth {
    failures: BTreeMap<SocketAddr, Timestamp>,
    last_lease: Option<Timestamp>,
}

impl ControlHealth {
    /// Records that a control process did not accept a connection, or that a link to it ended.
    pub fn failed(&mut self, now: Timestamp, control: SocketAddr) {
        self.failures.insert(control, now);
    }

    /// Records that a lease was granted.
    pub fn lease_granted(&mut self, now: Timestamp) {
        self.last_lease = Some(now);
    }

    /// The configured control processes that have not failed lately, or the learned ones if all
    /// configured ones have; empty if all have failed. Keeps the order of the addresses, and
    /// forgets the failures of all others.
    pub fn usable(
        &mut self,
        now: Timestamp,
        configured: &[SocketAddr],
        learned: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        self.failures
            .retain(|control, _| configured.contains(control) || learned.contains(control));
        let usable = self.without_failure(now, configured);
        if usable.is_empty() { self.without_failure(now, learned) } else { usable }
    }

    /// Takes these control processes in turn, beginning with the one that failed first: it counts
    /// as failed from now on. None if there are none.
    pub fn next_in_turn(&mut self, now: Timestamp, controls: &[SocketAddr]) -> Option<SocketAddr> {
        let failed_at = |control: &&SocketAddr| self.failures.get(control).copied();
        let next = *controls.iter().min_by_key(failed_at)?;
        self.failed(now, next);
        Some(next)
    }

    fn without_failure(&self, now: Timestamp, controls: &[SocketAddr]) -> Vec<SocketAddr> {
        let has_failed = |control: &SocketAddr| {
            self.failures.get(control).is_some_and(|failed| self.is_recent(now, *failed))
        };
        controls.iter().copied().filter(|control| !has_failed(control)).collect()
    }

    fn is_recent(&self, now: Timestamp, failed: Timestamp) -> bool {
        let granted_since = self.last_lease.is_some_and(|lease| lease > failed);
        !granted_since || now.since(failed) < FORGET_AFTER
    }
}
