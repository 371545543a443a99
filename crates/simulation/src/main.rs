//! `gingerkeel-simulate` runs and replays scenarios on a virtual clock.

use std::process::exit;
use std::str::FromStr;
use std::thread;

use gingerkeel_simulation::suite::Scenario;
use gumdrop::Options;

/// Exit code if a run has violations.
const EXIT_VIOLATION: i32 = 1;
/// Exit code for invalid flags.
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
    #[options(help = "second scenario, whose faults are added", meta = "NAME", no_short)]
    with: Option<String>,
    #[options(help = "run every pair of scenarios", no_short)]
    pairs: bool,
    #[options(help = "seed to replay with its trace", meta = "N", no_short)]
    seed: Option<u64>,
    #[options(help = "inclusive range of seeds to run", meta = "A..B", no_short)]
    seeds: Option<SeedRange>,
    #[options(help = "number of parallel runs", default = "4", meta = "N", no_short)]
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
    let scenarios = selected_scenarios(&flags);
    if flags.list {
        scenarios.iter().for_each(|scenario| println!("{}", scenario.name()));
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

fn selected_scenarios(flags: &Flags) -> Vec<Scenario> {
    let first = flags.scenario.as_deref().map(named);
    let second = flags.with.as_deref().map(named);
    match (first, second) {
        (Some(first), Some(second)) => match first.with(&second) {
            Some(pair) => vec![pair],
            None => fail("the scenarios are of different tiers: choose two of one tier"),
        },
        (Some(first), None) if flags.pairs => pairs(&[first]),
        (Some(first), None) => vec![first],
        (None, _) if flags.pairs => pairs(&Scenario::all()),
        (None, _) => Scenario::all(),
    }
}

fn named(name: &str) -> Scenario {
    Scenario::named(name)
        .unwrap_or_else(|| fail(&format!("no scenario {name}: choose one of --list")))
}

fn fail(message: &str) -> ! {
    eprintln!("gingerkeel-simulate: {message}");
    exit(EXIT_USAGE);
}

/// Pairs of each scenario in `firsts` with all scenarios of its tier, including itself since a
/// fault may occur twice.
fn pairs(firsts: &[Scenario]) -> Vec<Scenario> {
    let seconds = Scenario::all();
    let pairs = firsts.iter().flat_map(|first| seconds.iter().map(|second| first.with(second)));
    pairs.flatten().collect()
}

/// Runs one seed and prints its trace. Returns whether the run has no violations.
fn replay(scenario: &Scenario, seed: u64) -> bool {
    match scenario.run(seed, true) {
        Ok(report) => {
            report.violations.iter().for_each(|violation| println!("violation={violation}"));
            let count = report.violations.len();
            println!("trace_hash={:016x} violations={count}", report.trace_hash);
            count == 0
        }
        Err(error) => {
            println!("error={error}");
            false
        }
    }
}

/// Runs a range of seeds in parallel. Returns the number of seeds with violations.
fn run_many(scenario: &Scenario, seeds: SeedRange, jobs: usize) -> usize {
    let jobs = jobs.max(1) as u64;
    let failing: Vec<u64> = thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs)
            .map(|job| {
                scope.spawn(move || {
                    (seeds.first..=seeds.last)
                        .filter(|seed| seed % jobs == job)
                        .filter(|seed| !passes(scenario, *seed))
                        .collect::<Vec<u64>>()
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a worker ends")).collect()
    });
    let count = seeds.last - seeds.first + 1;
    println!("scenario=\"{}\" seeds={count} failed={}", scenario.name(), failing.len());
    for seed in &failing {
        println!("  replay: gingerkeel-simulate {} --seed {seed}", scenario.flags());
    }
    failing.len()
}

fn passes(scenario: &Scenario, seed: u64) -> bool {
    scenario.run(seed, false).is_ok_and(|report| report.violations.is_empty())
}
