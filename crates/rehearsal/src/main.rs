//! `gingerkeel-rehearsal`: stand-ins, load and experiments.

use std::process::exit;

use gingerkeel_rehearsal::leaf::{self, LeafFlags};
use gingerkeel_settings::start_logging;
use gumdrop::Options;

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
    #[options(help = "run a stand-in leaf")]
    Leaf(LeafFlags),
}

fn main() {
    let flags = Flags::parse_args_default_or_exit();
    if flags.version {
        println!("gingerkeel-rehearsal {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    start_logging();
    let outcome = match flags.command {
        Some(Command::Leaf(flags)) => gingerkeel_transport::block_on(leaf::run(flags)),
        None => {
            eprintln!("gingerkeel-rehearsal: no command: see --help");
            exit(2);
        }
    };
    if let Err(error) = outcome.and_then(|result| result) {
        eprintln!("gingerkeel-rehearsal: {error}");
        exit(1);
    }
}
