//! Simulates quota meters and aggregators on a virtual clock, with message delays and loss.
#![allow(dead_code)]

mod ledger;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerkeel_domain::identifiers::{BrokerName, BrokerRun, ControlName, TenantName};
use gingerkeel_domain::quota::{
    FleetUsage, PeerUsage, QuotaDecision, QuotaMeter, QuotaSettings, UsageAggregator, UsageReport,
};
use gingerkeel_domain::routes::TenantQuota;
use gingerkeel_domain::time::Timestamp;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

pub use ledger::Ledger;

/// Window and tolerance in all of these tests.
pub const SETTINGS: QuotaSettings =
    QuotaSettings { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };

/// Time between two reports of a broker, and between two rounds of a control process.
const ROUND_MS: u64 = 100;
/// One-way delay of a message, also between regions.
const DELAY_MS: std::ops::Range<u64> = 1..15;
/// Idle time after which a link counts as lost.
const LINK_TIME_OUT_MS: u64 = 3_000;
/// Time after which a broker reconnects.
const RECONNECT_MS: u64 = 500;
/// Interval of updates of the replicated membership.
const MEMBERS_ROUND_MS: u64 = 500;

/// How the requests of a tenant are spread over the brokers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Spread {
    /// All requests go to the first broker.
    One,
    /// The n-th broker gets 1/n of the requests of the first one.
    Zipf,
    /// All brokers get the same number.
    Even,
}

/// A Poisson load of one tenant.
#[derive(Debug, Clone)]
pub struct Load {
    pub tenant: &'static str,
    pub per_second: f64,
    pub spread: Spread,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A quota of `per_second` requests per second with a burst.
pub fn quota(per_second: f64, burst: f64) -> TenantQuota {
    TenantQuota {
        requests_per_1000_s: (per_second * 1_000.0) as u64,
        burst_thousandths: (burst * 1_000.0) as u64,
    }
}

struct Broker {
    meter: QuotaMeter,
    /// The control process that feeds it.
    control: Option<usize>,
    /// When its link was lost.
    lost_ms: u64,
    frozen_until_ms: u64,
    /// Number of the run of its process.
    run: u64,
    /// Number of its link, so that messages of an earlier link are ignored.
    link: u64,
    last_heard_ms: u64,
}

struct Control {
    aggregator: UsageAggregator,
    alive: bool,
    run: u64,
    last_heard_ms: BTreeMap<usize, u64>,
}

enum Message {
    Report { broker: usize, link: u64, report: UsageReport },
    Levels { broker: usize, link: u64, usage: FleetUsage },
    Peer { from: usize, to: usize, usage: PeerUsage },
}

impl Message {
    /// The connection and direction of the message.
    fn connection(&self) -> (u8, usize, usize) {
        match self {
            Self::Report { broker, link, .. } => (0, *broker, *link as usize),
            Self::Levels { broker, link, .. } => (1, *broker, *link as usize),
            Self::Peer { from, to, .. } => (2, *from, *to),
        }
    }
}

/// Message loss and delay between processes, in addition to partitions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unreliable {
    /// Fraction of the messages between control processes that are lost, since queues are bounded.
    pub lost: f64,
    /// Fraction of the messages that are delayed.
    pub late: f64,
    /// Additional delay of those messages.
    pub late_ms: u64,
}

/// A simulated fleet of brokers and control processes that enforce quotas.
pub struct Fleet {
    now_ms: u64,
    brokers: Vec<Broker>,
    controls: Vec<Control>,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    last_arrival_ms: BTreeMap<(u8, usize, usize), u64>,
    quotas: BTreeMap<TenantName, TenantQuota>,
    ledgers: BTreeMap<TenantName, Ledger>,
    loads: Vec<Load>,
    random: Pcg64,
    /// Partition of brokers and control processes; 0 if missing.
    broker_part: BTreeMap<usize, u8>,
    control_part: BTreeMap<usize, u8>,
    pub unreliable: Unreliable,
}

