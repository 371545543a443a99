//! Admission control for one destination when its leaves run short of capacity.
//!
//! While most requests are answered in time, all are admitted. When many are late, the number of
//! requests in flight is limited: the limit falls after each bad round and rises slowly afterwards.
//! A fan-out request of which only a few shards were late does not count as bad. Requests beyond
//! the limit are queued, within bounds of their own: they have not run, and a late answer is worth
//! more than a refusal. A request that would not start before it is given up is refused at once.
//!
//! At the start nothing is known of the leaves, and many callers may arrive at once: the limit
//! begins low and rises with each request that is answered in time, until the first late ones.

use std::collections::BTreeSet;
use std::time::Duration;

use super::admission_queue::{AdmissionQueue, Candidate, TicketNumber};
use crate::time::Timestamp;

/// Rounds of surplus arrivals after which the surge counts as lasting.
const OVERLOAD_ROUNDS: u32 = 3;

/// Parameters of admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadGateSettings {
    /// Length of a round, over which outcomes are judged together.
    pub round: Duration,
    /// Share of late requests above which a round is bad.
    pub bad_share: f64,
    /// Share of the parts of a late request that arrived in time, from which the lateness is
    /// attributed to single shards and not to a lack of capacity.
    pub isolated_late_share: f64,
    /// Minimum number of samples for a round to be judged.
    pub least_samples: u32,
    /// Factor applied to the limit after a bad round.
    pub decrease: f64,
    /// Factor applied to the limit after a good round.
    pub increase: f64,
    /// Lower bound of the limit, in requests.
    pub least_limit: f64,
    /// Share of the limit that is reserved from each lower priority rank.
    pub reserve: f64,
    /// Ratio of arrivals to completions in a round above which arrivals count as a surge.
    pub surge_ratio: f64,
    /// Initial limit, in requests.
    pub first_limit: f64,
    /// Lower and upper bound of the retry time given to refused callers.
    pub retry_after: [Duration; 2],
}

impl Default for OverloadGateSettings {
    fn default() -> Self {
        Self {
            round: Duration::from_millis(200),
            bad_share: 0.2,
            isolated_late_share: 0.75,
            least_samples: 8,
            decrease: 0.8,
            increase: 1.05,
            least_limit: 2.0,
            reserve: 0.3,
            surge_ratio: 1.25,
            first_limit: 4.0,
            retry_after: [Duration::from_millis(800), Duration::from_secs(4)],
        }
    }
}

/// Decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Admitted; [`OverloadGate::finish`] must follow.
    Admitted,
    /// Queued: [`OverloadGate::next`] returns the ticket on admission, [`OverloadGate::leave`] ends
    /// the wait.
    Queued(TicketNumber),
    /// Refused; the caller may retry after this time.
    Refused(Duration),
}

/// Outcome of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within the target latency, counted from its admission.
    InTime,
    /// Not answered within the target latency.
    Late {
        /// For a fan-out request: parts that arrived within the target latency, and all parts.
        parts: Option<(usize, usize)>,
    },
    /// Cancelled by its caller, or ended for a reason unrelated to capacity.
    GivenUp,
}

impl RequestOutcome {
    /// Whether the outcome indicates a lack of capacity; `None` if it says nothing. All shards of a
    /// request get the same load: where only a few are late, those shards are slow, and fewer
    /// requests would not make them faster.
    fn indicates_shortage(self, settings: &OverloadGateSettings) -> Option<bool> {
        match self {
            Self::InTime => Some(false),
            Self::Late { parts: None } => Some(true),
            Self::Late { parts: Some((in_time, whole)) } => {
                Some((in_time as f64) < whole as f64 * settings.isolated_late_share)
            }
            Self::GivenUp => None,
        }
    }
}

/// Admission control for one destination.
#[derive(Debug)]
pub struct OverloadGate {
    in_flight: u32,
    limit: Limit,
    limited_since: Timestamp,
    round: Round,
    /// Rounds with a surge while the limit was reduced, minus those without; at least 0.
    surge_rounds: u32,
    queue: AdmissionQueue,
    /// Admitted tickets whose requests have not been told yet.
    admitted: BTreeSet<TicketNumber>,
    /// Rate of requests per second that start although they are already late, smoothed over rounds.
    late_per_second: f64,
    /// Whether a round was judged since the last call of [`OverloadGate::take_unservable`].
    round_judged: bool,
    /// Number of samples and length of the last judged round.
    last_round: (u32, Duration),
}

