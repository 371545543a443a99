//! Poisson arrivals of one class.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;

use super::plan::ClassLoad;

/// What happens to a query when it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resending {
    /// The caller gives up.
    Never,
    /// It is sent once more when the broker says.
    WhenTold,
    /// It is sent once more at once.
    AtOnce,
}

/// One query to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Number within the class.
    pub number: u64,
    /// Time from the start of the load.
    pub offset: Duration,
    /// Whether a leaf may run it more than once.
    pub repeatable: bool,
    /// What happens when it is refused.
    pub resending: Resending,
}

/// Draws the arrivals of a class; the same seed gives the same ones.
pub struct Arrivals {
    random: Pcg64,
    gaps: Exp<f64>,
    class: ClassLoad,
    next_number: u64,
    offset: f64,
}

impl Arrivals {
    /// Arrivals of a class.
    ///
    /// # Panics
    /// When the rate was not checked to be above 0.
    pub fn new(class: ClassLoad, seed: u64) -> Self {
        let gaps = Exp::new(class.rate).expect("the rate is above 0");
        Self { random: Pcg64::seed_from_u64(seed), gaps, class, next_number: 0, offset: 0.0 }
    }

    fn resending(&mut self) -> Resending {
        let drawn: f64 = self.random.random();
        if drawn < self.class.obedient_share {
            Resending::WhenTold
        } else if drawn < self.class.obedient_share + self.class.impatient_share {
            Resending::AtOnce
        } else {
            Resending::Never
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.offset += self.gaps.sample(&mut self.random);
        let number = self.next_number;
        self.next_number += 1;
        Some(Arrival {
            number,
            offset: Duration::from_secs_f64(self.offset),
            repeatable: !self.random.random_bool(self.class.not_repeatable_share),
            resending: self.resending(),
        })
    }
}