impl Fleet {
    /// A fleet whose processes have just started.
    pub fn new(brokers: usize, controls: usize, quotas: &[(&str, TenantQuota)]) -> Self {
        let quotas: BTreeMap<TenantName, TenantQuota> =
            quotas.iter().map(|(name, quota)| (TenantName::new(name), *quota)).collect();
        let ledgers = quotas.iter().map(|(name, quota)| (name.clone(), Ledger::new(*quota)));
        let mut fleet = Self {
            now_ms: 0,
            brokers: Vec::new(),
            controls: Vec::new(),
            messages: BTreeMap::new(),
            sent: 0,
            last_arrival_ms: BTreeMap::new(),
            ledgers: ledgers.collect(),
            quotas,
            loads: Vec::new(),
            random: Pcg64::seed_from_u64(11),
            broker_part: BTreeMap::new(),
            control_part: BTreeMap::new(),
            unreliable: Unreliable::default(),
        };
        fleet.controls = (0..controls).map(|number| fleet.new_control(number, 1)).collect();
        for number in 0..brokers {
            let mut broker = fleet.new_broker(brokers);
            broker.control = Some(number % controls);
            fleet.brokers.push(broker);
        }
        fleet
    }

    /// Reseeds the random generator.
    pub fn seed(&mut self, seed: u64) {
        self.random = Pcg64::seed_from_u64(seed);
    }

    pub fn load(&mut self, load: Load) {
        self.loads.push(load);
    }

