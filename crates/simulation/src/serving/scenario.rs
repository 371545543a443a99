//! Scenarios of the serving tier: the deployment, its load and its faults.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gingerkeel_domain::catalog::{CallerAccount, Catalog, Change, Leaf, LeafState, Placement};
use gingerkeel_domain::identifiers::{
    BrokerRun, CallerName, IndexVersion, LeafId, PartitionEpoch, RegionName, ServiceName, ShardId,
    Snapshot, ZoneName,
};
use gingerkeel_domain::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::broker::{BrokerIndex, BrokerModel};
use super::caller::{CALLER, ClassLoad, classes};
use super::check::{Violation, check};
use super::fault::{Fault, Mutant, TimedFault};
use super::history::History;
use super::leaf::LeafModel;
use super::network::Network;
use super::world::{Event, SERVICE, ServingWorld, assignments};
use crate::fault_plan::{FaultPlan, at};
use crate::trace::Trace;
use crate::virtual_clock::{ClockError, Schedule, run};

/// Number of brokers.
const BROKERS: usize = 3;
/// Initial number of shards.
const SHARDS: u32 = 4;
/// Number of replicas of each shard.
const REPLICAS: u32 = 3;
/// Number of concurrent requests at a leaf.
const SLOTS: u32 = 5;
/// Number of concurrent queries at a broker.
const CONCURRENCY: u32 = 12;
/// Duration of the load.
const ARRIVALS: Duration = Duration::from_secs(6);
/// Time limit for outcomes after the end of the load.
const SETTLING: Duration = Duration::from_secs(4);
/// Budget that exceeds any load.
const AMPLE: u64 = 1_000_000_000;
/// Load in queries per second at about half of the capacity.
const HALF_LOAD: f64 = 400.0;

/// A fault plan with its load.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Load as a multiple of half the capacity.
    pub load: f64,
    plan: FaultPlan<Fault>,
}

/// Result of a run.
pub type Outcome = crate::outcome::Outcome<History, Violation>;

fn any_leaf(random: &mut Pcg64) -> LeafId {
    LeafId(random.random_range(0..SHARDS * REPLICAS))
}

fn any_broker(random: &mut Pcg64) -> BrokerIndex {
    BrokerIndex(random.random_range(0..BROKERS))
}

fn any_moment(random: &mut Pcg64) -> u64 {
    random.random_range(500..3000)
}

macro_rules! scenario {
    ($name:literal, $load:expr, |$random:ident| $faults:expr) => {
        Scenario { load: $load, plan: FaultPlan::new($name, |$random| $faults) }
    };
}

impl Scenario {
    /// All scenarios.
    pub fn all() -> Vec<Self> {
        vec![
            scenario!("calm", 1.0, |_random| Vec::new()),
            scenario!("straggler", 1.0, |random| vec![at(
                any_moment(random),
                Fault::Slow { leaf: any_leaf(random), factor: 10.0 }
            )]),
            scenario!("replica-lost", 1.0, |random| {
                let leaf = any_leaf(random);
                let moment = any_moment(random);
                vec![at(moment, Fault::Kill(leaf)), at(moment + 1500, Fault::Restart(leaf))]
            }),
            scenario!("freeze", 1.0, |random| {
                let leaf = any_leaf(random);
                let moment = any_moment(random);
                vec![at(moment, Fault::Freeze(leaf)), at(moment + 1200, Fault::Thaw(leaf))]
            }),
            scenario!("cut", 1.0, |random| {
                let (broker, leaf) = (any_broker(random), any_leaf(random));
                let moment = any_moment(random);
                vec![
                    at(moment, Fault::Cut(broker, leaf)),
                    at(moment + 1500, Fault::Heal(broker, leaf)),
                ]
            }),
            scenario!("late-replies", 1.0, |random| vec![
                at(
                    500,
                    Fault::LateReplies {
                        leaf: any_leaf(random),
                        spread: Duration::from_millis(150)
                    }
                ),
                at(500, Fault::DuplicateReplies(any_leaf(random))),
            ]),
            scenario!("wrong-version", 1.0, |random| vec![at(
                any_moment(random),
                Fault::WrongVersion(any_leaf(random))
            )]),
            scenario!("fails-fast", 1.0, |random| vec![at(
                any_moment(random),
                Fault::FailFast(any_leaf(random))
            )]),
            scenario!("version-change", 1.0, |random| {
                let moment = any_moment(random);
                vec![
                    at(moment, Fault::PublishNext),
                    at(moment + 400, Fault::PublishNext),
                    at(moment + 800, Fault::PublishNext),
                ]
            }),
            scenario!("version-lost", 1.0, |random| vec![at(
                any_moment(random),
                Fault::LoseVersion(any_leaf(random), ShardId(0))
            )]),
            scenario!("repartition", 1.0, |random| vec![at(
                any_moment(random),
                Fault::Repartition(random.random_range(2..6))
            )]),
            scenario!("drain-by-operator", 1.0, |random| vec![at(
                any_moment(random) / 2,
                Fault::DrainByOperator(any_leaf(random))
            )]),
            scenario!("drain-by-leaf", 1.0, |random| vec![at(
                any_moment(random) / 2,
                Fault::DrainByLeaf(any_leaf(random))
            )]),
            scenario!("planned-stop", 1.0, |random| vec![at(
                any_moment(random),
                Fault::StopBroker(any_broker(random))
            )]),
            scenario!("broker-killed", 1.0, |random| vec![at(
                any_moment(random),
                Fault::KillBroker(any_broker(random))
            )]),
            scenario!("overload-2", 4.0, |_random| Vec::new()),
            scenario!("overload-4", 8.0, |_random| Vec::new()),
            scenario!("short-queues", 8.0, |random| vec![at(
                any_moment(random) / 2,
                Fault::ShortenQueues(random.random_range(2..12))
            )]),
            scenario!("threshold", 8.0, |random| vec![at(
                any_moment(random) / 2,
                Fault::SetThreshold(random.random_range(0..2))
            )]),
            scenario!("budget-cut", 1.0, |random| vec![at(
                any_moment(random) / 2,
                Fault::CutBudget(random.random_range(50..200))
            )]),
            scenario!("resent-keys", 1.0, |_random| vec![at(0, Fault::ResendUnderKeys)]),
            scenario!("resent-keys-replica-lost", 1.0, |random| {
                let leaf = any_leaf(random);
                let moment = any_moment(random);
                vec![at(0, Fault::ResendUnderKeys), at(moment, Fault::Kill(leaf))]
            }),
        ]
    }