/// Counters of one round.
#[derive(Debug, Clone, Copy, Default)]
struct Round {
    began: Timestamp,
    /// Requests that arrived.
    arrived: u32,
    /// Requests that ended with any outcome.
    ended: u32,
    /// Outcomes that indicate sufficient capacity.
    good: u32,
    /// Outcomes that indicate a lack of capacity.
    bad: u32,
    /// Maximum number of requests in flight.
    peak: u32,
    /// Requests that started although they were already late.
    late_started: u32,
}

impl Round {
    /// Whether clearly more requests arrived than ended.
    fn is_surge(&self, settings: &OverloadGateSettings) -> bool {
        f64::from(self.arrived) > f64::from(self.ended) * settings.surge_ratio + 1.0
    }
}

/// Limit on the requests in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Limit {
    /// No limit.
    Unlimited,
    /// A limit that grows with each request answered in time, while the capacity is unknown.
    Rising(f64),
    /// A limit because leaves run short of capacity.
    Reduced(f64),
}

impl OverloadGate {
    /// A gate with the initial limit.
    pub fn new(settings: &OverloadGateSettings) -> Self {
        Self {
            in_flight: 0,
            limit: Limit::Rising(settings.first_limit),
            limited_since: Timestamp::ZERO,
            round: Round::default(),
            surge_rounds: 0,
            queue: AdmissionQueue::default(),
            admitted: BTreeSet::new(),
            late_per_second: f64::INFINITY,
            round_judged: false,
            last_round: (0, Duration::ZERO),
        }
    }

    /// Whether the leaves run short of capacity.
    pub fn is_limiting(&self) -> bool {
        matches!(self.limit, Limit::Reduced(_))
    }

    /// Whether arrivals have clearly exceeded completions for several rounds while the leaves run
    /// short of capacity.
    pub fn is_overloaded(&self) -> bool {
        self.surge_rounds >= OVERLOAD_ROUNDS
    }

    /// Number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides whether an arriving request is admitted, queued or refused.
    pub fn enter(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        candidate: Candidate,
    ) -> AdmissionDecision {
        self.round.arrived += 1;
        self.queue.record_arrival(now, &candidate);
        if self.may_begin(settings, candidate.rank) {
            self.begin(&candidate);
            return AdmissionDecision::Admitted;
        }
        let expected = now.after(self.expected_wait(now, &candidate));
        let exceeds_share = self.is_overloaded() && !self.queue.is_within_share(&candidate);
        if exceeds_share || expected >= candidate.give_up_at {
            return AdmissionDecision::Refused(self.retry_after(now, settings));
        }
        AdmissionDecision::Queued(self.queue.join(candidate))
    }

    /// Admits the next queued request that fits under the limit; [`OverloadGate::finish`] must
    /// follow.
    pub fn next(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
    ) -> Option<TicketNumber> {
        let (in_flight, limit) = (self.in_flight, self.limit);
        let begins = |rank| may_begin(in_flight, limit, settings, rank);
        let (ticket, candidate) = self.queue.take(now, begins)?;
        self.round.late_started += u32::from(now >= candidate.in_time_until);
        self.begin(&candidate);
        self.admitted.insert(ticket);
        Some(ticket)
    }

    /// Records that a queued request has been told of its admission.
    pub fn confirm_admission(&mut self, ticket: TicketNumber) {
        self.admitted.remove(&ticket);
    }

    /// Removes and returns the queued requests that are not expected to start before they are given
    /// up, judged by the last rounds; the caller must refuse them. While arrivals use up the whole
    /// capacity, none is left for requests that are already late.
    pub fn take_unservable(&mut self, now: Timestamp) -> Vec<TicketNumber> {
        match std::mem::take(&mut self.round_judged) && self.is_overloaded() {
            true => self.queue.take_unservable(now, self.late_per_second),
            false => Vec::new(),
        }
    }

    /// Ends the wait of a request; if it was admitted without having been told, this also ends the
    /// request. Returns the retry time for its caller.
    pub fn leave(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        ticket: TicketNumber,
    ) -> Duration {
        if !self.queue.leave(ticket) && self.admitted.remove(&ticket) {
            self.finish(now, settings, RequestOutcome::GivenUp);
        }
        self.retry_after(now, settings)
    }

