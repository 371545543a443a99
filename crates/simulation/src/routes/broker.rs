//! Simulated broker: the forwarding code of the domain, driven by events instead of tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{
    AdmissionDecision, AfterAttempt, AttemptError, Candidate, Choice, Connectivity, Distance,
    ExecutionEvidence, ExtraLoadBudget, ExtraLoadShare, GatherStep, GatherTimes, Gathering,
    MisdirectedRequests, NoLeafReason, Outcome, OverloadGate, OverloadGateSettings, ReplicaSet,
    ReplicaSettings, RequestAttempts, RequestFailure, RequestOutcome, Selection, TicketNumber,
    hedge_delay,
};
use gingerkeel_domain::identifiers::LeafIdentity;
use gingerkeel_domain::tail::LatencyWindow;
use gingerkeel_domain::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::action::{Action, AttemptKey, Timer};
use super::bounds::{
    ADDRESS_REUSE, ADMISSION_WAIT, ATTEMPTS, CONNECTION_WAIT, CONNECTION_WAIT_LIMIT, CONNECTIONS,
    EXTRA_LOAD, HEDGE_QUANTILE, LEAST_SHARE, REFUSAL_WAIT, REFUSAL_WAIT_END, SILENT_AFTER, TARGET,
    TIMEOUT,
};
use super::fault::Mutant;
use super::history::{Ending, RequestNumber};
use super::request::{Part, Request, RouteKind};

/// A queued request.
#[derive(Debug, Clone)]
struct Waiting {
    number: RequestNumber,
    received: Timestamp,
    services: Vec<usize>,
}

/// A simulated broker process.
pub struct BrokerModel {
    replicas: BTreeMap<usize, ReplicaSet>,
    budgets: BTreeMap<usize, ExtraLoadBudget>,
    gates: BTreeMap<RouteKind, OverloadGate>,
    latencies: BTreeMap<RouteKind, LatencyWindow>,
    requests: BTreeMap<RequestNumber, Request>,
    /// Requests queued for admission.
    waiting: BTreeMap<(RouteKind, TicketNumber), Waiting>,
    in_use: BTreeMap<LeafIdentity, usize>,
    misdirected: MisdirectedRequests,
    /// Services of the new leaves at reused addresses.
    holders: BTreeMap<SocketAddr, usize>,
    extra_share: ExtraLoadShare,
    replica_settings: ReplicaSettings,
    gate_settings: OverloadGateSettings,
    random: Pcg64,
    mutant: Option<Mutant>,
}

impl BrokerModel {
    /// Creates a broker without leaves. `brokers` is the number of brokers that share the extra
    /// load.
    pub fn new(brokers: usize, seed: u64, mutant: Option<Mutant>) -> Self {
        Self {
            replicas: BTreeMap::new(),
            budgets: BTreeMap::new(),
            gates: BTreeMap::new(),
            latencies: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            in_use: BTreeMap::new(),
            misdirected: MisdirectedRequests::default(),
            holders: BTreeMap::new(),
            extra_share: ExtraLoadShare::of(&EXTRA_LOAD, brokers),
            replica_settings: replica_settings(mutant),
            gate_settings: OverloadGateSettings::default(),
            random: Pcg64::seed_from_u64(seed),
            mutant,
        }
    }

    /// Handles a directory entry of a leaf.
    pub fn list(&mut self, now: Timestamp, service: usize, leaf: &ListedLeaf, distance: Distance) {
        self.replicas.entry(service).or_default().list(now, leaf, distance);
    }

    /// Unresponsive leaves to check by a connection.
    pub fn leaves_to_check(&mut self, now: Timestamp) -> Vec<LeafIdentity> {
        let settings = &self.replica_settings;
        let replicas = self.replicas.values_mut();
        replicas.flat_map(|known| known.check_unresponsive(now, settings).to_check).collect()
    }

    /// Handles the result of a check; `taken` tells whether the leaf accepted the connection.
    pub fn checked(&mut self, now: Timestamp, service: usize, leaf: &LeafIdentity, taken: bool) {
        let settings = &self.replica_settings;
        match self.replicas.get_mut(&service) {
            Some(replicas) if taken => replicas.record_connection_accepted(now, settings, leaf),
            Some(replicas) => replicas.record_connection_refused(leaf),
            None => {}
        }
    }

