//! The rules of the replicated log: a table per rule, a cluster on a virtual network over many
//! seeds, and for each safety rule a mutant that breaks the proof.

mod checker;
mod cluster;
mod commitment;
mod configurations;
mod elections;
mod faults;
mod lab;
mod log_matching;
mod membership;
mod mutants;
mod persistence;
mod reads;
mod seeds;
mod server;
mod snapshots;
