//! One test for each way in which a kill, a full disk or a failed sync damaged a folder later.
//!
//! Each runs over seeds, since a loss of power keeps or loses what was not synced by chance.

use gingerkeel_control::storage::StorageError;
use gingerkeel_domain::consensus::Recovered;

use crate::disks::volatile::{DiskFaults, VolatileDisk};
use crate::model::{interrupted, normalized};
use crate::support::{
    entry, open, operations, positions, recovered, run, run_until_killed, snapshot, write,
};

/// Seeds of a test.
const SEEDS: std::ops::Range<u64> = 0..40;
/// More operations than the longest batch of these tests takes.
const BATCH_OPERATIONS: u64 = 50;

/// Guards against a folder that mixes an earlier write with the snapshot of a later one: a batch that
/// a full disk interrupted was written again from its start.
#[test]
fn writes_persisted_before_the_disk_was_full_are_not_written_again() {
    let batch = vec![
        write(vec![entry(1, 1), entry(1, 2), entry(1, 3)]),
        snapshot(1, 1, false),
        write(vec![entry(2, 3), entry(2, 4)]),
        snapshot(2, 3, false),
        write(vec![entry(2, 5)]),
    ];
    let possible = interrupted(&Recovered::default(), &batch);
    for writes in 0..BATCH_OPERATIONS {
        for killed_after in 0..BATCH_OPERATIONS {
            let disk = VolatileDisk::new(1);
            disk.start_process(None);
            let mut storage = open(&disk).expect("the folder opens").storage;
            let mut left = batch.clone().into();
            disk.set_writes_left(Some(writes));
            let _ = storage.persist(&mut left);
            disk.set_writes_left(None);
            disk.start_process(Some(killed_after));
            let _ = storage.persist(&mut left);
            let found = normalized(recovered(&disk));
            let case = format!("full after {writes} writes, killed after {killed_after}");
            assert!(possible.contains(&found), "{case}: {found:?}");
        }
    }
}

/// Guards against a folder that is refused since a start took over a record that a killed process
/// had not synced.
#[test]
fn record_read_before_its_sync_survives_a_later_loss_of_power() {
    let first = [vec![write(vec![entry(1, 1)])]];
    let both = [first[0].clone(), vec![write(vec![entry(1, 2)])]];
    let last = [vec![write(vec![entry(1, 3)])]];
    for seed in SEEDS {
        let until_sync = operations(&VolatileDisk::new(seed), &both) - 1;
        let disk = VolatileDisk::new(seed);
        run_until_killed(&disk, until_sync, &both);
        assert_eq!(positions(&recovered(&disk)), [(1, 1), (1, 2)]);
        run(&disk, &last);
        disk.lose_power();
        assert_eq!(positions(&recovered(&disk)), [(1, 1), (1, 2), (1, 3)], "seed {seed}");
    }
}

/// Guards against a gap between segments when power is lost while a snapshot removes several.
#[test]
fn segments_removed_by_a_snapshot_leave_no_gap_after_a_loss_of_power() {
    let removal = [vec![snapshot(1, 4, false)]];
    let with_segments = |seed| {
        let disk = VolatileDisk::new(seed);
        (1..=5).for_each(|index| run(&disk, &[vec![write(vec![entry(1, index)])]]));
        disk
    };
    for seed in SEEDS {
        for killed_after in 0..=operations(&with_segments(seed), &removal) {
            let disk = with_segments(seed);
            run_until_killed(&disk, killed_after, &removal);
            disk.lose_power();
            let positions = positions(&recovered(&disk));
            assert_eq!(positions.last(), Some(&(1, 5)), "seed {seed}, kill {killed_after}");
        }
    }
}

/// Guards against the loss of entries that were persisted after a start which found a snapshot
/// installed and the log that it replaced still there.
#[test]
fn entries_after_an_interrupted_installation_of_a_snapshot_are_kept() {
    let replaced = [vec![write(vec![entry(1, 1), entry(1, 2), entry(1, 3)])]];
    let installation = [vec![snapshot(2, 2, true)]];
    let with_log = || {
        let disk = VolatileDisk::new(1);
        run(&disk, &replaced);
        disk
    };
    let mut interrupted = 0;
    for killed_after in 0..=operations(&with_log(), &installation) {
        let disk = with_log();
        run_until_killed(&disk, killed_after, &installation);
        if recovered(&disk).snapshot.is_none() {
            continue;
        }
        interrupted += 1;
        run(&disk, &[vec![write(vec![entry(2, 3)])]]);
        assert_eq!(positions(&recovered(&disk)), [(2, 3)], "killed after {killed_after}");
    }
    assert!(interrupted > 1, "the snapshot is there in {interrupted} cases");
}

/// Guards against an incomplete record in the middle of the log after a disk was full: the record was
/// cut off again, and the next segment was started before that was synced.
#[test]
fn record_cut_off_on_a_full_disk_does_not_come_back_with_a_loss_of_power() {
    for seed in SEEDS {
        let disk = VolatileDisk::new(seed);
        disk.start_process(None);
        let mut storage = open(&disk).expect("the folder opens").storage;
        let entries = (1..=3).map(|index| entry(1, index)).collect();
        storage.persist(&mut vec![write(entries)].into()).expect("persisted");
        disk.set_faults(DiskFaults { full: 1.0, ..DiskFaults::default() });
        let error = storage.persist(&mut vec![write(vec![entry(1, 4)])].into()).expect_err("full");
        assert!(matches!(error, StorageError::Full(_)), "{error}");
        disk.set_faults(DiskFaults::default());
        storage.persist(&mut vec![snapshot(1, 2, false)].into()).expect("persisted");
        disk.lose_power();
        assert_eq!(positions(&recovered(&disk)), [(1, 3)], "seed {seed}");
    }
}

/// Guards against a record that a start reads back although its sync failed, so that the disk never
/// gets it.
#[test]
fn record_of_a_failed_sync_is_durable_once_a_start_has_recovered_it() {
    for seed in SEEDS {
        let disk = VolatileDisk::new(seed);
        run(&disk, &[vec![write(vec![entry(1, 1)])]]);
        disk.start_process(None);
        let mut storage = open(&disk).expect("the folder opens").storage;
        disk.set_faults(DiskFaults { failed_sync: 1.0, ..DiskFaults::default() });
        let error = storage.persist(&mut vec![write(vec![entry(1, 2)])].into()).expect_err("fails");
        assert!(matches!(error, StorageError::SyncFailed(..)), "{error}");
        disk.set_faults(DiskFaults::default());
        assert_eq!(positions(&recovered(&disk)), [(1, 1), (1, 2)]);
        run(&disk, &[vec![write(vec![entry(1, 3)])]]);
        disk.lose_power();
        assert_eq!(positions(&recovered(&disk)), [(1, 1), (1, 2), (1, 3)], "seed {seed}");
    }
}
