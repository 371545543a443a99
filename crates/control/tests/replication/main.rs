//! Tests of the replicated log's task: refused peers and a full disk.

#[path = "../disks/mod.rs"]
mod disks;
mod endless_frames;
mod full_disk;
mod peers;
mod snapshots;
mod support;
