//! When the log asks its state machine for a snapshot.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use gingerkeel_control::replication::SNAPSHOT_COMMAND_BYTES;
use gingerkeel_control::storage::DiskIo;
use tempfile::TempDir;

use crate::support::{Member, settings};

/// Size of a large command in bytes.
const LARGE: usize = 1_000_000;
/// Time until a snapshot is on disk; generous, for a loaded machine.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn has_snapshot(folder: &Path) -> bool {
    let files = fs::read_dir(folder).expect("the folder is readable");
    files.flatten().any(|file| file.file_name().to_string_lossy().starts_with("snapshot-"))
}

/// Guards against a log of few but large commands, such as whole configurations of many routes, that
/// a member has to take in full when it joins.
#[test]
fn large_commands_lead_to_a_snapshot_long_before_the_usual_number_of_entries() {
    let folder = TempDir::new().expect("a folder");
    let member = Member::start(settings(folder.path(), &[]), Box::new(DiskIo));
    let command: &'static str = "x".repeat(LARGE).leak();
    let commands = SNAPSHOT_COMMAND_BYTES / LARGE + 1;
    let started = Instant::now();
    for _ in 0..commands {
        while member.propose(command).is_err() {
            assert!(started.elapsed() < WAIT_LIMIT, "the member leads");
        }
    }
    while !has_snapshot(folder.path()) {
        assert!(started.elapsed() < WAIT_LIMIT, "no snapshot after {commands} large commands");
        std::thread::sleep(Duration::from_millis(10));
    }
}
