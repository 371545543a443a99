//! Scenarios of the control tier.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::consensus::{
    Configuration, ConsensusSettings, Incarnation, MemberId, NodeNumber, Recovered,
};
use gingerkeel_domain::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::broker::{Broker, BrokerIndex};
use super::check::{Violation, check};
use super::fault::{Fault, Mutant, TimedFault};
use super::history::History;
use super::machine::{Machine, MachineIndex};
use super::network::Network;
use super::operator::Operator;
use super::world::{ControlWorld, Event};
use crate::fault_plan::{FaultPlan, at};
use crate::trace::Trace;
use crate::virtual_clock::{ClockError, Schedule, run};

/// Number of control machines, all voters: three in one region and two in the other.
const MACHINES: usize = 5;
/// Number of brokers, half of them in each region.
const BROKERS: usize = 6;
/// Number of operators, half of them in each region.
const OPERATORS: usize = 4;
/// Duration of the phase with changes and faults.
const ACTIVE: Duration = Duration::from_secs(20);
/// Maximum recovery time after all faults have ended.
const SETTLING: Duration = Duration::from_secs(12);
/// Mean interval between independent changes of an operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval in scenarios that need hundreds of changes.
const FAST_CHANGES: Duration = Duration::from_millis(90);
/// A fault plan with the rate of changes.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Mean interval between independent changes of an operator.
    pub change_interval: Duration,
    plan: FaultPlan<Fault>,
}

/// Result of a run.
pub type Outcome = crate::outcome::Outcome<History, Violation>;

fn any_machine(random: &mut Pcg64) -> MachineIndex {
    MachineIndex(random.random_range(0..MACHINES))
}

fn any_broker(random: &mut Pcg64) -> BrokerIndex {
    BrokerIndex(random.random_range(0..BROKERS))
}

fn any_moment(random: &mut Pcg64) -> u64 {
    random.random_range(4_000..9_000)
}

/// The fault at a random time, and its end after `span` milliseconds.
fn for_a_while(random: &mut Pcg64, span: u64, fault: Fault, end: Fault) -> Vec<TimedFault> {
    let moment = any_moment(random);
    vec![at(moment, fault), at(moment + span, end)]
}

/// A fault at each machine in turn, which ends before the fault at the next machine begins.
fn in_turn(
    random: &mut Pcg64,
    fault: fn(MachineIndex) -> Fault,
    end: fn(MachineIndex) -> Fault,
) -> Vec<TimedFault> {
    let first = any_machine(random).0;
    let machines = (0..MACHINES).map(|step| MachineIndex((first + step) % MACHINES));
    let faults = (0..).zip(machines).flat_map(|(step, machine)| {
        let moment = 4_000 + 2_800 * step;
        [at(moment, fault(machine)), at(moment + 1_500, end(machine))]
    });
    faults.collect()
}

macro_rules! scenario {
    ($name:literal, |$random:ident| $faults:expr) => {
        scenario!($name, CHANGE_INTERVAL, |$random| $faults)
    };
    ($name:literal, $interval:expr, |$random:ident| $faults:expr) => {
        Scenario { change_interval: $interval, plan: FaultPlan::new($name, |$random| $faults) }
    };
}

