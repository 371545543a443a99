//! The scenarios of all tiers behind one face, for the command line.

use crate::outcome::Outcome;
use crate::virtual_clock::ClockError;
use crate::{control, routes, serving};

/// A scenario of one of the tiers.
#[derive(Debug, Clone)]
pub enum Scenario {
    /// Of brokers and leaves.
    Serving(serving::Scenario),
    /// Of brokers that serve routes, and leaves.
    Routes(routes::Scenario),
    /// Of control machines, brokers that follow them, and operators.
    Control(control::Scenario),
}

/// What a run gave.
#[derive(Debug)]
pub struct Report {
    /// Hash over the trace.
    pub trace_hash: u64,
    /// Broken promises, in words.
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

    /// The scenario of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|scenario| scenario.name() == name)
    }

    /// Name, as the command line takes it; a pair has both names.
    pub fn name(&self) -> String {
        match self {
            Self::Serving(scenario) => scenario.name(),
            Self::Routes(scenario) => scenario.name(),
            Self::Control(scenario) => scenario.name(),
        }
    }

    /// Flags of the command line that choose this scenario.
    pub fn flags(&self) -> String {
        let name = self.name();
        let names = ["--scenario", "--with"].into_iter().zip(name.split(" + "));
        let words: Vec<String> = names.map(|(flag, name)| format!("{flag} {name}")).collect();
        words.join(" ")
    }

    /// This scenario with the faults of another one too; none when they are of different tiers.
    pub fn with(&self, other: &Self) -> Option<Self> {
        match (self, other) {
            (Self::Serving(one), Self::Serving(other)) => Some(Self::Serving(one.with(other))),
            (Self::Routes(one), Self::Routes(other)) => Some(Self::Routes(one.with(other))),
            (Self::Control(one), Self::Control(other)) => Some(Self::Control(one.with(other))),
            _ => None,
        }
    }

    /// Runs the scenario with the faults of this seed.
    ///
    /// # Errors
    /// A [`ClockError`] when the code under simulation panics.
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
