//! Bounds of the simulated brokers and of what is promised to callers and leaves.

use std::time::Duration;

use gingerkeel_domain::forwarding::ExtraLoadSettings;
use gingerkeel_domain::routes::PartsPerMillion;

/// Time that a request is held at most.
pub const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which an answer is worth all.
pub const TARGET: Duration = Duration::from_millis(120);
/// Least share of the parts.
pub const LEAST_SHARE: PartsPerMillion = PartsPerMillion(750_000);
/// Leaves that one request may run on, at each service.
pub const ATTEMPTS: u32 = 2;
/// Extra requests that all brokers may send in a window, as a share of requests.
pub const EXTRA_RATIO: f64 = 0.2;
/// Extra requests beyond that.
pub const EXTRA_SLACK: f64 = 12.0;
/// The budget of brokers. It stays below the bound, as the requests of a window that has moved on
/// may be fewer than those that allowed its extra ones.
pub const EXTRA_LOAD: ExtraLoadSettings = ExtraLoadSettings {
    ratio: 0.95 * EXTRA_RATIO,
    window: Duration::from_secs(2),
    slack: 0.7 * EXTRA_SLACK,
};
/// Time after the end of a leaf from which on another one may have its address, as the default of brokers.
pub const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Connections of a broker to one leaf.
pub const CONNECTIONS: usize = 8;
/// Share of replies that are waited for before another leaf is asked as well.
pub const HEDGE_QUANTILE: f64 = 0.95;
/// Silence, in hedge delays, after which a leaf that owes a reply is failing.
pub const SILENT_AFTER: u32 = 3;
/// Time until leaves are looked at again to which there was no connection to spare.
pub const CONNECTION_WAIT: Duration = Duration::from_millis(4);
/// Time for which a request waits for a connection at most.
pub const CONNECTION_WAIT_LIMIT: Duration = TARGET;
/// Time until leaves are asked again that refused, or of which none could be asked.
pub const REFUSAL_WAIT: Duration = Duration::from_millis(20);
/// Time before the deadline from which on they are not waited for any more.
pub const REFUSAL_WAIT_END: Duration = Duration::from_millis(300);
/// Time for which a request waits for admission at most.
pub const ADMISSION_WAIT: Duration = Duration::from_millis(450);
