//! Callers: an open loop of queries of several classes.

use std::time::Duration;

use gingerkeel_domain::catalog::{AnswerPolicy, ClassPolicy};
use gingerkeel_domain::identifiers::ClassName;
use rand::Rng;
use rand_pcg::Pcg64;

/// Account of the callers.
pub const CALLER: &str = "caller";

/// Price of the highest class.
pub const HIGHEST_PRICE: u64 = 5;

/// Queries of one class.
#[derive(Debug, Clone)]
pub struct ClassLoad {
    /// How the class is defined.
    pub policy: ClassPolicy,
    /// Queries per second over all brokers.
    pub rate: f64,
    /// Share that is not repeatable.
    pub not_repeatable: f64,
}

impl ClassLoad {
    /// Time until the next query of the class.
    pub fn next_interval(&self, random: &mut Pcg64) -> Duration {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }
}

/// The classes of the rehearsed service: urgent, standard and archive.
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
