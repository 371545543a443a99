//! Admission of requests for one destination when its leaves run short of capacity.
//!
//! While most requests are answered in time everything is admitted. When many are late, the requests
//! under way are limited: the limit falls while it stays so and rises slowly when it is over. A request
//! to many shards of which only a few were late does not count. Requests beyond the limit wait, within
//! bounds of their own: they have not run, and served late they are worth more than refused. One that
//! would wait in vain is refused at once.
//!
//! At the start nothing is known of the leaves, and many callers may come at once: the limit begins
//! low and rises with each request that is answered in time, until the first ones are late.

use std::collections::BTreeSet;
use std::time::Duration;

use super::admission_queue::{AdmissionQueue, Candidate, TicketNumber};
use crate::time::Timestamp;

/// Rounds from which on a rush is taken for one that lasts.
const RUSH_ROUNDS: u32 = 3;

/// Bounds of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadGateSettings {
    /// Time over which outcomes are judged together.
    pub round: Duration,
    /// Share of late or refused requests above which a round is bad.
    pub bad_share: f64,
    /// Share of the parts of a late request that came in time from which on it tells of the shards
    /// that were late, and not of a lack of capacity.
    pub isolated_late_share: f64,
    /// Requests that a round needs to be judged.
    pub least_samples: u32,
    /// Factor of the limit after a bad round.
    pub decrease: f64,
    /// Factor of the limit after a good round.
    pub increase: f64,
    /// Least limit.
    pub least_limit: f64,
    /// Part of the limit that each lower rank may not use.
    pub reserve: f64,
    /// How many times as many requests as end have to come in a round for it to be said that those
    /// which wait would wait in vain.
    pub surge_ratio: f64,
    /// Limit at the start.
    pub first_limit: f64,
    /// Bounds of the time after which a refused caller may come back.
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

/// Whether a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is; [`OverloadGate::finish`] has to follow.
    Admitted,
    /// It waits: [`OverloadGate::next`] gives its number once it is admitted, [`OverloadGate::leave`] ends
    /// the wait.
    Queued(TicketNumber),
    /// It is not; its caller may come back after this time.
    Refused(Duration),
}

/// How a request that was admitted has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered within its target latency, from its admission.
    InTime,
    /// It was not.
    Late {
        /// Parts that came within the target latency, and all parts, of a request to many shards.
        parts: Option<(usize, usize)>,
    },
    /// Its caller gave it up.
    GivenUp,
}

impl RequestOutcome {
    /// Whether it tells that leaves run short; none where it tells nothing. All shards of a request
    /// get the same load: where few of them are late, these are slow, and fewer requests would not
    /// make them faster.
    fn tells_of_shortage(self, settings: &OverloadGateSettings) -> Option<bool> {
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

/// Admission for one destination.
#[derive(Debug)]
pub struct OverloadGate {
    in_flight: u32,
    limit: Limit,
    limited_since: Timestamp,
    round: Round,
    /// Recent rounds in which clearly more came than ended while leaves ran short, less those in which
    /// that was not so.
    rush_rounds: u32,
    line: AdmissionQueue,
    /// Those that waited and do not know yet that they are admitted.
    admitted: BTreeSet<TicketNumber>,
    /// How many requests begin in a second though they are late already, smoothed over rounds.
    late_per_second: f64,
    /// Whether a round was judged since it was last asked who waits in vain.
    judged_anew: bool,
    /// Requests that ended in the last round that was judged, and its length.
    last_round: (u32, Duration),
}

/// What was seen in a round.
#[derive(Debug, Clone, Copy, Default)]
struct Round {
    began: Timestamp,
    /// Requests that came.
    arrived: u32,
    /// Requests that ended.
    ended: u32,
    /// Those of them that tell that leaves do not run short.
    good: u32,
    /// Those of them that tell that leaves run short.
    bad: u32,
    /// Most requests under way.
    most: u32,
    /// Requests that began though they were late already.
    late_begun: u32,
}

impl Round {
    /// Whether clearly more requests came than ended.
    fn is_rush(&self, settings: &OverloadGateSettings) -> bool {
        f64::from(self.arrived) > f64::from(self.ended) * settings.surge_ratio + 1.0
    }
}

/// How many requests may be under way.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Limit {
    /// As many as come.
    None,
    /// So many, and more with each that is in time: nothing is known yet.
    Rising(f64),
    /// So many, since leaves run short.
    Short(f64),
}

impl OverloadGate {
    /// Nothing is known yet.
    pub fn new(settings: &OverloadGateSettings) -> Self {
        Self {
            in_flight: 0,
            limit: Limit::Rising(settings.first_limit),
            limited_since: Timestamp::ZERO,
            round: Round::default(),
            rush_rounds: 0,
            line: AdmissionQueue::default(),
            admitted: BTreeSet::new(),
            late_per_second: f64::INFINITY,
            judged_anew: false,
            last_round: (0, Duration::ZERO),
        }
    }

    /// Whether leaves run short.
    pub fn is_limiting(&self) -> bool {
        matches!(self.limit, Limit::Short(_))
    }

    /// Whether leaves run short while clearly more requests come than end.
    pub fn is_overloaded(&self) -> bool {
        self.rush_rounds >= RUSH_ROUNDS
    }

