//! Tests of the consensus core: a table per rule, a simulated cluster over many seeds, and for each
//! safety rule a mutant that the tests must detect.

mod checker;
mod cluster;
mod commitment;
mod configurations;
mod elections;
mod ends_and_losses;
mod faults;
mod lab;
mod log_matching;
mod membership;
mod mutants;
mod persistence;
mod reads;
mod seeds;
mod server;
mod slow_disks;
mod slow_writes;
mod snapshots;
mod status;
mod stopping;
