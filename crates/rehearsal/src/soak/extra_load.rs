//! Whether requests beyond the first at a service stay within what all brokers may send.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gingerkeel_domain::forwarding::ExtraLoadSettings;

use super::answer::{SHARDS, SINGLE};
use super::leaves::Arrival;

/// What requests beyond the first are judged by. The window is short, so that a run holds many.
pub const BOUND: ExtraLoadSettings =
    ExtraLoadSettings { ratio: 0.2, window: Duration::from_secs(2), slack: 12.0 };
/// What brokers are set to: somewhat below, for requests that are under way when a window ends.
pub const KEPT: ExtraLoadSettings =
    ExtraLoadSettings { ratio: 0.19, window: BOUND.window, slack: 8.0 };
/// Path of the requests that go to all shards; all others go to the single service.
const MERGED: &str = "all";

/// A request that a caller sent.
#[derive(Debug, Clone, Copy)]
pub struct SentRequest {
    /// When.
    pub at: Instant,
    /// Whether it goes to all shards.
    pub merged: bool,
}

impl SentRequest {
    /// A request to this path.
    pub fn new(at: Instant, path: &str) -> Self {
        Self { at, merged: path == MERGED }
    }
}

/// The services at which a window held more requests beyond the first than the bound allows.
pub fn faults(sent: &[SentRequest], arrivals: &[Arrival]) -> Vec<String> {
    let services = SHARDS.iter().chain(&[SINGLE]);
    services.filter_map(|service| fault_of(service, sent, arrivals)).collect()
}

fn fault_of(service: &str, sent: &[SentRequest], arrivals: &[Arrival]) -> Option<String> {
    let merged = service != SINGLE;
    let requests: Vec<Instant> =
        sent.iter().filter(|request| request.merged == merged).map(|request| request.at).collect();
    let mut first = BTreeSet::new();
    let of_service = arrivals.iter().filter(|arrival| arrival.service == service);
    let extra: Vec<Instant> =
        of_service.filter(|arrival| !first.insert(&arrival.id)).map(|arrival| arrival.at).collect();
    extra.iter().find_map(|end| {
        let counted = in_window(&extra, *end);
        let allowed = BOUND.ratio * most_requests(&requests, *end) as f64 + BOUND.slack;
        let is_fault = counted as f64 > allowed;
        is_fault.then(|| {
            format!("{counted} requests beyond the first at {service}, {allowed:.0} allowed")
        })
    })
}

/// The requests of the window, of the one before or of the one half a window before, whichever has most: what was sent
/// in one window may arrive in the next.
fn most_requests(requests: &[Instant], end: Instant) -> usize {
    let earlier = [Duration::ZERO, BOUND.window / 2, BOUND.window];
    let ends = earlier.iter().filter_map(|span| end.checked_sub(*span));
    ends.map(|end| in_window(requests, end)).max().unwrap_or(0)
}

fn in_window(times: &[Instant], end: Instant) -> usize {
    let inside = |time: &&Instant| **time <= end && end.duration_since(**time) < BOUND.window;
    times.iter().filter(inside).count()
}
