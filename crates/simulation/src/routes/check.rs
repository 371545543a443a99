//! Checks of a history against the guarantees of route serving, independent of the code under test.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::time::Timestamp;

use super::bounds::{ATTEMPTS, EXTRA_LOAD, EXTRA_RATIO, EXTRA_SLACK, LEAST_SHARE};
use super::fault::LeafPlace;
use super::history::{Ending, History, RequestNumber, RequestRecord};
use super::world::LIST_DELAY;

/// Maximum network delay of a message.
const MESSAGE_SLACK: Duration = Duration::from_millis(2);
/// Tolerance for late responses.
const ENDING_SLACK: Duration = Duration::from_millis(2);

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A request does not have exactly one response.
    NotOneEnding(RequestNumber),
    /// A response came after the deadline.
    Late(RequestNumber),
    /// An answer contains a part without a successful reply.
    FalsePart(RequestNumber, usize),
    /// An answer has fewer parts than the minimum share.
    BelowLeastShare(RequestNumber),
    /// More leaves of a service than allowed accepted a request.
    TooManyRuns(RequestNumber, usize),
    /// A leaf accepted a request that was reported as not run.
    NotRunWasRun(RequestNumber),
    /// A request reached a leaf too long after the directory listed it as leaving.
    WorkForLeaving(LeafPlace),
    /// A service received more extra requests in a window than the budget allows.
    OverBudget(usize),
}

/// Returns all violations in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (number, record) in &history.requests {
        check_request(history, *number, record, &mut violations);
    }
    check_runs(history, &mut violations);
    check_leaving(history, &mut violations);
    check_budget(history, &mut violations);
    violations
}

fn check_request(
    history: &History,
    number: RequestNumber,
    record: &RequestRecord,
    violations: &mut Vec<Violation>,
) {
    let [(at, ending)] = record.endings.as_slice() else {
        violations.push(Violation::NotOneEnding(number));
        return;
    };
    if *at > record.deadline.after(ENDING_SLACK) {
        violations.push(Violation::Late(number));
    }
    match ending {
        Ending::Answered(parts) => {
            let good = |service: &&usize| history.good_replies.contains(&(number, **service));
            let falsely = parts.iter().filter(|service| !good(service));
            violations.extend(falsely.map(|service| Violation::FalsePart(number, *service)));
            if !LEAST_SHARE.reached_by(parts.len(), record.services.len()) {
                violations.push(Violation::BelowLeastShare(number));
            }
        }
        Ending::NotRun => {
            if history.arrivals.iter().any(|arrival| arrival.request == number && arrival.taken) {
                violations.push(Violation::NotRunWasRun(number));
            }
        }
        Ending::LeafFailed | Ending::MayHaveRun | Ending::TimedOut => {}
    }
}

fn check_runs(history: &History, violations: &mut Vec<Violation>) {
    let mut taken: BTreeMap<(RequestNumber, usize), u32> = BTreeMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.taken) {
        *taken.entry((arrival.request, arrival.leaf.service)).or_insert(0) += 1;
    }
    for ((request, service), count) in taken {
        let repeatable = history.requests[&request].repeatable;
        if count > if repeatable { ATTEMPTS } else { 1 } {
            violations.push(Violation::TooManyRuns(request, service));
        }
    }
}

fn check_leaving(history: &History, violations: &mut Vec<Violation>) {
    for (leaf, since) in &history.leaving {
        let bound = since.after(LIST_DELAY + MESSAGE_SLACK);
        let late =
            |arrival: &&super::history::ArrivalRecord| arrival.leaf == *leaf && arrival.at > bound;
        if history.arrivals.iter().any(|arrival| late(&arrival)) {
            violations.push(Violation::WorkForLeaving(*leaf));
        }
    }
}

/// In every window that ends with an extra request, the number of extra requests is within the
/// slack and the ratio of the requests in that window, the previous one or the one half a window
/// earlier.
fn check_budget(history: &History, violations: &mut Vec<Violation>) {
    let services: BTreeSet<usize> =
        history.requests.values().flat_map(|record| record.services.iter().copied()).collect();
    for service in services {
        let of_service = history.requests.values().filter(|of| of.services.contains(&service));
        let requests: Vec<Timestamp> = of_service.map(|record| record.came).collect();
        let extra = extra_arrivals(history, service);
        let over = extra.iter().any(|end| {
            let window = |back: f64| {
                let back = EXTRA_LOAD.window.mul_f64(back).as_micros() as u64;
                Timestamp::from_micros(end.as_micros().saturating_sub(back))
            };
            let count = |times: &[Timestamp], from: Timestamp, to: Timestamp| {
                times.iter().filter(|time| **time > from && **time <= to).count() as f64
            };
            let spans = [(1.0, 0.0), (1.5, 0.5), (2.0, 1.0)];
            let counts = spans.map(|(from, to)| count(&requests, window(from), window(to)));
            let most = counts.into_iter().fold(0.0, f64::max);
            count(&extra, window(1.0), *end) > EXTRA_RATIO * most + EXTRA_SLACK
        });
        if over {
            violations.push(Violation::OverBudget(service));
        }
    }
}

/// Arrival times of requests that had already arrived at the service before.
fn extra_arrivals(history: &History, service: usize) -> Vec<Timestamp> {
    let mut seen = BTreeSet::new();
    let of_service = history.arrivals.iter().filter(|arrival| arrival.leaf.service == service);
    of_service.filter(|arrival| !seen.insert(arrival.request)).map(|arrival| arrival.at).collect()
}
