//! Connections to leaves and the HTTP exchange on them.

mod connection;
mod pool;
mod wire;

pub use connection::LeafMessage;
pub use pool::{LeafPool, LeafWork};
pub use wire::{RequestContext, WireRequest};
