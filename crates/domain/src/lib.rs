//! Domain model of the gingerkeel query tier, without I/O.
//!
//! The crate reads no clock, socket, file or entropy source: an aggregate takes the current
//! [`time::Timestamp`] and an event, updates its state and returns typed effects. The programs
//! and the simulation drive the same types.

pub mod admission;
pub mod budget;
pub mod catalog;
pub mod cluster;
pub mod consensus;
pub mod crash_suspects;
pub mod directory;
pub mod dispatch;
pub mod feed;
pub mod forwarding;
mod hash;
pub mod identifiers;
pub mod leaf_warnings;
pub mod memory;
pub mod metering;
pub mod query;
pub mod quota;
pub mod request_key;
pub mod rollout;
pub mod routes;
pub mod routing;
pub mod tail;
pub mod time;
