//! The `gingerkeel-broker` program: parses flags, loads the settings and runs the broker.

use std::path::PathBuf;
use std::process::exit;

use gingerkeel_settings::{BrokerSettings, EXIT_BAD_SETTINGS, SettingsSource, load, start_logging};
use gumdrop::Options;

/// Broker of the gingerkeel query tier.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and end", no_short)]
    check_settings: bool,
}

fn main() {
    let flags = Flags::parse_args_default_or_exit();
    if flags.version {
        println!("gingerkeel-broker {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let Some(path) = flags.settings else {
        eprintln!("gingerkeel-broker: no settings file: name one with --settings FILE");
        exit(EXIT_BAD_SETTINGS);
    };
    let settings: BrokerSettings = load(&path).unwrap_or_else(|error| {
        eprintln!("gingerkeel-broker: {error}");
        exit(EXIT_BAD_SETTINGS);
    });
    if flags.check_settings {
        println!("{}: settings are valid", path.display());
        return;
    }
    start_logging();
    let source = SettingsSource::new(path, |path| load(path).map_err(|error| error.to_string()));
    let outcome = gingerkeel_transport::block_on(gingerkeel_broker::run(settings, source));
    if let Err(error) = outcome.and_then(|result| result) {
        eprintln!("gingerkeel-broker: {error}: check that the addresses are free");
        exit(1);
    }
}
