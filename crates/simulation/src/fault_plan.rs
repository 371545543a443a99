//! Fault plans: named, random sets of faults, which can be combined.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Makes the random numbers for faults independent of those of the world.
const FAULT_STREAM: u64 = 0x9e37_79b9_7f4a_7c15;

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedFault<F> {
    /// Time since the start of the run.
    pub at: Duration,
    /// Fault to inject.
    pub fault: F,
}

/// A fault `milliseconds` after the start of the run.
pub fn at<F>(milliseconds: u64, fault: F) -> TimedFault<F> {
    TimedFault { at: Duration::from_millis(milliseconds), fault }
}

/// Function that draws the faults of a plan.
pub type DrawFaults<F> = fn(&mut Pcg64) -> Vec<TimedFault<F>>;

/// One or more named sets of faults.
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
    /// Creates a plan with one set of faults.
    pub fn new(name: &'static str, draw: DrawFaults<F>) -> Self {
        Self { parts: vec![Part { name, draw }] }
    }

    /// Name of the plan. A combined plan has the names of all parts.
    pub fn name(&self) -> String {
        let names: Vec<&str> = self.parts.iter().map(|part| part.name).collect();
        names.join(" + ")
    }

    /// Combines the faults of two plans.
    pub fn with(&self, other: &Self) -> Self {
        Self { parts: self.parts.iter().chain(&other.parts).cloned().collect() }
    }

    /// Draws the faults for `seed`.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault<F>> {
        let mut random = Pcg64::seed_from_u64(seed ^ FAULT_STREAM);
        self.parts.iter().flat_map(|part| (part.draw)(&mut random)).collect()
    }
}
