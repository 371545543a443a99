//! `gingerkeel-rehearsal`: stand-ins, load and experiments.

use std::process::exit;

use gingerkeel_rehearsal::bench::{self, BenchFlags};
use gingerkeel_rehearsal::bench_consensus::{self, BenchConsensusFlags};
use gingerkeel_rehearsal::check::{self, CheckFlags};
use gingerkeel_rehearsal::demo::{self, DemoFlags};
use gingerkeel_rehearsal::error::RehearsalError;
use gingerkeel_rehearsal::experiment::{self, RunFlags};
use gingerkeel_rehearsal::leaf::{self, LeafFlags};
use gingerkeel_rehearsal::load::{self, LoadFlags};
use gingerkeel_rehearsal::log_member::{self, LogMemberFlags};
use gingerkeel_rehearsal::soak::{self, SoakFlags};
use gingerkeel_settings::{EXIT_BAD_SETTINGS, start_logging};
use gumdrop::Options;

/// Exit code when a run could not be carried out.
const EXIT_FAILED: i32 = 1;
/// Exit code when a promise was broken.
const EXIT_VIOLATIONS: i32 = 3;

/// Stand-ins, load and experiments for the gingerkeel query tier.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run stand-in leaves")]
    Leaf(LeafFlags),
    #[options(help = "put open-loop load on brokers")]
    Load(LoadFlags),
    #[options(help = "check the records of a run for broken promises")]
    Check(CheckFlags),
    #[options(help = "run a small fleet under load, drain a leaf and kill another")]
    Demo(DemoFlags),
    #[options(help = "run a member of a replicated log of plain words")]
    LogMember(LogMemberFlags),
    #[options(help = "measure commits and recovery of the replicated log")]
    BenchConsensus(BenchConsensusFlags),
    #[options(help = "measure speed, memory and balance")]
    Bench(BenchFlags),
    #[options(help = "run an experiment file")]
    Run(RunFlags),
    #[options(help = "run real processes under random faults and check their promises")]
    Soak(SoakFlags),
}

fn main() {
    let flags = Flags::parse_args_default_or_exit();
    if flags.version {
        println!("gingerkeel-rehearsal {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    start_logging();
    let Some(command) = flags.command else {
        eprintln!("gingerkeel-rehearsal: no command: see --help");
        exit(EXIT_BAD_SETTINGS);
    };
    match run(command) {
        Ok(0) => {}
        Ok(violations) => {
            eprintln!("gingerkeel-rehearsal: {violations} promises were broken");
            exit(EXIT_VIOLATIONS);
        }
        Err(error) => {
            eprintln!("gingerkeel-rehearsal: {error}");
            exit(exit_code(&error));
        }
    }
}

/// Carries out a command; gives the number of broken promises.
fn run(command: Command) -> Result<usize, RehearsalError> {
    match command {
        Command::Leaf(flags) => gingerkeel_transport::block_on(leaf::run(flags))
            .map_err(|error| RehearsalError::resource("runtime", error))?
            .map(|()| 0),
        Command::Load(flags) => load::run(flags).map(|()| 0),
        Command::Check(flags) => check::run(flags),
        Command::Demo(flags) => demo::run(flags),
        Command::BenchConsensus(flags) => bench_consensus::run(flags).map(|()| 0),
        Command::LogMember(flags) => log_member::run(flags).map(|()| 0),
        Command::Bench(flags) => bench::run(flags).map(|()| 0),
        Command::Run(flags) => experiment::run(&flags),
        Command::Soak(flags) => soak::run(&flags),
    }
}

fn exit_code(error: &RehearsalError) -> i32 {
    match error {
        RehearsalError::Settings(_) | RehearsalError::Flag(_) => EXIT_BAD_SETTINGS,
        _ => EXIT_FAILED,
    }
}
