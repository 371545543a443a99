//! Experiment files.

use gingerkeel_settings::{Check, SettingsError, Validate};
use serde::{Deserialize, Serialize};

use crate::fleet::Topology;

/// Longest measured load, in seconds.
const LONGEST_SECONDS: f64 = 120.0;
/// Loads of one experiment at most.
const MAXIMUM_LOADS: usize = 8;

/// An experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// Its name, the title of the page.
    pub name: String,
    /// What it is to find out, and how its sizes compare with the deployment's.
    pub question: String,
    /// Seconds of load that are measured.
    pub seconds: f64,
    /// Seconds of load before that.
    pub warm_up_seconds: f64,
    /// Loads, as multiples of the rates of the topology.
    pub loads: Vec<f64>,
    /// Leaves that run slower, if any.
    #[serde(default)]
    pub slow_leaves: Option<SlowLeaves>,
    /// The fleet.
    pub topology: Topology,
}

/// Leaves that run slower.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowLeaves {
    /// One leaf in so many is slow.
    pub one_in: u32,
    /// How many times slower.
    pub factor: f64,
}

impl Validate for ExperimentSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let accepted = self.seconds > 0.0 && self.seconds <= LONGEST_SECONDS;
        check.field("seconds", self.seconds, accepted, "use a number above 0, at most 120")?;
        let warm_up = self.warm_up_seconds;
        let accepted = (0.0..=LONGEST_SECONDS).contains(&warm_up);
        check.field("warm_up_seconds", warm_up, accepted, "use a number from 0 to 120")?;
        let loads = format!("{:?}", self.loads);
        let in_range = self.loads.iter().all(|load| *load > 0.0 && *load <= 16.0);
        let accepted = (1..=MAXIMUM_LOADS).contains(&self.loads.len()) && in_range;
        check.field("loads", loads, accepted, "use 1 to 8 numbers above 0, at most 16")?;
        if let Some(slow) = &self.slow_leaves {
            let accepted = slow.one_in > 0;
            check.field("slow_leaves.one_in", slow.one_in, accepted, "use a number from 1")?;
            let accepted = (1.0..=1000.0).contains(&slow.factor);
            check.field("slow_leaves.factor", slow.factor, accepted, "use 1 to 1000")?;
        }
        self.topology.validate(check)
    }
}