    /// Finds a scenario by name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|scenario| scenario.name() == name)
    }

    /// Scenario name. A pair has the names of both scenarios.
    pub fn name(&self) -> String {
        self.plan.name()
    }

    /// Combines the faults of two scenarios, with the higher load.
    pub fn with(&self, other: &Self) -> Self {
        Self { load: self.load.max(other.load), plan: self.plan.with(&other.plan) }
    }

    /// Draws the faults for `seed`.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault> {
        self.plan.faults(seed)
    }
}

/// Runs the world with `faults` under `load` and checks its history.
///
/// # Errors
/// Returns a [`ClockError`] if the code under simulation panics.
pub fn run_scenario(
    seed: u64,
    load: f64,
    faults: &[TimedFault],
    mutant: Option<Mutant>,
    print_trace: bool,
) -> Result<Outcome, ClockError> {
    let loads = classes(HALF_LOAD * load);
    let mut world = world(seed, loads, mutant, print_trace);
    let mut start = Schedule::default();
    for change in initial_changes(&world.loads) {
        world.accept(&change, &mut start);
    }
    for class in 0..world.loads.len() {
        start.after(Duration::from_millis(100), Event::CallerArrives(class));
    }
    for fault in faults {
        start.after(fault.at, Event::Fault(fault.fault));
    }
    let mut world = run(world, start, ARRIVALS + SETTLING)?;
    world.record_charges();
    let violations = check(&world.history);
    Ok(Outcome { trace_hash: world.trace.hash(), history: world.history, violations })
}

fn world(
    seed: u64,
    loads: Vec<ClassLoad>,
    mutant: Option<Mutant>,
    print_trace: bool,
) -> ServingWorld {
    let mut random = Pcg64::seed_from_u64(seed);
    let brokers = (0..BROKERS as u64)
        .map(|number| BrokerModel::new(random.random(), BrokerRun(number), mutant))
        .collect();
    let leaves: BTreeMap<LeafId, LeafModel> = (0..SHARDS * REPLICAS)
        .map(LeafId)
        .map(|id| (id, LeafModel::new(SLOTS as usize, first_snapshot())))
        .collect();
    ServingWorld {
        brokers,
        leaves,
        catalog: Catalog::default(),
        loads,
        arrivals_end: Timestamp::ZERO.after(ARRIVALS),
        history: History::default(),
        trace: Trace::new(print_trace),
        network: Network::default(),
        resending: false,
        random,
        mutant,
    }
}

fn first_snapshot() -> Snapshot {
    Snapshot { epoch: PartitionEpoch(1), version: IndexVersion(1) }
}

fn initial_changes(loads: &[ClassLoad]) -> Vec<Change> {
    let service = ServiceName::new(SERVICE);
    let mut changes =
        vec![Change::DefineService { service: service.clone(), concurrency: CONCURRENCY }];
    let account = CallerAccount { budget_per_second: AMPLE, burst: AMPLE };
    changes.push(Change::DefineCaller { caller: CallerName::new(CALLER), account });
    changes.extend(
        loads.iter().map(|load| Change::DefineClass {
            service: service.clone(),
            policy: load.policy.clone(),
        }),
    );
    changes.extend((0..SHARDS * REPLICAS).map(|number| Change::AddLeaf(leaf(number))));
    changes.push(Change::Repartition { service: service.clone(), shards: SHARDS });
    changes.extend(assignments(&service, SHARDS, (0..SHARDS * REPLICAS).map(LeafId)));
    changes.push(Change::PublishVersion { service, version: IndexVersion(1) });
    changes
}

fn leaf(number: u32) -> Leaf {
    let port = 9000 + u16::try_from(number).expect("a run has few leaves");
    Leaf {
        id: LeafId(number),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        placement: Placement {
            region: RegionName::new("south"),
            zone: ZoneName::new(format!("zone-{}", number % 3)),
        },
        slots: SLOTS,
        connection_limit: 75,
        state: LeafState::Active,
    }
}
