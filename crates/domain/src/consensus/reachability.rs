//! Evidence that the process of another member has ended: its address refuses connections.
//!
//! Unlike silence, a refusal rules out a frozen process, a network partition and a slow link. The
//! process may have been restarted and not listen yet.

use std::time::Duration;

use super::leadership::Role;
use super::node::Node;
use super::types::{MemberId, NodeNumber};
use crate::time::Timestamp;

/// Fraction of the election timeout within which followers of an ended leader start elections. Less
/// than the whole, since no leader is left to be given time, and more than a round trip, so that
/// rarely two of them start at once.
const EARLY_ELECTION_FRACTION: u32 = 4;

impl Node {
    /// Records that the address of a node refuses connections, or that it accepted one again.
    pub fn set_refusing(&mut self, now: Timestamp, node: NodeNumber, refusing: bool) {
        if !refusing {
            self.refusing_since.remove(&node);
            return;
        }
        self.refusing_since.entry(node).or_insert(now);
        let leader_ended = self.leader.is_some_and(|leader| leader.node == node);
        if leader_ended && matches!(self.role, Role::Follower) {
            self.leader = None;
            let spread = self.settings.election_timeout / EARLY_ELECTION_FRACTION;
            let delay = self.random_duration(spread);
            self.election_due = self.election_due.min(now.after(delay));
        }
    }

    /// On the leader: whether a member responds and its address does not refuse connections.
    pub(super) fn is_reachable(&self, now: Timestamp, member: MemberId) -> bool {
        self.is_active(now, member) && !self.refusing_since.contains_key(&member.node)
    }

    /// Whether the address of a member has refused connections for at least `span`.
    pub(super) fn has_refused_for(&self, now: Timestamp, member: MemberId, span: Duration) -> bool {
        let since = self.refusing_since.get(&member.node);
        since.is_some_and(|since| now.since(*since) >= span)
    }
}
