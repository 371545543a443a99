//! A new identity for a process whose new data folder counts as an earlier one.
//!
//! The incarnation of a folder is the time of its creation. After a folder was lost that was created
//! while the clock stood ahead, the next one has a lower incarnation. Peers refuse it, since it may be
//! an old folder with votes that were overtaken. A folder without a log holds no votes that count, so
//! the process may draw an incarnation above the one that the peers know.

use gingerkeel_domain::consensus::{Incarnation, MemberId, NodeStatus, Term};
use tracing::error;

/// The identity to go on under, if a peer knows `later` and the log holds nothing; none if the present
/// one has to stay.
pub(super) fn renewed(
    status: &NodeStatus,
    later: Incarnation,
    now: Incarnation,
) -> Option<MemberId> {
    let own = status.identity;
    let has_log = status.last.index.0 > 0 || status.term > Term(0);
    if has_log || later <= own.incarnation {
        return None;
    }
    let Some(next) = later.0.checked_add(1) else {
        error!(event = "identity_not_renewed", remedy = "give the machine another address");
        return None;
    };
    Some(MemberId { incarnation: Incarnation(next).max(now), ..own })
}
