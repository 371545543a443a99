//! Faults on control machines, drawn from a seed: which machines, in which order, and what its
//! successor's settings name as seeds. No I/O and no clock.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

/// Machines that the settings of each control process name as seeds.
pub const SEEDS: usize = 3;
/// Time after which a successor counts as a machine of the group.
pub const CATCH_UP: Duration = Duration::from_millis(4_300);
/// Share of the rounds in which two machines are lost at the same time.
const OVERLAPPING_SHARE: f64 = 0.5;
/// Share of the seed lists in which one machine is already gone for good.
const STALE_SHARE: f64 = 0.25;

/// What happens to a control machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineFault {
    /// Killed for good and replaced by a machine at another address.
    Lost,
    /// Replaced by a machine at another address that starts first.
    Replaced,
    /// Killed, without its data folder, and started in place.
    Wiped,
    /// Killed and started again.
    Restarted,
    /// Stopped for a while without ending.
    Frozen,
}

/// The faults, and how often each is drawn in relation to the others.
const FAULT_WEIGHTS: [(MachineFault, u32); 5] = [
    (MachineFault::Lost, 3),
    (MachineFault::Replaced, 2),
    (MachineFault::Wiped, 2),
    (MachineFault::Restarted, 1),
    (MachineFault::Frozen, 2),
];

/// One step of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The process of this machine is killed.
    Kill(usize),
    /// The data folder of this machine is removed.
    Wipe(usize),
    /// The process of this machine starts, or goes on after a freeze.
    Run(usize),
    /// The settings of this machine name these seeds from now on.
    Reseed(usize, Vec<usize>),
    /// A machine at a new address starts, whose settings name these seeds.
    StartSuccessor(Vec<usize>),
    /// The process of this machine is frozen.
    Freeze(usize),
    /// The process of this machine is asked to end.
    Stop(usize),
}

/// A step and its time after the start of the round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedStep {
    /// Time after the start of the round.
    pub after: Duration,
    /// What is done.
    pub step: Step,
}

/// The group at the start of a round, when all its machines run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Group {
    /// Machines that belong to the group.
    pub standing: Vec<usize>,
    /// Machines that are gone for good.
    pub gone: Vec<usize>,
}

/// Draws a round: one fault, or two whose times overlap, on different machines.
pub fn draw_round(group: &Group, random: &mut impl Rng) -> Vec<TimedStep> {
    let mut victims = group.standing.clone();
    victims.shuffle(random);
    let faults = if random.random_bool(OVERLAPPING_SHARE) { 2 } else { 1 };
    victims.truncate(faults);
    let mut steps = Vec::new();
    let mut begins = Duration::ZERO;
    for victim in &victims {
        let fault = draw_fault(random);
        let seeds = draw_seeds(group, &victims, random);
        let lasts = Duration::from_millis(random.random_range(200..2_500));
        steps.extend(steps_of(fault, *victim, seeds, begins, lasts));
        begins += Duration::from_millis(random.random_range(0..1_500));
    }
    steps.sort_by_key(|timed| timed.after);
    steps
}

fn draw_fault(random: &mut impl Rng) -> MachineFault {
    let drawn = FAULT_WEIGHTS.choose_weighted(random, |(_, weight)| *weight);
    drawn.map_or(MachineFault::Lost, |(fault, _)| *fault)
}

/// Any three machines of the group as it stands; at least one of them is not hit in this round.
fn draw_seeds(group: &Group, victims: &[usize], random: &mut impl Rng) -> Vec<usize> {
    let unharmed: Vec<usize> =
        group.standing.iter().copied().filter(|machine| !victims.contains(machine)).collect();
    let mut seeds: Vec<usize> = unharmed.choose(random).copied().into_iter().collect();
    if random.random_bool(STALE_SHARE) {
        seeds.extend(group.gone.choose(random));
    }
    let mut others = group.standing.clone();
    others.retain(|machine| !seeds.contains(machine));
    others.shuffle(random);
    seeds.extend(others);
    seeds.truncate(SEEDS);
    seeds.shuffle(random);
    seeds
}

fn steps_of(
    fault: MachineFault,
    victim: usize,
    seeds: Vec<usize>,
    begins: Duration,
    lasts: Duration,
) -> Vec<TimedStep> {
    let at = |after: Duration, step| TimedStep { after: begins + after, step };
    let killed = at(Duration::ZERO, Step::Kill(victim));
    match fault {
        MachineFault::Lost => vec![killed, at(lasts, Step::StartSuccessor(seeds))],
        MachineFault::Replaced => {
            vec![at(Duration::ZERO, Step::StartSuccessor(seeds)), at(CATCH_UP, Step::Stop(victim))]
        }
        MachineFault::Wiped => {
            // Its own seeds may all be gone, and it is no seed of its own.
            let others = seeds.into_iter().filter(|seed| *seed != victim).collect();
            vec![
                killed,
                at(Duration::ZERO, Step::Wipe(victim)),
                at(Duration::ZERO, Step::Reseed(victim, others)),
                at(lasts, Step::Run(victim)),
            ]
        }
        MachineFault::Restarted => vec![killed, at(lasts, Step::Run(victim))],
        MachineFault::Frozen => {
            vec![at(Duration::ZERO, Step::Freeze(victim)), at(lasts * 2, Step::Run(victim))]
        }
    }
}