impl Scenario {
    /// All scenarios.
    pub fn all() -> Vec<Self> {
        vec![
            scenario!("control-calm", |_random| Vec::new()),
            scenario!("control-killed-in-turn", |random| in_turn(
                random,
                Fault::Kill,
                Fault::Restart
            )),
            scenario!("control-frozen-in-turn", |random| in_turn(
                random,
                Fault::Freeze,
                Fault::Thaw
            )),
            scenario!("leader-killed", |random| {
                let moment = any_moment(random);
                vec![at(moment, Fault::KillLeader), at(moment + 2_500, Fault::KillLeader)]
            }),
            scenario!("leader-frozen", |random| vec![at(any_moment(random), Fault::FreezeLeader)]),
            scenario!("control-cut-silently", |random| {
                let machine = any_machine(random);
                for_a_while(random, 9_000, Fault::Isolate(machine), Fault::Rejoin(machine))
            }),
            scenario!("control-cut-from-peers", |random| {
                let machine = any_machine(random);
                for_a_while(random, 10_000, Fault::CutFromPeers(machine), Fault::Rejoin(machine))
            }),
            scenario!("control-mute", |random| {
                let machine = any_machine(random);
                for_a_while(random, 5_000, Fault::Mute(machine), Fault::Rejoin(machine))
            }),
            scenario!("control-deaf", |random| {
                let machine = any_machine(random);
                for_a_while(random, 5_000, Fault::Deafen(machine), Fault::Rejoin(machine))
            }),
            scenario!("zone-cut", |random| {
                let moment = any_moment(random);
                let zone = [MachineIndex(0), MachineIndex(1)];
                let cut = zone.map(|machine| at(moment, Fault::Isolate(machine)));
                let heal = zone.map(|machine| at(moment + 8_000, Fault::Rejoin(machine)));
                cut.into_iter().chain(heal).collect()
            }),
            scenario!("regions-cut", |random| for_a_while(
                random,
                10_000,
                Fault::CutRegions,
                Fault::HealRegions
            )),
            scenario!("answers-lost", |_random| vec![at(2_000, Fault::LoseAnswers(0.4))]),
            scenario!("messages-lost", |_random| vec![at(2_000, Fault::LoseMessages(0.05))]),
            scenario!("disk-lost", |random| vec![at(
                any_moment(random),
                Fault::LoseDisk(any_machine(random))
            )]),
            scenario!("second-loss-after-repair", |random| {
                let moment = any_moment(random);
                let first = any_machine(random);
                let second = MachineIndex((first.0 + random.random_range(1..MACHINES)) % MACHINES);
                vec![
                    at(moment, Fault::LoseDisk(first)),
                    at(moment + random.random_range(200..2_500), Fault::Kill(second)),
                    at(moment + 6_000, Fault::Restart(second)),
                ]
            }),
            scenario!("disk-lost-after-cut", |random| {
                let moment = any_moment(random);
                let end = moment + 5_000;
                vec![
                    at(moment, Fault::CutRegions),
                    at(end, Fault::LoseDisk(MachineIndex(0))),
                    at(end, Fault::Kill(MachineIndex(1))),
                    at(end, Fault::Kill(MachineIndex(2))),
                    at(end, Fault::HealRegions),
                    at(end + 4_000, Fault::Restart(MachineIndex(1))),
                    at(end + 4_000, Fault::Restart(MachineIndex(2))),
                ]
            }),
            scenario!("control-all-killed", FAST_CHANGES, |random| {
                let moment = any_moment(random);
                let restarts = (0..MACHINES).map(MachineIndex).map(Fault::Restart);
                let down = restarts.map(|restart| at(moment + 1_000, restart));
                [at(moment, Fault::KillAll)].into_iter().chain(down).collect()
            }),
            scenario!("restart-after-hundreds", FAST_CHANGES, |random| {
                let machine = any_machine(random);
                vec![
                    at(3_000, Fault::Kill(machine)),
                    at(15_000, Fault::Restart(machine)),
                    at(15_500, Fault::RestartBroker(any_broker(random))),
                ]
            }),
            scenario!("broker-frozen", |random| {
                let broker = any_broker(random);
                for_a_while(random, 9_000, Fault::FreezeBroker(broker), Fault::ThawBroker(broker))
            }),
            scenario!("broker-restarted", |random| vec![at(
                any_moment(random),
                Fault::RestartBroker(any_broker(random))
            )]),
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

    /// Combines the faults of two scenarios, with the shorter change interval.
    pub fn with(&self, other: &Self) -> Self {
        Self {
            change_interval: self.change_interval.min(other.change_interval),
            plan: self.plan.with(&other.plan),
        }
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
    change_interval: Duration,
    faults: &[TimedFault],
    mutant: Option<Mutant>,
    print_trace: bool,
) -> Result<Outcome, ClockError> {
    let mut world = world(seed, change_interval, mutant, print_trace);
    let mut start = Schedule::default();
    world.begin(&mut start);
    for fault in faults {
        start.after(fault.at, Event::Fault(fault.fault));
    }
    start.after(ACTIVE, Event::HealAll);
    let mut world = run(world, start, ACTIVE + SETTLING)?;
    world.record_final_states();
    let violations = check(&world.history);
    Ok(Outcome { trace_hash: world.trace.hash(), history: world.history, violations })
}

fn world(
    seed: u64,
    change_interval: Duration,
    mutant: Option<Mutant>,
    print_trace: bool,
) -> ControlWorld {
    let mut random = Pcg64::seed_from_u64(seed);
    let identities: Vec<MemberId> = (1..=MACHINES as u32)
        .map(|node| MemberId { node: NodeNumber(node), incarnation: Incarnation(1) })
        .collect();
    let formed = Recovered::bootstrap(Configuration::of_voters(identities.iter().copied()));
    let machines = identities.iter().map(|identity| Machine::new(*identity, formed.clone()));
    let brokers = (0..BROKERS).map(|_| Broker::new(any_machine(&mut random))).collect();
    let operators =
        (0..OPERATORS).map(|number| Operator::new(number, any_machine(&mut random))).collect();
    ControlWorld {
        now: Timestamp::ZERO,
        machines: machines.collect(),
        brokers,
        operators,
        change_interval,
        changes_end: Timestamp::ZERO.after(ACTIVE),
        races: 0,
        network: Network::default(),
        history: History::default(),
        trace: Trace::new(print_trace),
        random,
        mutant,
        applied: BTreeMap::new(),
        settings: ConsensusSettings { trailing_entries: 20, ..ConsensusSettings::default() },
    }
}
