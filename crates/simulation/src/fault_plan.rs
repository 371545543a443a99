//! Named sets of faults, alone or together, drawn from a seed.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Separates the choice of faults from the choices of the world.
const FAULT_STREAM: u64 = 0x9e37_79b9_7f4a_7c15;

/// A fault and when it comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedFault<F> {
    /// Time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: F,
}

/// A fault that comes `milliseconds` after the start of the run.
pub fn at<F>(milliseconds: u64, fault: F) -> TimedFault<F> {
    TimedFault { at: Duration::from_millis(milliseconds), fault }
}

/// Draws the faults of one name.
pub type DrawFaults<F> = fn(&mut Pcg64) -> Vec<TimedFault<F>>;

/// Faults under one name, or under several together.
#[derive(Debug)]
pub struct FaultPlan<F> {
    parts: Vec<Part<F>>,
}

#[derive(Debug)]
struct Part<F> {
    name: &'static str,
    draw: DrawFaults<F>,
}

impl<F> Clone for Part<F> {
    fn clone(&self) -> Self {
        Self { name: self.name, draw: self.draw }
    }
}

impl<F> Clone for FaultPlan<F> {
    fn clone(&self) -> Self {
        Self { parts: self.parts.clone() }
    }
}

impl<F> FaultPlan<F> {
    /// A plan of one name.
    pub fn new(name: &'static str, draw: DrawFaults<F>) -> Self {
        Self { parts: vec![Part { name, draw }] }
    }

    /// Its name; a plan of several has all names.
    pub fn name(&self) -> String {
        let names: Vec<&str> = self.parts.iter().map(|part| part.name).collect();
        names.join(" + ")
    }

    /// This plan with the faults of another one too.
    pub fn with(&self, other: &Self) -> Self {
        Self { parts: self.parts.iter().chain(&other.parts).cloned().collect() }
    }

    /// The faults of a run with this seed.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault<F>> {
        let mut random = Pcg64::seed_from_u64(seed ^ FAULT_STREAM);
        self.parts.iter().flat_map(|part| (part.draw)(&mut random)).collect()
    }
}
