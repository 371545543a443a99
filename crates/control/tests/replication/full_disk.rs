//! A full disk stops proposals and is reported, but loses no accepted entry.

use std::path::Path;
use std::time::Duration;

use gingerkeel_control::replication::ProposeError;
use gingerkeel_control::storage::{DiskIo, FolderOwner, Storage};
use gingerkeel_domain::consensus::{Incarnation, NodeNumber};
use tempfile::TempDir;

use crate::disks::faulty::FaultyIo;
use crate::support::{Member, settings};

const PAUSE: Duration = Duration::from_millis(20);
const TRIES: usize = 1_000;

fn propose_until_accepted(member: &Member, command: &'static str) {
    let accepted = (0..TRIES).any(|_| {
        let accepted = member.propose(command).is_ok();
        if !accepted {
            std::thread::sleep(PAUSE);
        }
        accepted
    });
    assert!(accepted, "{command} is accepted");
}

/// Waits for the writer thread to release the folder lock, some time after the member has ended.
fn wait_until_unlocked(folder: &Path) {
    let owner = FolderOwner {
        cluster: "test".into(),
        node: NodeNumber(1),
        new_incarnation: Incarnation(0),
    };
    let free = (0..TRIES).any(|_| {
        std::thread::sleep(PAUSE);
        Storage::open(folder, &owner, Box::new(DiskIo)).is_ok()
    });
    assert!(free, "the folder is unlocked");
}

#[test]
fn full_disk_is_reported_and_proposals_resume_once_there_is_space() {
    let folder = TempDir::new().expect("a folder");
    let disk = FaultyIo::default();
    let member = Member::start(settings(folder.path(), &[]), Box::new(disk.clone()));
    propose_until_accepted(&member, "before");
    disk.set_free_bytes(Some(0));
    assert_eq!(member.propose("during"), Err(ProposeError::Dropped));
    let error = member.propose("refused").expect_err("the disk is full");
    assert!(error.to_string().contains("the disk is full"), "{error}");
    assert!(member.status().storage_error.is_some());
    disk.set_free_bytes(None);
    propose_until_accepted(&member, "after");
    assert_eq!(member.status().storage_error, None);
    member.stop();
    wait_until_unlocked(folder.path());

    let member = Member::start(settings(folder.path(), &[]), Box::new(FaultyIo::default()));
    propose_until_accepted(&member, "last");
    let commands: Vec<String> = member.commands.try_iter().collect();
    assert!(commands.starts_with(&["before".into()]), "{commands:?}");
    assert!(commands.ends_with(&["after".into(), "last".into()]), "{commands:?}");
    assert!(!commands.contains(&"refused".into()), "{commands:?}");
}
