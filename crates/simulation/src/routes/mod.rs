//! Simulation of route serving: brokers that forward requests and merge answers, leaves and
//! callers.
//!
//! Leaf selection, extra load budget, admission, attempts and gathering are the domain code of the
//! broker. Connections and timers are simulated.

mod action;
mod bounds;
mod broker;
mod check;
mod fault;
mod history;
mod leaf;
mod request;
mod scenario;
mod world;

pub use check::{Violation, check};
pub use fault::{Fault, Mutant, TimedFault};
pub use history::{Ending, History};
pub use leaf::LeafMode;
pub use scenario::{Outcome, Scenario, run_scenario};
