//! Deterministic simulation of the domain code on a virtual clock.
//!
//! A [`virtual_clock::World`] contains all nodes and the network between them. nexosim schedules
//! its events on a single thread, so that a run with the same seed produces an identical trace.

pub mod control;
pub mod fault_plan;
pub mod outcome;
pub mod routes;
pub mod serving;
pub mod suite;
pub mod trace;
pub mod virtual_clock;
