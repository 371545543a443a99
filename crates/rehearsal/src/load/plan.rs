//! What load is put on which brokers.

use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_settings::{Check, SettingsError, Validate};
use serde::{Deserialize, Serialize};

/// Longest run, in seconds.
const LONGEST_RUN_SECONDS: f64 = 600.0;
/// Highest rate of one class, in queries per second.
const HIGHEST_RATE: f64 = 20_000.0;

/// Load on any number of services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of arrival times and of what each query is.
    #[serde(default)]
    pub seed: u64,
    /// Seconds for which queries are sent.
    pub seconds: f64,
    /// The services.
    pub services: Vec<ServiceLoad>,
}

/// Load on one service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Account of the callers.
    pub caller: String,
    /// Brokers that are asked in turn.
    pub brokers: Vec<SocketAddr>,
    /// Connections to each broker.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// One-way delay between callers and brokers.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// The classes.
    pub classes: Vec<ClassLoad>,
}

/// Load of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name of the class.
    pub class: String,
    /// Rank of the class, 0 first; for the checker only.
    pub priority: u8,
    /// Queries a second, on average.
    pub rate: f64,
    /// Deadline of each query.
    pub deadline_ms: u64,
    /// Share of queries that may run at most once.
    #[serde(default)]
    pub not_repeatable_share: f64,
    /// Share of refused queries that are sent once more when the broker says.
    #[serde(default)]
    pub obedient_share: f64,
    /// Share of refused queries that are sent once more at once.
    #[serde(default)]
    pub impatient_share: f64,
}

fn default_connections() -> usize {
    64
}

impl LoadPlan {
    /// Time for which queries are sent.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}

impl Validate for LoadPlan {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let accepted = self.seconds > 0.0 && self.seconds <= LONGEST_RUN_SECONDS;
        check.field("seconds", self.seconds, accepted, "use a number above 0, at most 600")?;
        self.services.iter().try_for_each(|service| service.validate(check))
    }
}

impl Validate for ServiceLoad {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("service", &self.service)?;
        check.name("caller", &self.caller)?;
        check.field("brokers", "[]", !self.brokers.is_empty(), "name at least one broker")?;
        let accepted = (1..=4096).contains(&self.connections);
        check.field("connections", self.connections, accepted, "use a number from 1 to 4096")?;
        let accepted = (0.0..=1000.0).contains(&self.client_delay_ms);
        check.field("client_delay_ms", self.client_delay_ms, accepted, "use 0 to 1000")?;
        self.classes.iter().try_for_each(|class| class.validate(check))
    }
}

impl Validate for ClassLoad {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("class", &self.class)?;
        let accepted = self.rate > 0.0 && self.rate <= HIGHEST_RATE;
        check.field("rate", self.rate, accepted, "use a number above 0, at most 20000")?;
        let accepted = (1..=60_000).contains(&self.deadline_ms);
        check.field("deadline_ms", self.deadline_ms, accepted, "use a number from 1 to 60000")?;
        let shares = [
            ("not_repeatable_share", self.not_repeatable_share),
            ("obedient_share", self.obedient_share),
            ("impatient_share", self.impatient_share),
        ];
        for (field, share) in shares {
            let accepted = (0.0..=1.0).contains(&share);
            check.field(field, share, accepted, "use a share from 0 to 1")?;
        }
        let resent = self.obedient_share + self.impatient_share;
        check.field("obedient_share", resent, resent <= 1.0, "keep the sum of both shares below 1")
    }
}
