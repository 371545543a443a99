//! `gingerkeel-simulate`: runs scenarios on a virtual clock and replays them.

use std::process::exit;
use std::str::FromStr;
use std::thread;

use gingerkeel_simulation::serving::{Scenario, run_scenario};
use gumdrop::Options;

/// Exit code when a run broke a promise.
const EXIT_VIOLATION: i32 = 1;
/// Exit code when the flags are wrong.
const EXIT_USAGE: i32 = 2;

/// Deterministic simulation of the gingerkeel query tier.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "list the scenarios")]
    list: bool,
    #[options(help = "scenario to run; all by default", meta = "NAME", no_short)]
    scenario: Option<String>,
    #[options(help = "seed to replay, with its trace", meta = "N", no_short)]
    seed: Option<u64>,
    #[options(help = "seeds to run, the last one included", meta = "A..B", no_short)]
    seeds: Option<SeedRange>,
    #[options(help = "runs at the same time", default = "4", meta = "N", no_short)]
    jobs: usize,
}

#[derive(Debug, Clone, Copy)]
struct SeedRange {
    first: u64,
    last: u64,
}

impl FromStr for SeedRange {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once("..").ok_or("write seeds as 0..99")?;
        let first = first.parse().map_err(|_| "the first seed is not a number")?;
        let last = last.parse().map_err(|_| "the last seed is not a number")?;
        if last < first {
            Err("the last seed is smaller than the first")
        } else {
            Ok(Self { first, last })
        }
    }
}

fn main() {
    let flags = Flags::parse_args_default_or_exit();
    if flags.version {
        println!("gingerkeel-simulate {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let scenarios = chosen_scenarios(&flags);
    if flags.list {
        scenarios.iter().for_each(|scenario| println!("{}", scenario.name));
        return;
    }
    let failed = match (flags.seed, flags.seeds) {
        (Some(seed), _) => scenarios.iter().filter(|scenario| !replay(scenario, seed)).count(),
        (None, seeds) => {
            let seeds = seeds.unwrap_or(SeedRange { first: 0, last: 19 });
            scenarios.iter().map(|scenario| run_many(scenario, seeds, flags.jobs)).sum()
        }
    };
    if failed > 0 {
        exit(EXIT_VIOLATION);
    }
}

fn chosen_scenarios(flags: &Flags) -> Vec<Scenario> {
    let Some(name) = &flags.scenario else {
        return Scenario::all();
    };
    let Some(scenario) = Scenario::named(name) else {
        eprintln!("gingerkeel-simulate: no scenario {name}: see --list");
        exit(EXIT_USAGE);
    };
    vec![scenario]
}

/// Runs one seed with its trace; whether every promise held.
fn replay(scenario: &Scenario, seed: u64) -> bool {
    let faults = scenario.faults(seed);
    match run_scenario(seed, scenario.load, &faults, None, true) {
        Ok(outcome) => {
            outcome.violations.iter().for_each(|violation| println!("violation={violation:?}"));
            println!(
                "trace_hash={:016x} violations={}",
                outcome.trace_hash,
                outcome.violations.len()
            );
            outcome.violations.is_empty()
        }
        Err(error) => {
            println!("error={error}");
            false
        }
    }
}

/// Runs many seeds in parallel; how many broke a promise.
fn run_many(scenario: &Scenario, seeds: SeedRange, jobs: usize) -> usize {
    let jobs = jobs.max(1) as u64;
    let failing: Vec<u64> = thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs)
            .map(|job| {
                scope.spawn(move || {
                    (seeds.first..=seeds.last)
                        .filter(|seed| seed % jobs == job)
                        .filter(|seed| !holds(scenario, *seed))
                        .collect::<Vec<u64>>()
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a worker ends")).collect()
    });
    let count = seeds.last - seeds.first + 1;
    println!("scenario={} seeds={count} failed={}", scenario.name, failing.len());
    for seed in &failing {
        println!("  replay: gingerkeel-simulate --scenario {} --seed {seed}", scenario.name);
    }
    failing.len()
}

fn holds(scenario: &Scenario, seed: u64) -> bool {
    let faults = scenario.faults(seed);
    match run_scenario(seed, scenario.load, &faults, None, false) {
        Ok(outcome) => outcome.violations.is_empty(),
        Err(_) => false,
    }
}