    /// Requests under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// A request comes.
    pub fn enter(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        candidate: Candidate,
    ) -> AdmissionDecision {
        self.round.arrived += 1;
        self.line.record_arrival(now, &candidate);
        if self.may_begin(settings, candidate.rank) {
            self.begin(&candidate);
            return AdmissionDecision::Admitted;
        }
        let expected = now.after(self.expected_wait(now, &candidate));
        let makes_the_rush = self.is_overloaded() && !self.line.is_within_share(&candidate);
        if makes_the_rush || expected >= candidate.give_up_at {
            return AdmissionDecision::Refused(self.retry_after(now, settings));
        }
        AdmissionDecision::Queued(self.line.join(candidate))
    }

    /// The next request that waited and is admitted now; [`OverloadGate::finish`] has to follow.
    pub fn next(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
    ) -> Option<TicketNumber> {
        let (in_flight, limit) = (self.in_flight, self.limit);
        let begins = |rank| may_begin(in_flight, limit, settings, rank);
        let (ticket, candidate) = self.line.take(now, begins)?;
        self.round.late_begun += u32::from(now >= candidate.in_time_until);
        self.begin(&candidate);
        self.admitted.insert(ticket);
        Some(ticket)
    }

    /// A request that waited knows that it is admitted.
    pub fn confirm_admission(&mut self, ticket: TicketNumber) {
        self.admitted.remove(&ticket);
    }

    /// Requests that wait in vain, as the last rounds tell: while as many come as are served, nothing is
    /// left over for those that are late already. They are to be refused at once.
    pub fn take_unservable(&mut self, now: Timestamp) -> Vec<TicketNumber> {
        match std::mem::take(&mut self.judged_anew) && self.is_overloaded() {
            true => self.line.take_unservable(now, self.late_per_second),
            false => Vec::new(),
        }
    }

    /// A request ends its wait; when it was admitted meanwhile and does not know, this is its end. Gives when
    /// its caller may come back.
    pub fn leave(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        ticket: TicketNumber,
    ) -> Duration {
        if !self.line.leave(ticket) && self.admitted.remove(&ticket) {
            self.finish(now, settings, RequestOutcome::GivenUp);
        }
        self.retry_after(now, settings)
    }

    /// A request that was admitted has ended.
    pub fn finish(
        &mut self,
        now: Timestamp,
        settings: &OverloadGateSettings,
        ended: RequestOutcome,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.round.ended += 1;
        match ended.tells_of_shortage(settings) {
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
        self.line.record_start(candidate);
        self.in_flight += 1;
        self.round.most = self.round.most.max(self.in_flight);
    }

    /// How long a request waits that comes now, as the last round tells.
    fn expected_wait(&self, now: Timestamp, candidate: &Candidate) -> Duration {
        let (ended, length) = self.last_round;
        let ahead = self.line.ahead(now, candidate) as u32;
        if ended == 0 { Duration::ZERO } else { length * ahead / ended }
    }

    /// When a refused caller may come back: after as long as it has lasted already, within bounds, since
    /// nobody knows how long it goes on.
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
            (Limit::None | Limit::Rising(_), true) => {
                self.limited_since = now;
                Limit::Short(self.lowered(f64::from(self.round.most), settings))
            }
            (Limit::Short(limit), true) => Limit::Short(self.lowered(limit, settings)),
            (Limit::Short(limit), false) => {
                let raised = (limit * settings.increase).max(limit + 1.0);
                self.unless_none(raised, Limit::Short(raised))
            }
            (Limit::Rising(limit), false) => self.unless_none(limit, self.limit),
            (Limit::None, false) => Limit::None,
        };
        self.judge_late(length);
        self.rush_rounds = match self.is_limiting() && self.round.is_rush(settings) {
            true => (self.rush_rounds + 1).min(2 * RUSH_ROUNDS),
            false => self.rush_rounds.saturating_sub(1),
        };
        self.last_round = (samples, length);
        self.round = Round { began: now, most: self.in_flight, ..Round::default() };
    }

    fn judge_late(&mut self, length: Duration) {
        let rate = f64::from(self.round.late_begun) / length.as_secs_f64().max(f64::EPSILON);
        self.late_per_second = match self.is_limiting() {
            true if self.late_per_second.is_finite() => (self.late_per_second + rate) / 2.0,
            true => rate,
            // Whoever waited before leaves ran short has its chance.
            false => f64::INFINITY,
        };
        self.judged_anew = true;
    }

    /// A limit that nothing comes near is none.
    fn unless_none(&self, limit: f64, otherwise: Limit) -> Limit {
        if f64::from(self.round.most) * 2.0 > limit { otherwise } else { Limit::None }
    }

    fn lowered(&self, limit: f64, settings: &OverloadGateSettings) -> f64 {
        let used = limit.min(f64::from(self.round.most.max(1)));
        (used * settings.decrease).max(settings.least_limit)
    }
}

fn may_begin(in_flight: u32, limit: Limit, settings: &OverloadGateSettings, rank: u32) -> bool {
    let (Limit::Rising(limit) | Limit::Short(limit)) = limit else {
        return true;
    };
    let rank = i32::try_from(rank).unwrap_or(i32::MAX);
    let share = (1.0 - settings.reserve).powi(rank);
    let allowed = (limit * share).max(if rank == 0 { 1.0 } else { 0.0 });
    f64::from(in_flight) < allowed
}
