//! Extra load budget of a service whose new leaves reuse the addresses of ended leaves.
//!
//! Guards against extra requests beyond the budget: one shard received 440 extra requests in 10 s
//! for 1,711 requests, with a limit of 400, and another shard 411 with a limit of 409. The
//! directory listed ended leaves for four seconds, while leaves of other shards had started at
//! their addresses after two seconds. Brokers retried the ended leaves, and the new leaves refused
//! these requests with status 421. Such a request is an extra request for the service of the new
//! leaf, but was deducted from no budget, since it was the first attempt at the intended service.

use gingerkeel_simulation::routes::{
    Fault, LeafMode, Scenario, TimedFault, Violation, run_scenario,
};

/// Seeds per test.
const SEEDS: std::ops::Range<u64> = 0..16;

fn violations(seed: u64, faults: &[TimedFault]) -> Vec<Violation> {
    run_scenario(seed, faults, None, false).expect("the run ends").violations
}

#[test]
fn requests_to_reused_addresses_are_within_the_budget_of_the_new_service() {
    for seed in SEEDS {
        let faults = Scenario::addresses_taken().faults(seed);
        assert_eq!(violations(seed, &faults), Vec::new(), "seed {seed}");
    }
}

/// The same leaves end and are slow, but the addresses are not reused.
#[test]
fn ended_leaves_without_address_reuse_are_within_the_budget() {
    let starts =
        |fault: &TimedFault| matches!(fault.fault, Fault::Mode(_, LeafMode::AddressTaken(_)));
    for seed in SEEDS {
        let mut faults = Scenario::addresses_taken().faults(seed);
        faults.retain(|fault| !starts(fault));
        assert_eq!(violations(seed, &faults), Vec::new(), "seed {seed}");
    }
}