    pub fn ledger(&self, tenant: &str) -> &Ledger {
        &self.ledgers[&TenantName::new(tenant)]
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Advances the clock in steps of one millisecond.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.deliver();
            self.send_requests();
            self.rounds();
            self.now_ms += 1;
        }
    }

    /// Partitions these brokers from all control processes.
    pub fn cut_brokers(&mut self, brokers: impl Iterator<Item = usize>) {
        brokers.for_each(|broker| {
            self.broker_part.insert(broker, 9);
        });
    }

    /// Partitions the last control processes, with the same fraction of the brokers.
    pub fn cut_in_two(&mut self, controls: usize) {
        let (all, brokers) = (self.controls.len(), self.brokers.len());
        (all - controls..all).for_each(|control| {
            self.control_part.insert(control, 1);
        });
        let side = |broker: &usize| broker % all >= all - controls;
        (0..brokers).filter(side).for_each(|broker| {
            self.broker_part.insert(broker, 1);
        });
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.broker_part.clear();
        self.control_part.clear();
    }

    /// Kills a control process; its brokers see their connections closed.
    pub fn kill_control(&mut self, control: usize) {
        self.controls[control].alive = false;
        for number in 0..self.brokers.len() {
            if self.brokers[number].control == Some(control) {
                self.lose_link(number);
            }
        }
    }

    /// Starts a control process without any state.
    pub fn start_control(&mut self, control: usize) {
        if self.controls[control].alive {
            return;
        }
        let run = self.controls[control].run + 1;
        self.controls[control] = self.new_control(control, run);
    }

    /// Suspends a broker process.
    pub fn freeze(&mut self, broker: usize, for_ms: u64) {
        self.brokers[broker].frozen_until_ms = self.now_ms + for_ms;
    }

    /// Replaces a broker process by a new one.
    pub fn restart_broker(&mut self, broker: usize) {
        if let Some(control) = self.brokers[broker].control {
            let name = broker_name(broker);
            self.controls[control].aggregator.broker_stopped(at(self.now_ms), &name);
        }
        let mut new = self.new_broker(self.brokers.len());
        new.run = self.brokers[broker].run + 1;
        new.link = self.brokers[broker].link + 1;
        self.brokers[broker] = new;
    }

    /// Changes the quota of a tenant at every process.
    pub fn change_quota(&mut self, tenant: &str, quota: TenantQuota) {
        let tenant = TenantName::new(tenant);
        self.quotas.insert(tenant.clone(), quota);
        self.ledgers.get_mut(&tenant).expect("a known tenant").change(self.now_ms, quota);
        let now = at(self.now_ms);
        for broker in &mut self.brokers {
            broker.meter.configure(now, listed(&self.quotas));
        }
        for control in self.controls.iter_mut().filter(|control| control.alive) {
            control.aggregator.configure(now, listed(&self.quotas));
        }
    }

    fn new_broker(&self, brokers: usize) -> Broker {
        let mut meter = QuotaMeter::new(SETTINGS);
        meter.set_brokers(brokers);
        meter.configure(at(self.now_ms), listed(&self.quotas));
        Broker {
            meter,
            control: None,
            lost_ms: self.now_ms,
            frozen_until_ms: 0,
            run: 1,
            link: 0,
            last_heard_ms: self.now_ms,
        }
    }

    fn new_control(&self, number: usize, run: u64) -> Control {
        let now = at(self.now_ms);
        let mut aggregator = UsageAggregator::new(run * 1_000 + number as u64);
        aggregator.configure(now, listed(&self.quotas));
        Control { aggregator, alive: true, run, last_heard_ms: BTreeMap::new() }
    }

    fn send_requests(&mut self) {
        for index in 0..self.loads.len() {
            let load = self.loads[index].clone();
            if self.now_ms < load.from_ms || self.now_ms >= load.until_ms {
                continue;
            }
            // Poisson-distributed number of requests per step, by Knuth's algorithm.
            let bound = (-load.per_second / 1_000.0).exp();
            let mut product = self.draw();
            while product > bound {
                let broker = self.pick(load.spread);
                self.arrive(broker, load.tenant);
                product *= self.draw();
            }
        }
    }

    fn arrive(&mut self, broker: usize, tenant: &str) {
        // Requests to a suspended broker go to the next one.
        let broker = match self.brokers[broker].frozen_until_ms > self.now_ms {
            true => (broker + 1) % self.brokers.len(),
            false => broker,
        };
        let tenant = TenantName::new(tenant);
        let draw = self.draw();
        let verdict = self.brokers[broker].meter.admit(at(self.now_ms), &tenant, draw);
        let admitted = verdict == QuotaDecision::Admitted;
        self.ledgers.get_mut(&tenant).expect("a known tenant").record(self.now_ms, admitted);
    }

    fn pick(&mut self, spread: Spread) -> usize {
        let brokers = self.brokers.len();
        let draw = self.draw();
        match spread {
            Spread::One => 0,
            Spread::Even => (draw * brokers as f64) as usize,
            // Approximate inverse of the harmonic numbers.
            Spread::Zipf => (((brokers as f64 + 1.0).powf(draw) - 1.0) as usize).min(brokers - 1),
        }
    }

    fn draw(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn rounds(&mut self) {
        for number in 0..self.brokers.len() {
            if (self.now_ms + number as u64 * 37).is_multiple_of(ROUND_MS) {
                self.broker_round(number);
            }
        }
        for number in 0..self.controls.len() {
            let due = (self.now_ms + number as u64 * 31).is_multiple_of(ROUND_MS);
            if due && self.controls[number].alive {
                self.control_round(number);
            }
        }
    }

    fn broker_round(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.brokers[number].frozen_until_ms > now_ms {
            return;
        }
        let Some(control) = self.brokers[number].control else {
            return self.reconnect(number);
        };
        if now_ms > self.brokers[number].last_heard_ms + LINK_TIME_OUT_MS {
            return self.lose_link(number);
        }
        let broker = &mut self.brokers[number];
        let link = broker.link;
        if let Some(report) = broker.meter.report(at(now_ms))
            && self.reaches(number, control)
        {
            self.send(Message::Report { broker: number, link, report });
        }
    }

    fn control_round(&mut self, number: usize) {
        let now = at(self.now_ms);
        if self.now_ms % MEMBERS_ROUND_MS < ROUND_MS && !self.control_part.contains_key(&number) {
            self.update_members(number);
        }
        self.notice_lost_brokers(number);
        let usage = self.controls[number].aggregator.peer_message(now);
        for to in (0..self.controls.len()).filter(|to| *to != number) {
            self.send(Message::Peer { from: number, to, usage: usage.clone() });
        }
        if !self.controls[number].aggregator.is_informed(now) {
            return;
        }
        let levels = self.controls[number].aggregator.broker_levels(now);
        for broker in 0..self.brokers.len() {
            if self.brokers[broker].control == Some(number) && self.reaches(broker, number) {
                let heard = self.controls[number].aggregator.last_sequence(&broker_name(broker));
                let usage = FleetUsage { heard, levels: levels.clone() };
                let link = self.brokers[broker].link;
                self.send(Message::Levels { broker, link, usage });
            }
        }
    }

    /// Applies the replicated membership, which lags by up to half a second.
    fn update_members(&mut self, number: usize) {
        let fed = self.brokers.iter().enumerate().filter_map(|(broker, state)| {
            Some((broker_name(broker), control_name(state.control?)))
        });
        let fed: Vec<(BrokerName, ControlName)> = fed.collect();
        let peers = (0..self.controls.len()).filter(|peer| *peer != number);
        let peers: Vec<ControlName> = peers.map(control_name).collect();
        let now = at(self.now_ms);
        let aggregator = &mut self.controls[number].aggregator;
        aggregator.set_peers(now, peers.into_iter());
        aggregator.set_members(now, self.brokers.len(), fed.into_iter());
    }

    fn notice_lost_brokers(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let control = &mut self.controls[number];
        let silent = |(_, heard): &(&usize, &u64)| **heard + LINK_TIME_OUT_MS < now_ms;
        let lost: BTreeSet<usize> =
            control.last_heard_ms.iter().filter(silent).map(|(broker, _)| *broker).collect();
        for broker in lost {
            control.last_heard_ms.remove(&broker);
            control.aggregator.broker_lost(at(now_ms), &broker_name(broker));
        }
    }

    fn lose_link(&mut self, number: usize) {
        let broker = &mut self.brokers[number];
        broker.control = None;
        broker.link += 1;
        broker.lost_ms = self.now_ms;
        broker.meter.link_lost(at(self.now_ms));
    }

    fn reconnect(&mut self, number: usize) {
        if self.now_ms < self.brokers[number].lost_ms + RECONNECT_MS {
            return;
        }
        let count = self.controls.len();
        let next = (0..count).map(|step| (number + step) % count);
        let mut alive = next.filter(|control| self.controls[*control].alive);
        let found = alive.find(|control| self.reaches(number, *control));
        if found.is_some() {
            self.brokers[number].control = found;
            self.brokers[number].last_heard_ms = self.now_ms;
        }
    }

    fn reaches(&self, broker: usize, control: usize) -> bool {
        let part = self.broker_part.get(&broker).copied().unwrap_or(0);
        part == self.control_part.get(&control).copied().unwrap_or(0)
    }

    fn send(&mut self, message: Message) {
        let between_controls = matches!(message, Message::Peer { .. });
        if between_controls && self.draw() < self.unreliable.lost {
            return;
        }
        let span = (DELAY_MS.end - DELAY_MS.start) as f64;
        let mut delay = DELAY_MS.start + (self.draw() * span) as u64;
        if self.draw() < self.unreliable.late {
            delay += self.unreliable.late_ms;
        }
        // A connection preserves the order, so a late message delays those behind it.
        let last = self.last_arrival_ms.entry(message.connection()).or_default();
        *last = (*last).max(self.now_ms + delay);
        self.sent += 1;
        self.messages.insert((*last, self.sent), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let message = entry.remove();
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        let now = at(self.now_ms);
        match message {
            Message::Report { broker, link, report } => {
                let Some(control) = self.brokers[broker].control else {
                    return;
                };
                let run = self.brokers[broker].run;
                if self.brokers[broker].link == link && self.reaches(broker, control) {
                    let control = &mut self.controls[control];
                    control.last_heard_ms.insert(broker, self.now_ms);
                    control.aggregator.record_report(
                        now,
                        &broker_name(broker),
                        BrokerRun(run),
                        &report,
                    );
                }
            }
            Message::Levels { broker, link, usage } => {
                let Some(control) = self.brokers[broker].control else {
                    return;
                };
                let reached = self.reaches(broker, control);
                let broker = &mut self.brokers[broker];
                if broker.link == link && reached && broker.frozen_until_ms <= self.now_ms {
                    broker.last_heard_ms = self.now_ms;
                    broker.meter.apply_fleet_usage(now, &usage);
                }
            }
            Message::Peer { from, to, usage } => {
                let part = |control: usize| self.control_part.get(&control);
                let passes = part(from) == part(to);
                if passes && self.controls[to].alive && self.controls[from].alive {
                    self.controls[to].aggregator.record_peer_usage(
                        now,
                        &control_name(from),
                        &usage,
                    );
                }
            }
        }
    }
}

/// The timestamp `milliseconds` after the start.
pub fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1_000)
}

fn broker_name(number: usize) -> BrokerName {
    BrokerName::new(format!("broker-{number}"))
}

fn control_name(number: usize) -> ControlName {
    ControlName::new(format!("control-{number}"))
}

fn listed(
    quotas: &BTreeMap<TenantName, TenantQuota>,
) -> impl Iterator<Item = (TenantName, TenantQuota)> {
    quotas.iter().map(|(name, quota)| (name.clone(), *quota))
}
