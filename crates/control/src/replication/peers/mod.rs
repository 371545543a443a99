//! Connections to and from the other control processes.

mod directory;
mod incoming;
mod outgoing;
mod usage_outbox;

pub(super) use directory::{PeerDirectory, member};
pub(super) use incoming::serve;
pub(super) use outgoing::Links;
