//! Assignment of leaves to the control processes that poll them.

use std::collections::BTreeMap;

use gingerkeel_domain::cluster::assigned_poller;
use gingerkeel_domain::identifiers::{ControlName, LeafId};

const LEAVES: u32 = 13_000;

fn controls(count: usize) -> Vec<ControlName> {
    (0..count).map(|number| ControlName::new(format!("control-{number}"))).collect()
}

#[test]
fn every_control_process_polls_its_share() {
    let controls = controls(8);
    let mut counts: BTreeMap<&ControlName, u32> = BTreeMap::new();
    for leaf in 0..LEAVES {
        let control = assigned_poller(LeafId(leaf), &controls).unwrap();
        *counts.entry(control).or_default() += 1;
    }
    let fair = LEAVES / 8;
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| count.abs_diff(fair) < fair / 10), "{counts:?}");
}

#[test]
fn only_the_leaves_of_a_lost_control_process_move() {
    let all = controls(8);
    let left = &all[1..];
    for leaf in (0..LEAVES).map(LeafId) {
        let before = assigned_poller(leaf, &all).unwrap();
        if before != &all[0] {
            assert_eq!(assigned_poller(leaf, left), Some(before));
        }
    }
}

#[test]
fn without_control_processes_nobody_polls() {
    assert_eq!(assigned_poller(LeafId(1), []), None);
}
