//! Tests of the replicated log's task: refused peers and a full disk.

mod full_disk;
mod peers;
mod support;
