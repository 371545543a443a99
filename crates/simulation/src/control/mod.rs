//! Simulation of the control tier: replicated configuration, broker feeds, operators, faults and
//! checks.

mod broker;
mod brokers;
mod check;
mod disk;
mod fault;
mod faults;
mod feeds;
mod history;
mod machine;
mod machines;
mod message;
mod network;
mod operator;
mod operators;
mod scenario;
mod world;

pub use broker::BrokerIndex;
pub use check::{Violation, check};
pub use fault::{Fault, Mutant, TimedFault};
pub use history::History;
pub use machine::MachineIndex;
pub use scenario::{Outcome, Scenario, run_scenario};
