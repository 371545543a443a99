//! Common interface to the scenarios of all tiers.

use crate::outcome::Outcome;
use crate::virtual_clock::ClockError;
use crate::{control, routes, serving};

/// A scenario of one of the tiers.
#[derive(Debug, Clone)]
pub enum Scenario {
    /// Queries at brokers and leaves.
    Serving(serving::Scenario),
    /// Route requests at brokers and leaves.
    Routes(routes::Scenario),
    /// Control machines, brokers that follow them, and operators.
    Control(control::Scenario),
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Hash of the trace, to compare runs.
    pub trace_hash: u64,
    /// Debug representation of each violation.
    pub violations: Vec<String>,
}

impl Scenario {
    /// All scenarios.
    pub fn all() -> Vec<Self> {
        let serving = serving::Scenario::all().into_iter().map(Self::Serving);
        let control = control::Scenario::all().into_iter().map(Self::Control);
        let routes = routes::Scenario::all().into_iter().map(Self::Routes);
        serving.chain(routes).chain(control).collect()
    }

    /// Finds a scenario by name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|scenario| scenario.name() == name)
    }

    /// Scenario name. A pair has the names of both scenarios.
    pub fn name(&self) -> String {
        match self {
            Self::Serving(scenario) => scenario.name(),
            Self::Routes(scenario) => scenario.name(),
            Self::Control(scenario) => scenario.name(),
        }
    }

    /// Command-line flags that select this scenario.
    pub fn flags(&self) -> String {
        let name = self.name();
        let names = ["--scenario", "--with"].into_iter().zip(name.split(" + "));
        let words: Vec<String> = names.map(|(flag, name)| format!("{flag} {name}")).collect();
        words.join(" ")
    }

    /// Combines the faults of two scenarios. Returns `None` if they belong to different tiers.
    pub fn with(&self, other: &Self) -> Option<Self> {
        match (self, other) {
            (Self::Serving(one), Self::Serving(other)) => Some(Self::Serving(one.with(other))),
            (Self::Routes(one), Self::Routes(other)) => Some(Self::Routes(one.with(other))),
            (Self::Control(one), Self::Control(other)) => Some(Self::Control(one.with(other))),
            _ => None,
        }
    }

    /// Runs the scenario with the faults for `seed`.
    ///
    /// # Errors
    /// Returns a [`ClockError`] if the code under simulation panics.
    pub fn run(&self, seed: u64, print_trace: bool) -> Result<Report, ClockError> {
        match self {
            Self::Serving(scenario) => {
                let faults = scenario.faults(seed);
                let load = scenario.load;
                let outcome = serving::run_scenario(seed, load, &faults, None, print_trace)?;
                Ok(report(&outcome))
            }
            Self::Routes(scenario) => {
                let faults = scenario.faults(seed);
                let outcome = routes::run_scenario(seed, &faults, None, print_trace)?;
                Ok(report(&outcome))
            }
            Self::Control(scenario) => {
                let faults = scenario.faults(seed);
                let interval = scenario.change_interval;
                let outcome = control::run_scenario(seed, interval, &faults, None, print_trace)?;
                Ok(report(&outcome))
            }
        }
    }
}

fn report<H, V: std::fmt::Debug>(outcome: &Outcome<H, V>) -> Report {
    let violations = outcome.violations.iter().map(|violation| format!("{violation:?}"));
    Report { trace_hash: outcome.trace_hash, violations: violations.collect() }
}