    /// Handles a directory entry of a new leaf at the address of an ended one that is still listed.
    pub fn list_at_taken_address(&mut self, now: Timestamp, address: SocketAddr, service: usize) {
        self.holders.insert(address, service);
        let uncovered = self.misdirected.take(now, EXTRA_LOAD.window, address);
        let budget = self.budgets.entry(service).or_default();
        (0..uncovered).for_each(|_| budget.cover(&self.extra_share, now));
    }

    /// Handles a request that reached a leaf at a reused address: deducts it from the budget of
    /// that leaf's service once the service is known.
    pub fn cover_misdirected(&mut self, now: Timestamp, address: SocketAddr) {
        if self.mutant == Some(Mutant::EndedLeavesUnnoticed) {
            return;
        }
        match self.holders.get(&address) {
            Some(service) => {
                self.budgets.entry(*service).or_default().cover(&self.extra_share, now)
            }
            None => self.misdirected.arrived(now, address),
        }
    }

    /// Admits, queues or refuses a request.
    pub fn receive(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        kind: RouteKind,
        services: &[usize],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting = Waiting { number, received: now, services: services.to_vec() };
        let candidate = Candidate {
            rank: 0,
            in_time_until: now.after(TARGET / 2),
            give_up_at: now.after(ADMISSION_WAIT),
            tenant: None,
        };
        let settings = self.gate_settings;
        match self.gate(kind).enter(now, &settings, candidate) {
            AdmissionDecision::Admitted => self.begin(now, kind, waiting, &mut actions),
            AdmissionDecision::Queued(ticket) => {
                self.waiting.insert((kind, ticket), waiting);
                actions.push(Action::Wake(ADMISSION_WAIT, Timer::Admission(kind, ticket)));
            }
            AdmissionDecision::Refused(_) => actions.push(Action::End(number, Ending::NotRun)),
        }
        actions
    }

    fn gate(&mut self, kind: RouteKind) -> &mut OverloadGate {
        let settings = self.gate_settings;
        self.gates.entry(kind).or_insert_with(|| OverloadGate::new(&settings))
    }

    /// Removes a request from the admission queue and refuses it.
    fn end_wait(
        &mut self,
        now: Timestamp,
        kind: RouteKind,
        ticket: TicketNumber,
        actions: &mut Vec<Action>,
    ) {
        if let Some(waiting) = self.waiting.remove(&(kind, ticket)) {
            let settings = self.gate_settings;
            self.gate(kind).leave(now, &settings, ticket);
            actions.push(Action::End(waiting.number, Ending::NotRun));
        }
    }

    /// Starts queued requests that can be admitted, and refuses those that cannot be served in
    /// time.
    fn admit_next(&mut self, now: Timestamp, kind: RouteKind, actions: &mut Vec<Action>) {
        let settings = self.gate_settings;
        while let Some(ticket) = self.gate(kind).next(now, &settings) {
            self.gate(kind).confirm_admission(ticket);
            if let Some(waiting) = self.waiting.remove(&(kind, ticket)) {
                self.begin(now, kind, waiting, actions);
            }
        }
        for ticket in self.gate(kind).take_unservable(now) {
            if let Some(waiting) = self.waiting.remove(&(kind, ticket)) {
                actions.push(Action::End(waiting.number, Ending::NotRun));
            }
        }
    }

    /// Starts an admitted request.
    fn begin(
        &mut self,
        now: Timestamp,
        kind: RouteKind,
        waiting: Waiting,
        actions: &mut Vec<Action>,
    ) {
        let Waiting { number, received, services } = waiting;
        let repeatable = self.mutant == Some(Mutant::EveryRequestRepeatable);
        let repeatable = repeatable || kind == RouteKind::Gathered;
        let part = |service: &usize| Part {
            service: *service,
            attempts: RequestAttempts::new(repeatable, ATTEMPTS),
            began: BTreeMap::new(),
            came: None,
            leaf_failed: false,
            overdue_hedged: false,
        };
        let deadline = received.after(TIMEOUT);
        let times = GatherTimes { received, soft: received.after(TARGET), deadline };
        let gathering = || Gathering::new(services.len(), LEAST_SHARE, times);
        let mut request = Request {
            kind,
            admitted: now,
            deadline,
            gathering: (kind == RouteKind::Gathered).then(gathering),
            parts: services.iter().map(part).collect(),
            evidence: ExecutionEvidence::default(),
        };
        for (part, service) in services.iter().enumerate() {
            self.budgets.entry(*service).or_default().earn(&self.extra_share, now);
            self.ask(now, number, &mut request, part, false, actions);
        }
        self.advance(now, number, request, actions);
    }

