//! The cluster on a virtual network over many seeds.

use rstest::rstest;

use crate::cluster::Cluster;

/// Seeds of one case.
const SEEDS: u64 = 100;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
fn safety_holds_and_the_cluster_heals(#[case] part: u64) {
    let mut commands = 0;
    let mut reads = 0;
    for seed in part * SEEDS..(part + 1) * SEEDS {
        let mut cluster = Cluster::new(seed, None);
        if let Err(violation) = cluster.run() {
            panic!("seed {seed}: {violation}");
        }
        commands += cluster.applied_commands();
        reads += cluster.checker.reads_checked;
    }
    println!("{SEEDS} seeds: {commands} commands applied, {reads} reads confirmed");
    assert!(commands > 100 * SEEDS as usize, "most of the load is served: {commands}");
    assert!(reads > 50 * SEEDS as usize, "most reads are confirmed: {reads}");
}
