//! The task of the replicated log: peers that are refused, and a disk that is full.

mod full_disk;
mod peers;
mod support;
