//! Memory held for the connections of clients.
//!
//! Each message of a client is limited in size, but thousands of clients together can still hold
//! more than the process has. [`MemoryAccount`] bounds the sum, and decides which connections give
//! way when it runs short.

mod account;
mod holding;

pub use account::{CHECK_LIMITS, Charge, ChargeOutcome, MemoryAccount, MemoryLimits, Opened};
pub use holding::{Activity, ConnectionNumber};
