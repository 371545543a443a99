//! Heavy-tailed service times: log-normal with a Pareto tail.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};
use rand_pcg::Pcg64;

use super::settings::{LeafSettings, milliseconds};

/// Where the Pareto tail begins, as a multiple of the median.
const TAIL_START: f64 = 4.0;
/// Longest service time, as a multiple of the median.
const LONGEST: f64 = 100.0;

/// Draws service times.
pub struct ServiceTimes {
    random: Pcg64,
    body: LogNormal<f64>,
    tail: Pareto<f64>,
    tail_share: f64,
    longest_ms: f64,
}

impl ServiceTimes {
    /// Service times of a leaf; the same seed and leaf give the same sequence.
    ///
    /// # Panics
    /// When the settings were not checked.
    pub fn new(settings: &LeafSettings, seed: u64) -> Self {
        let median = settings.service_ms;
        let body = LogNormal::new(median.ln(), settings.sigma).expect("sigma is finite");
        let tail = Pareto::new(median * TAIL_START, settings.tail_shape).expect("shape is above 0");
        Self {
            random: Pcg64::seed_from_u64(seed ^ (u64::from(settings.id) << 32)),
            body,
            tail,
            tail_share: settings.tail_share,
            longest_ms: median * LONGEST,
        }
    }

    /// The next service time, `factor` times as long as drawn.
    pub fn draw(&mut self, factor: f64) -> Duration {
        let in_tail = self.random.random_bool(self.tail_share);
        let drawn = if in_tail {
            self.tail.sample(&mut self.random)
        } else {
            self.body.sample(&mut self.random)
        };
        milliseconds(drawn.min(self.longest_ms) * factor)
    }

    /// Whether an event of this probability happens now.
    pub fn happens(&mut self, share: f64) -> bool {
        self.random.random_bool(share.clamp(0.0, 1.0))
    }
}