    /// Handles the outcome of an attempt.
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        outcome: Result<u16, AttemptError>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(mut request) = self.requests.remove(&key.request) else {
            return actions;
        };
        let part = &mut request.parts[key.part];
        if let Some(began) = part.began.remove(&key.leaf) {
            let (service, took) = (part.service, now.since(began));
            let after = part.attempts.ended(&key.leaf, outcome);
            request.evidence.heard(outcome);
            part.leaf_failed = outcome.is_ok_and(|status| status >= 500);
            self.observe(now, request.kind, service, &key.leaf, outcome, took);
            self.settle(now, key, &mut request, after, &mut actions);
        }
        self.advance(now, key.request, request, &mut actions);
        actions
    }

    /// Handles a timer.
    pub fn wake(&mut self, now: Timestamp, timer: Timer) -> Vec<Action> {
        let mut actions = Vec::new();
        let number = match timer {
            Timer::Progress(number) | Timer::Hedge(number, _, _) | Timer::Connection(number, _) => {
                number
            }
            Timer::Admission(kind, ticket) => {
                self.end_wait(now, kind, ticket, &mut actions);
                return actions;
            }
        };
        let Some(mut request) = self.requests.remove(&number) else {
            return actions;
        };
        match timer {
            Timer::Progress(_) | Timer::Admission(..) => {}
            Timer::Hedge(_, part, asked) => {
                if request.parts[part].attempts.tried().len() == asked {
                    self.hedge(now, number, &mut request, part, &mut actions);
                }
            }
            Timer::Connection(_, part) => {
                if request.parts[part].came.is_none() && request.parts[part].began.is_empty() {
                    self.ask(now, number, &mut request, part, false, &mut actions);
                }
            }
        }
        self.advance(now, number, request, &mut actions);
        actions
    }

    fn settle(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        request: &mut Request,
        after: AfterAttempt,
        actions: &mut Vec<Action>,
    ) {
        let none_open = request.parts[key.part].began.is_empty();
        match after {
            _ if request.parts[key.part].came.is_some() => {}
            AfterAttempt::Reply => {
                self.part_ended(now, key.request, request, key.part, true, actions)
            }
            AfterAttempt::NoReply => {
                self.part_ended(now, key.request, request, key.part, false, actions);
            }
            AfterAttempt::AskAnother { .. } if none_open => {
                self.ask(now, key.request, request, key.part, false, actions);
            }
            AfterAttempt::AskAnother { .. } => {}
        }
    }

    fn part_ended(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &mut Request,
        part: usize,
        came: bool,
        actions: &mut Vec<Action>,
    ) {
        request.parts[part].came = Some(came);
        if let Some(gathering) = &mut request.gathering {
            let counts = came || self.mutant == Some(Mutant::FailedPartsCount);
            gathering.record_part(now, counts);
        }
        self.cancel_attempts(now, number, request, part, actions);
    }

    /// Sends the part to the next leaf, if possible. Otherwise schedules a retry or fails the part.
    fn ask(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &mut Request,
        part: usize,
        hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let choice = match self.select(now, &request.parts[part]) {
            Selection::Ask(choice) => Some(choice),
            Selection::Wait { .. }
                if !hedge && now.since(request.admitted) <= CONNECTION_WAIT_LIMIT =>
            {
                actions.push(Action::Wake(CONNECTION_WAIT, Timer::Connection(number, part)));
                return;
            }
            Selection::Wait { otherwise } => otherwise,
            Selection::NoLeaf(_) => None,
        };
        // A hedge to a late leaf rarely answers first.
        let choice = choice.filter(|choice| choice.sound || !hedge);
        let asked = choice.filter(|_| self.may_ask(now, &request.parts[part]));
        match asked {
            Some(choice) => self.send(now, number, request, part, choice, actions),
            None if request.parts[part].began.is_empty()
                && !hedge
                && !request.parts[part].leaf_failed
                && now.after(REFUSAL_WAIT_END) < request.deadline =>
            {
                request.parts[part].attempts.forget_refusals();
                actions.push(Action::Wake(REFUSAL_WAIT, Timer::Connection(number, part)));
            }
            None if request.parts[part].began.is_empty() => {
                self.part_ended(now, number, request, part, false, actions);
            }
            None => {}
        }
    }

    fn select(&mut self, now: Timestamp, part: &Part) -> Selection {
        let in_use = &self.in_use;
        let reach = |leaf: &LeafIdentity| {
            let used = in_use.get(leaf).copied().unwrap_or(0);
            Ok(if used < CONNECTIONS { Connectivity::Idle } else { Connectivity::Exhausted })
        };
        let random = &mut self.random;
        let Some(replicas) = self.replicas.get(&part.service) else {
            return Selection::NoLeaf(NoLeafReason::NoneListed);
        };
        let tried = part.attempts.tried();
        replicas.choose(now, &self.replica_settings, tried, reach, || random.random())
    }

    fn may_ask(&mut self, now: Timestamp, part: &Part) -> bool {
        if !part.attempts.may_ask() {
            return false;
        }
        let budget = self.budgets.entry(part.service).or_default();
        let ignored = self.mutant == Some(Mutant::BudgetIgnored);
        !part.attempts.next_is_extra() || ignored || budget.take(&self.extra_share, now)
    }

    fn send(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &mut Request,
        place: usize,
        choice: Choice,
        actions: &mut Vec<Action>,
    ) {
        let delay = self.hedge_delay(request.kind);
        let part = &mut request.parts[place];
        part.attempts.asked(now, choice.leaf.clone());
        request.evidence.sent();
        part.began.insert(choice.leaf.clone(), now);
        *self.in_use.entry(choice.leaf.clone()).or_insert(0) += 1;
        if let Some(replicas) = self.replicas.get_mut(&part.service) {
            replicas.begin(&choice.leaf);
        }
        let asked = part.attempts.tried().len();
        actions.push(Action::Wake(delay, Timer::Hedge(number, place, asked)));
        actions.push(Action::Send(AttemptKey { request: number, part: place, leaf: choice.leaf }));
    }

    /// Delay of a hedge.
    fn hedge_delay(&self, kind: RouteKind) -> Duration {
        let latencies = self.latencies.get(&kind);
        hedge_delay(latencies.and_then(|known| known.quantile(HEDGE_QUANTILE)), TARGET)
    }

    /// Records the last leaf as late and sends a hedge, if possible.
    fn hedge(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &mut Request,
        part: usize,
        actions: &mut Vec<Action>,
    ) {
        let is_short = self.gate(request.kind).is_limiting();
        let asked = &request.parts[part];
        if asked.came.is_some() || !asked.attempts.may_hedge() || is_short {
            return;
        }
        let replicas = self.replicas.get_mut(&asked.service);
        if let (Some(replicas), Some(leaf)) = (replicas, asked.attempts.newest_open()) {
            replicas.mark_late(now, &self.replica_settings, leaf);
        }
        self.ask(now, number, request, part, true, actions);
    }

    /// Completes the request, or schedules the next check of its progress.
    fn advance(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        let step = match &request.gathering {
            Some(gathering) => gathering.step(now),
            None if request.parts[0].came.is_some() || now >= request.deadline => {
                GatherStep::Finish
            }
            None => GatherStep::WaitUntil(request.deadline),
        };
        let overdue = request.gathering.as_ref().is_some_and(|known| known.is_overdue(now));
        match step {
            GatherStep::Finish => self.finish(now, number, request, actions),
            GatherStep::WaitUntil(at) => {
                for part in 0..request.parts.len() {
                    if overdue && !std::mem::replace(&mut request.parts[part].overdue_hedged, true)
                    {
                        self.hedge(now, number, &mut request, part, actions);
                    }
                }
                if self.mutant != Some(Mutant::DeadlineUnheard) {
                    actions.push(Action::Wake(at.since(now), Timer::Progress(number)));
                }
                self.requests.insert(number, request);
            }
        }
    }

    fn finish(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        mut request: Request,
        actions: &mut Vec<Action>,
    ) {
        for part in 0..request.parts.len() {
            self.cancel_attempts(now, number, &mut request, part, actions);
        }
        let ending = self.ending(now, &request);
        let parts = request.gathering.as_ref().map(Gathering::in_time);
        let in_time = now.since(request.admitted) <= TARGET;
        let ended = match &ending {
            Ending::Answered(_) if in_time => RequestOutcome::InTime,
            _ => RequestOutcome::Late { parts },
        };
        let settings = self.gate_settings;
        self.gate(request.kind).finish(now, &settings, ended);
        actions.push(Action::End(number, ending));
        self.admit_next(now, request.kind, actions);
    }

    fn ending(&self, now: Timestamp, request: &Request) -> Ending {
        let counts = |part: &&Part| {
            part.came == Some(true)
                || part.came.is_some() && self.mutant == Some(Mutant::FailedPartsCount)
        };
        let present = || -> BTreeSet<usize> {
            request.parts.iter().filter(counts).map(|part| part.service).collect()
        };
        match &request.gathering {
            Some(gathering) if gathering.reaches_least_share() => Ending::Answered(present()),
            Some(_) => self.not_answered(now, request),
            None => match request.parts[0].came {
                Some(true) if request.parts[0].leaf_failed => Ending::LeafFailed,
                Some(true) => Ending::Answered(present()),
                Some(false) | None => self.not_answered(now, request),
            },
        }
    }

    fn not_answered(&self, now: Timestamp, request: &Request) -> Ending {
        match request.evidence.failure(now >= request.deadline) {
            RequestFailure::NoAnswer if self.mutant != Some(Mutant::UnknownSaidNotRun) => {
                Ending::MayHaveRun
            }
            RequestFailure::NoAnswer | RequestFailure::NotRun => Ending::NotRun,
            RequestFailure::TimedOut => Ending::TimedOut,
        }
    }

    /// Cancels the attempts in flight of a part.
    fn cancel_attempts(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        request: &mut Request,
        place: usize,
        actions: &mut Vec<Action>,
    ) {
        let silent = self.hedge_delay(request.kind) * SILENT_AFTER;
        let part = &mut request.parts[place];
        for (leaf, began) in std::mem::take(&mut part.began) {
            let waited = now.since(began);
            if let Some(replicas) = self.replicas.get_mut(&part.service) {
                let settings = &self.replica_settings;
                replicas.finish(now, settings, &leaf, Outcome::Abandoned(waited));
                if waited >= silent {
                    replicas.mark_silent(now, settings, &leaf);
                }
            }
            release(&mut self.in_use, &leaf);
            actions.push(Action::Cancel(AttemptKey { request: number, part: place, leaf }));
        }
    }

    fn observe(
        &mut self,
        now: Timestamp,
        kind: RouteKind,
        service: usize,
        leaf: &LeafIdentity,
        outcome: Result<u16, AttemptError>,
        took: Duration,
    ) {
        release(&mut self.in_use, leaf);
        let seen = match outcome {
            Ok(_) => Outcome::Answered(took),
            Err(AttemptError::Rejected) => Outcome::Rejected,
            Err(AttemptError::AnotherLeaf) => Outcome::AddressTaken,
            Err(AttemptError::ConnectionRefused) => Outcome::ConnectionRefused,
            Err(_) => Outcome::Failed,
        };
        if let Some(replicas) = self.replicas.get_mut(&service) {
            replicas.finish(now, &self.replica_settings, leaf, seen);
        }
        if outcome.is_ok() {
            self.latencies.entry(kind).or_default().record(now, took);
        }
    }
}

fn replica_settings(mutant: Option<Mutant>) -> ReplicaSettings {
    let settings = ReplicaSettings { address_reuse: ADDRESS_REUSE, ..ReplicaSettings::default() };
    match mutant {
        // Assumes that the directory never lists an ended leaf.
        Some(Mutant::EndedLeavesUnnoticed) => {
            ReplicaSettings { list_lag: Duration::ZERO, ..settings }
        }
        _ => settings,
    }
}

fn release(in_use: &mut BTreeMap<LeafIdentity, usize>, leaf: &LeafIdentity) {
    if let Some(used) = in_use.get_mut(leaf) {
        *used = used.saturating_sub(1);
    }
}
