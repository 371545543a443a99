//! Open-loop load of queries in several classes.

use std::time::Duration;

use gingerkeel_domain::catalog::{AnswerPolicy, ClassPolicy};
use gingerkeel_domain::identifiers::ClassName;
use rand::Rng;
use rand_pcg::Pcg64;

/// Caller name of all queries.
pub const CALLER: &str = "caller";

/// Price of the highest class.
pub const HIGHEST_PRICE: u64 = 5;

/// Load of one class.
#[derive(Debug, Clone)]
pub struct ClassLoad {
    /// Definition of the class.
    pub policy: ClassPolicy,
    /// Queries per second over all brokers.
    pub rate: f64,
    /// Fraction of queries that are not repeatable.
    pub not_repeatable: f64,
}

impl ClassLoad {
    /// Exponentially distributed time until the next query.
    pub fn next_interval(&self, random: &mut Pcg64) -> Duration {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }
}

/// The classes of the simulated service: urgent, standard and archive. `rate` is their total rate
/// in queries per second.
pub fn classes(rate: f64) -> Vec<ClassLoad> {
    let partial = AnswerPolicy::Partial { soft_deadline: Duration::from_millis(110) };
    vec![
        class("urgent", 0, 200, 0.2 * rate, Duration::from_millis(130), partial, 0.2),
        class("standard", 1, 200, 0.5 * rate, Duration::from_millis(500), AnswerPolicy::Full, 0.1),
        class("archive", 2, 200, 0.3 * rate, Duration::from_secs(2), AnswerPolicy::Full, 0.0),
    ]
}

fn class(
    name: &str,
    priority: u8,
    queue_limit: u32,
    rate: f64,
    default_deadline: Duration,
    answer_policy: AnswerPolicy,
    not_repeatable: f64,
) -> ClassLoad {
    let price = HIGHEST_PRICE - u64::from(priority);
    let name = ClassName::new(name);
    let policy =
        ClassPolicy { name, priority, queue_limit, price, answer_policy, default_deadline };
    ClassLoad { policy, rate, not_repeatable }
}
