//! The serving tier in simulation: brokers' dispatchers, leaves, callers and the network.

mod broker;
mod caller;
mod check;
mod fault;
mod history;
mod leaf;
mod network;
mod scenario;
mod world;

pub use check::{Violation, check};
pub use fault::{Fault, Mutant, TimedFault};
pub use history::{History, LeafRun, QueryRecord};
pub use scenario::{Outcome, Scenario, run_scenario};
