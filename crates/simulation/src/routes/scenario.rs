//! Scenarios of route serving: the load and its faults.

use std::time::Duration;

use gingerkeel_domain::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::bounds::ADDRESS_REUSE;
use super::check::{Violation, check};
use super::fault::{Fault, LeafPlace, Mutant, TimedFault};
use super::history::History;
use super::leaf::LeafMode;
use super::world::{Event, LEAVES, RouteWorld, SHARDS};
use crate::fault_plan::{FaultPlan, at};
use crate::trace::Trace;
use crate::virtual_clock::{ClockError, Schedule, run};

/// Duration of the load.
const ARRIVALS: Duration = Duration::from_secs(6);
/// Time limit for responses after the end of the load.
const SETTLING: Duration = Duration::from_secs(2);

/// A fault plan under the default load.
#[derive(Debug, Clone)]
pub struct Scenario {
    plan: FaultPlan<Fault>,
}

/// Result of a run.
pub type Outcome = crate::outcome::Outcome<History, Violation>;

fn any_leaf(random: &mut Pcg64) -> LeafPlace {
    let service = random.random_range(0..=SHARDS);
    LeafPlace { service, leaf: random.random_range(0..LEAVES) }
}

fn any_moment(random: &mut Pcg64) -> u64 {
    random.random_range(500..3_000)
}

fn leaves_of(service: usize) -> impl Iterator<Item = LeafPlace> {
    (0..LEAVES).map(move |leaf| LeafPlace { service, leaf })
}

/// Changes the mode of the leaves for a limited time.
fn for_a_while(
    random: &mut Pcg64,
    leaves: impl Iterator<Item = LeafPlace>,
    mode: LeafMode,
) -> Vec<TimedFault> {
    let (from, to) = (any_moment(random), random.random_range(3_500..5_000));
    let faults = leaves.flat_map(|leaf| {
        [at(from, Fault::Mode(leaf, mode)), at(to, Fault::Mode(leaf, LeafMode::Sound))]
    });
    faults.collect()
}

/// Changes the mode of each leaf for a limited time, with probability `share`.
fn at_random_leaves(random: &mut Pcg64, share: f64, mode: LeafMode) -> Vec<TimedFault> {
    let places: Vec<LeafPlace> =
        super::world::places().filter(|_| random.random_bool(share)).collect();
    for_a_while(random, places.into_iter(), mode)
}

/// Two leaves of every shard except one end. They refuse connections or do not respond, until new
/// leaves of the remaining shard reuse their addresses while the directory still lists the ended
/// leaves. All leaves of the remaining shard are slow, so that brokers use up its extra load
/// budget.
fn addresses_taken(random: &mut Pcg64) -> Vec<TimedFault> {
    let receiver = random.random_range(0..SHARDS);
    let survivor = random.random_range(0..LEAVES);
    let ends = any_moment(random);
    let slow = leaves_of(receiver).map(|leaf| at(ends - 500, Fault::Slow(leaf, 6.0)));
    let mut faults: Vec<TimedFault> = slow.collect();
    let ended = super::world::places().filter(|place| {
        place.service < SHARDS && place.service != receiver && place.leaf != survivor
    });
    for place in ended {
        let moment = ends + random.random_range(0..100);
        let mode = if random.random_bool(0.5) { LeafMode::Down } else { LeafMode::Dark };
        faults.push(at(moment, Fault::Mode(place, mode)));
        let taken = LeafMode::AddressTaken(receiver);
        faults.push(at(moment + ADDRESS_REUSE.as_millis() as u64, Fault::Mode(place, taken)));
    }
    faults
}

impl Scenario {
    fn new(name: &'static str, draw: crate::fault_plan::DrawFaults<Fault>) -> Self {
        Self { plan: FaultPlan::new(name, draw) }
    }

    /// All scenarios.
    pub fn all() -> Vec<Self> {
        vec![
            Self::new("routes-calm", |_random| Vec::new()),
            Self::new("routes-slow-leaf", |random| {
                let leaf = any_leaf(random);
                vec![at(any_moment(random), Fault::Slow(leaf, 10.0))]
            }),
            Self::new("routes-slow-everywhere", |random| {
                let moment = any_moment(random);
                let slow = super::world::places().filter(|_| random.random_bool(0.3));
                slow.map(|leaf| at(moment, Fault::Slow(leaf, 10.0))).collect()
            }),
            Self::new("routes-leaf-down", |random| {
                let leaf = any_leaf(random);
                for_a_while(random, std::iter::once(leaf), LeafMode::Down)
            }),
            Self::new("routes-leaf-dark", |random| {
                let leaf = any_leaf(random);
                for_a_while(random, std::iter::once(leaf), LeafMode::Dark)
            }),
            Self::new("routes-shard-dark", |random| {
                let shard = random.random_range(0..SHARDS);
                for_a_while(random, leaves_of(shard), LeafMode::Dark)
            }),
            Self::new("routes-single-service-down", |random| {
                for_a_while(random, leaves_of(SHARDS), LeafMode::Down)
            }),
            Self::new("routes-answers-lost", |random| {
                at_random_leaves(random, 0.3, LeafMode::LosesAnswers)
            }),
            Self::new("routes-failures", |random| at_random_leaves(random, 0.4, LeafMode::Fails)),
            Self::new("routes-refusals", |random| at_random_leaves(random, 0.4, LeafMode::Refuses)),
            Self::new("routes-leaving", |random| {
                let moment = any_moment(random);
                let leaf = random.random_range(0..LEAVES);
                let places = (0..=SHARDS).map(|service| LeafPlace { service, leaf });
                places.map(|place| at(moment, Fault::Leaving(place))).collect()
            }),
            Self::addresses_taken(),
            Self::new("routes-burst", |random| {
                let moment = any_moment(random);
                vec![at(moment, Fault::Load(14.0)), at(moment + 1_500, Fault::Load(1.0))]
            }),
        ]
    }

    /// Scenario in which leaves end, and leaves of another service reuse their addresses.
    pub fn addresses_taken() -> Self {
        Self::new("routes-addresses-taken", addresses_taken)
    }

    /// Finds a scenario by name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|scenario| scenario.name() == name)
    }

    /// Scenario name. A pair has the names of both scenarios.
    pub fn name(&self) -> String {
        self.plan.name()
    }

    /// Combines the faults of two scenarios.
    pub fn with(&self, other: &Self) -> Self {
        Self { plan: self.plan.with(&other.plan) }
    }

    /// Draws the faults for `seed`.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault> {
        self.plan.faults(seed)
    }
}

/// Runs the world with `faults` and checks its history.
///
/// # Errors
/// Returns a [`ClockError`] if the code under simulation panics.
pub fn run_scenario(
    seed: u64,
    faults: &[TimedFault],
    mutant: Option<Mutant>,
    print_trace: bool,
) -> Result<Outcome, ClockError> {
    let random = Pcg64::seed_from_u64(seed);
    let arrivals_end = Timestamp::ZERO.after(ARRIVALS);
    let mut world = RouteWorld::new(random, arrivals_end, mutant, Trace::new(print_trace));
    let mut start = Schedule::default();
    world.start(&mut start);
    for fault in faults {
        start.after(fault.at, Event::Fault(fault.fault));
    }
    let world = run(world, start, ARRIVALS + SETTLING)?;
    let violations = check(&world.history);
    Ok(Outcome { trace_hash: world.trace.hash(), history: world.history, violations })
}
