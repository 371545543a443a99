//! Simulation of the serving tier: dispatchers of brokers, leaves, callers and the network.

mod broker;
mod caller;
mod check;
mod check_accounts;
mod fault;
mod faults;
mod history;
mod leaf;
mod leaves;
mod network;
mod operator;
mod resend;
mod scenario;
mod world;

pub use broker::BrokerIndex;
pub use check::{Violation, check};
pub use fault::{Fault, Mutant, TimedFault};
pub use history::{History, LeafRun, QueryRecord};
pub use scenario::{Outcome, Scenario, run_scenario};
