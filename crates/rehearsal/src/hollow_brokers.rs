//! Many brokers' links to control in one process, for scale runs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_broker::catalog_follower::follow_catalog;
use gingerkeel_settings::{BrokerSettings, Check, SettingsError, Validate};
use gumdrop::Options;
use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::clock::{self, Microseconds};
use crate::error::RehearsalError;
use crate::record::RecordWriter;

/// Largest number of hollow brokers of one process.
const MAXIMUM_BROKERS: u32 = 2000;
/// Time between two brokers' starts.
const START_INTERVAL: Duration = Duration::from_millis(1);

/// Flags of a process of hollow brokers.
#[derive(Debug, Options)]
pub struct HollowBrokersFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, TOML", meta = "FILE")]
    settings: Option<PathBuf>,
}

/// Settings of a process of hollow brokers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowBrokersSettings {
    /// Number of the first broker.
    #[serde(default)]
    pub first: u32,
    /// Brokers of this process.
    pub brokers: u32,
    /// Start of their names.
    pub prefix: String,
    /// Feed addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// File to which each revision that comes into force is appended.
    pub log: PathBuf,
}

impl Validate for HollowBrokersSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let accepted = (1..=MAXIMUM_BROKERS).contains(&self.brokers);
        check.field("brokers", self.brokers, accepted, "use a number from 1 to 2000")?;
        check.name("prefix", &self.prefix)?;
        let remedy = "name the feed address of at least one control process";
        check.field("control", "[]", !self.control.is_empty(), remedy)
    }
}

/// A revision that came into force at a hollow broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRecord {
    /// When.
    pub at: Microseconds,
    /// Number of the broker.
    pub broker: u32,
    /// The revision.
    pub revision: u64,
}

/// Follows the catalog until the process ends.
///
/// # Errors
/// A [`RehearsalError`] when the settings are wrong or the log cannot be opened.
pub async fn run(flags: HollowBrokersFlags) -> Result<(), RehearsalError> {
    let path = flags
        .settings
        .ok_or_else(|| RehearsalError::Flag("name a settings file with --settings".into()))?;
    let settings: HollowBrokersSettings = gingerkeel_settings::load(&path)?;
    let log = Rc::new(RefCell::new(RecordWriter::open(&settings.log)?));
    info!(event = "started", role = "hollow-brokers", brokers = settings.brokers);
    for broker in settings.first..settings.first + settings.brokers {
        let log = log.clone();
        let applied = move |revision: gingerkeel_domain::identifiers::Revision| {
            let record = AppliedRecord { at: clock::now(), broker, revision: revision.0 };
            log.borrow_mut().append(&record);
        };
        monoio::spawn(follow_catalog(broker_settings(&settings, broker)?, applied));
        sleep(START_INTERVAL).await;
    }
    loop {
        sleep(Duration::from_secs(3600)).await;
    }
}

fn broker_settings(
    settings: &HollowBrokersSettings,
    broker: u32,
) -> Result<BrokerSettings, RehearsalError> {
    let control: Vec<String> =
        settings.control.iter().map(|address| format!("\"{address}\"")).collect();
    let text = format!(
        "name = \"{}-{broker}\"\nregion = \"home\"\nzone = \"north\"\nlisten = \"127.0.0.1:0\"\n\
         control = [{}]\n",
        settings.prefix,
        control.join(", ")
    );
    Ok(gingerkeel_settings::parse("hollow broker", &text)?)
}
