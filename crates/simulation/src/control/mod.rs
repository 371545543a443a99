//! The control tier in simulation: replicated configuration, feeds to brokers, operators, faults
//! and checks.

mod broker;
mod check;
mod disk;
mod fault;
mod faults;
mod history;
mod machine;
mod message;
mod network;
mod operator;
mod scenario;
mod world;

pub use broker::BrokerIndex;
pub use check::{Violation, check};
pub use fault::{Fault, Mutant, TimedFault};
pub use history::History;
pub use machine::MachineIndex;
pub use scenario::{Outcome, Scenario, run_scenario};
