//! Deterministic simulation: the domain aggregates that the programs run, on a virtual clock.
//!
//! A [`virtual_clock::World`] holds every node and the network between them; nexosim orders its
//! events in time on one thread. The same seed gives the same trace, byte for byte.

pub mod control;
pub mod fault_plan;
pub mod outcome;
pub mod routes;
pub mod serving;
pub mod suite;
pub mod trace;
pub mod virtual_clock;
