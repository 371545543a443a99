//! The cluster on a virtual network over many seeds.

use rstest::rstest;

use crate::cluster::{Cluster, Disks};

/// Seeds of one case.
const SEEDS: u64 = 100;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
fn safety_holds_and_the_cluster_heals(#[case] part: u64) {
    let (commands, reads) = run_seeds(part, Disks::Fast);
    assert!(commands > 100 * SEEDS as usize, "most of the load is served: {commands}");
    assert!(reads > 50 * SEEDS as usize, "most reads are confirmed: {reads}");
}

/// Syncs that may take most of the election timeout, drawn together with all other faults.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
fn safety_holds_and_the_cluster_heals_with_slow_disks(#[case] part: u64) {
    let (commands, reads) = run_seeds(part, Disks::Slow);
    assert!(commands > 0, "commands are applied");
    assert!(reads > 50 * SEEDS as usize, "most reads are confirmed: {reads}");
}

/// Commands applied and reads confirmed.
fn run_seeds(part: u64, disks: Disks) -> (usize, usize) {
    let mut commands = 0;
    let mut reads = 0;
    for seed in part * SEEDS..(part + 1) * SEEDS {
        let mut cluster = Cluster::new(seed, disks, None);
        if let Err(violation) = cluster.run() {
            panic!("seed {seed}: {violation}");
        }
        commands += cluster.applied_commands();
        reads += cluster.checker.reads_checked;
    }
    println!("{SEEDS} seeds: {commands} commands applied, {reads} reads confirmed");
    (commands, reads)
}
