//! The serving of routes in simulation: brokers that forward and merge, leaves, callers.
//!
//! The brokers' choice of leaves, budget of extra requests, admission, attempts and gathering are
//! the aggregates that the broker itself runs; connections and waiting are modelled here.

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