    /// Records the outcome of an admitted request and judges the round when it is over.
    pub fn finish(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        ended: RequestOutcome,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.round.ended += 1;
        match ended.indicates_shortage(settings) {
            Some(true) => self.round.bad += 1,
            Some(false) => self.round.good += 1,
            None => {}
        }
        if let (Limit::Rising(limit), RequestOutcome::InTime) = (self.limit, ended) {
            self.limit = Limit::Rising(limit + 1.0);
        }
        if now.since(self.round.began) >= settings.round {
            self.judge(now, settings);
        }
    }

    fn may_begin(&self, settings: &OverloadGateSettings, rank: u32) -> bool {
        may_begin(self.in_flight, self.limit, settings, rank)
    }

    fn begin(&mut self, candidate: &Candidate) {
        self.queue.record_start(candidate);
        self.in_flight += 1;
        self.round.peak = self.round.peak.max(self.in_flight);
    }

    /// Expected queueing time of a request that arrives now, from the throughput of the last round.
    fn expected_wait(&self, now: Timestamp, candidate: &Candidate) -> Duration {
        let (ended, length) = self.last_round;
        let ahead = self.queue.ahead(now, candidate) as u32;
        if ended == 0 { Duration::ZERO } else { length * ahead / ended }
    }

    /// Retry time for refused callers: as long as the shortage has lasted, within bounds, since its
    /// remaining duration is unknown.
    fn retry_after(&self, now: Timestamp, settings: &OverloadGateSettings) -> Duration {
        let [least, most] = settings.retry_after;
        now.since(self.limited_since).clamp(least, most)
    }

    fn judge(&mut self, now: Timestamp, settings: &OverloadGateSettings) {
        let samples = self.round.good + self.round.bad;
        let length = now.since(self.round.began);
        if samples < settings.least_samples && length < settings.round * 4 {
            return;
        }
        let is_bad = f64::from(self.round.bad) > f64::from(samples) * settings.bad_share
            && samples >= settings.least_samples;
        self.limit = match (self.limit, is_bad) {
            (Limit::Unlimited | Limit::Rising(_), true) => {
                self.limited_since = now;
                Limit::Reduced(self.lowered(f64::from(self.round.peak), settings))
            }
            (Limit::Reduced(limit), true) => Limit::Reduced(self.lowered(limit, settings)),
            (Limit::Reduced(limit), false) => {
                let raised = (limit * settings.increase).max(limit + 1.0);
                self.unless_unused(raised, Limit::Reduced(raised))
            }
            (Limit::Rising(limit), false) => self.unless_unused(limit, self.limit),
            (Limit::Unlimited, false) => Limit::Unlimited,
        };
        self.update_late_rate(length);
        self.surge_rounds = match self.is_limiting() && self.round.is_surge(settings) {
            true => (self.surge_rounds + 1).min(2 * OVERLOAD_ROUNDS),
            false => self.surge_rounds.saturating_sub(1),
        };
        self.last_round = (samples, length);
        self.round = Round { began: now, peak: self.in_flight, ..Round::default() };
    }

    fn update_late_rate(&mut self, length: Duration) {
        let rate = f64::from(self.round.late_started) / length.as_secs_f64().max(f64::EPSILON);
        self.late_per_second = match self.is_limiting() {
            true if self.late_per_second.is_finite() => (self.late_per_second + rate) / 2.0,
            true => rate,
            // Requests that waited before the shortage keep their chance.
            false => f64::INFINITY,
        };
        self.round_judged = true;
    }

    /// Lifts a limit of which less than half is used.
    fn unless_unused(&self, limit: f64, otherwise: Limit) -> Limit {
        if f64::from(self.round.peak) * 2.0 > limit { otherwise } else { Limit::Unlimited }
    }

    fn lowered(&self, limit: f64, settings: &OverloadGateSettings) -> f64 {
        let used = limit.min(f64::from(self.round.peak.max(1)));
        (used * settings.decrease).max(settings.least_limit)
    }
}

fn may_begin(in_flight: u32, limit: Limit, settings: &OverloadGateSettings, rank: u32) -> bool {
    let (Limit::Rising(limit) | Limit::Reduced(limit)) = limit else {
        return true;
    };
    let rank = i32::try_from(rank).unwrap_or(i32::MAX);
    let share = (1.0 - settings.reserve).powi(rank);
    let allowed = (limit * share).max(if rank == 0 { 1.0 } else { 0.0 });
    f64::from(in_flight) < allowed
}
