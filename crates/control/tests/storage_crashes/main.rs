//! Data folders after kills, losses of power, failed syncs and full disks, at any write and any sync.

mod conversion;
mod directed;
#[path = "../disks/mod.rs"]
mod disks;
mod model;
mod random;
mod support;
