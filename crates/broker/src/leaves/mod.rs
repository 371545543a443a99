//! Connection pools of leaves and the HTTP exchange with leaves.

mod connection;
mod pool;
mod wire;

pub use connection::LeafMessage;
pub use pool::{LeafPool, LeafWork};
pub use wire::{RequestContext, WireRequest};
