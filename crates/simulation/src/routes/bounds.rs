//! Limits of the simulated brokers, and the guarantees to callers and leaves.

use std::time::Duration;

use gingerkeel_domain::forwarding::ExtraLoadSettings;
use gingerkeel_domain::routes::PartsPerMillion;

/// Request timeout.
pub const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Target latency of an answer.
pub const TARGET: Duration = Duration::from_millis(120);
/// Minimum share of parts in an answer.
pub const LEAST_SHARE: PartsPerMillion = PartsPerMillion(750_000);
/// Maximum number of leaves of each service that may execute one request.
pub const ATTEMPTS: u32 = 2;
/// Maximum extra requests of all brokers in a window, as a fraction of requests.
pub const EXTRA_RATIO: f64 = 0.2;
/// Additional extra requests of all brokers in a window.
pub const EXTRA_SLACK: f64 = 12.0;
/// Extra load budget of the brokers. It is lower than the guaranteed limit, since a window may move
/// on to fewer requests than those that allowed its extra requests.
pub const EXTRA_LOAD: ExtraLoadSettings = ExtraLoadSettings {
    ratio: 0.95 * EXTRA_RATIO,
    window: Duration::from_secs(2),
    slack: 0.7 * EXTRA_SLACK,
};
/// Minimum time between the end of a leaf and the reuse of its address; the default of brokers.
pub const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Maximum number of connections of a broker to one leaf.
pub const CONNECTIONS: usize = 8;
/// Latency quantile after which a broker sends a hedge.
pub const HEDGE_QUANTILE: f64 = 0.95;
/// Time without a reply, in multiples of the hedge delay, after which a leaf counts as failing.
pub const SILENT_AFTER: u32 = 3;
/// Retry interval if no connection is available.
pub const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Maximum time for which a request waits for a connection.
pub const CONNECTION_WAIT_LIMIT: Duration = TARGET;
/// Retry interval after refusals, or if no leaf is available.
pub const REFUSAL_WAIT: Duration = Duration::from_millis(20);
/// Time before the deadline at which these retries end.
pub const REFUSAL_WAIT_END: Duration = Duration::from_millis(300);
/// Maximum time for which a request waits for admission.
pub const ADMISSION_WAIT: Duration = Duration::from_millis(450);
