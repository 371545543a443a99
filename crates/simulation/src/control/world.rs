//! Simulated world of the control tier, and the dispatch of its events.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::cluster::{ChangeRequest, ClusterState};
use gingerkeel_domain::consensus::{ConsensusSettings, Entry, LogIndex, WriteNumber};
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64;

use super::broker::{Broker, BrokerIndex};
use super::fault::{Fault, Mutant};
use super::history::{FinalState, History};
use super::machine::{Machine, MachineIndex};
use super::message::{Endpoint, LinkNumber, Message};
use super::network::Network;
use super::operator::{Operator, OperatorIndex};
use crate::trace::Trace;
use crate::virtual_clock::{Schedule, World};

/// Interval between samples of a broker.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between membership checks of a machine.
pub(super) const MANAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between concurrent changes of all operators.
pub(super) const RACE_INTERVAL: Duration = Duration::from_millis(1500);

/// Event of the simulated world. A `u64` is the run number of a machine or broker process, to
/// discard outdated events.
#[derive(Debug, Clone)]
pub enum Event {
    /// Arrival of a message.
    Arrives(Endpoint, Message),
    /// Timer of a machine's consensus node, possibly outdated.
    MachineTimer(MachineIndex, u64),
    /// Completed disk write of a machine.
    Synced(MachineIndex, u64, WriteNumber),
    /// Membership check of a machine.
    Manage(MachineIndex),
    /// Timer of a broker, possibly outdated.
    BrokerTimer(BrokerIndex, u64),
    /// Connection attempt of a broker.
    Reconnect(BrokerIndex, u64, LinkNumber),
    /// Timeout of a broker's connection attempt.
    ConnectLate(BrokerIndex, u64, LinkNumber),
    /// Sample of a broker's state.
    Sample(BrokerIndex),
    /// Addition of the contended leaf by the first operator.
    AddRacedLeaf,
    /// Independent change of an operator.
    OwnChange(OperatorIndex),
    /// Lookup of the accepted revision by all operators.
    RaceLookup,
    /// Concurrent changes of the same target by all operators.
    Race,
    /// Request timeout of an operator.
    ResendDue(OperatorIndex, ChangeRequest),
    /// Injected fault.
    Fault(Fault),
    /// End of all faults.
    HealAll,
}

/// State of the simulated control tier.
pub struct ControlWorld {
    /// Current time.
    pub now: Timestamp,
    /// Machines by index.
    pub machines: Vec<Machine>,
    /// Brokers by index.
    pub brokers: Vec<Broker>,
    /// Operators by index.
    pub operators: Vec<Operator>,
    /// Mean interval between independent changes of an operator.
    pub change_interval: Duration,
    /// Time after which operators begin no further changes.
    pub changes_end: Timestamp,
    /// Number of rounds of concurrent changes.
    pub races: u64,
    /// Network between the endpoints.
    pub network: Network,
    /// Observations for the checks.
    pub history: History,
    /// Event trace.
    pub trace: Trace,
    /// Random number generator of the world.
    pub random: Pcg64,
    /// Rule that is disabled, if any.
    pub mutant: Option<Mutant>,
    /// Entries as first applied by any machine.
    pub applied: BTreeMap<LogIndex, Entry>,
    /// Settings of the consensus nodes.
    pub settings: ConsensusSettings,
}

impl World for ControlWorld {
    type Event = Event;

    fn handle(&mut self, now: Timestamp, event: Event, schedule: &mut Schedule<Event>) {
        self.now = now;
        self.trace.record(now, format_args!("event={event:?}"));
        match event {
            Event::Arrives(to, message) => self.arrives(now, to, message, schedule),
            Event::MachineTimer(machine, run) => self.machine_timer(now, machine, run, schedule),
            Event::Synced(machine, run, number) => self.synced(now, machine, run, number, schedule),
            Event::Manage(machine) => self.manage(now, machine, schedule),
            Event::BrokerTimer(broker, run) => self.broker_timer(now, broker, run, schedule),
            Event::Reconnect(broker, run, link) => self.reconnect(broker, run, link, schedule),
            Event::ConnectLate(broker, run, link) => {
                self.connect_late(now, broker, run, link, schedule)
            }
            Event::Sample(broker) => self.sample(now, broker, schedule),
            Event::AddRacedLeaf => self.add_raced_leaf(schedule),
            Event::OwnChange(operator) => self.own_change(now, operator, schedule),
            Event::RaceLookup => self.race_lookup(now, schedule),
            Event::Race => self.race(schedule),
            Event::ResendDue(operator, request) => self.resend(operator, &request, schedule),
            Event::Fault(fault) => self.fault(now, fault, schedule),
            Event::HealAll => self.heal_all(now, schedule),
        }
    }
}

impl ControlWorld {
    /// Starts all machines, brokers and operators.
    pub fn begin(&mut self, schedule: &mut Schedule<Event>) {
        for machine in 0..self.machines.len() {
            self.start(Timestamp::ZERO, MachineIndex(machine), schedule);
            schedule.after(MANAGE_INTERVAL, Event::Manage(MachineIndex(machine)));
        }
        for broker in 0..self.brokers.len() {
            let pause = Duration::from_millis(self.random.random_range(0..500));
            let first = Event::Reconnect(BrokerIndex(broker), 0, LinkNumber::default());
            schedule.after(pause, first);
            schedule.after(SAMPLE_INTERVAL, Event::Sample(BrokerIndex(broker)));
        }
        for operator in 0..self.operators.len() {
            let pause = Duration::from_millis(self.random.random_range(1500..2500));
            schedule.after(pause, Event::OwnChange(OperatorIndex(operator)));
        }
        schedule.after(Duration::from_millis(1200), Event::AddRacedLeaf);
        schedule.after(2 * RACE_INTERVAL, Event::RaceLookup);
    }

    /// Records the states of running machines for the checks.
    pub fn record_final_states(&mut self) {
        let processes = self.machines.iter().filter_map(|machine| machine.process.as_ref());
        self.history.final_states = processes.map(|process| final_state(&process.state)).collect();
    }

    pub(super) fn send(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        message: Message,
        schedule: &mut Schedule<Event>,
    ) {
        if let Some(delay) = self.network.delay(self.now, &mut self.random, from, to) {
            schedule.after(delay, Event::Arrives(to, message));
        }
    }

    fn arrives(
        &mut self,
        now: Timestamp,
        to: Endpoint,
        message: Message,
        schedule: &mut Schedule<Event>,
    ) {
        match to {
            Endpoint::Machine(machine) => self.machine_told(now, machine, message, schedule),
            Endpoint::Broker(broker) => {
                if let Message::Feed(link, content) = message {
                    self.broker_told(now, broker, link, content, schedule);
                }
            }
            Endpoint::Operator(operator) => self.operator_told(now, operator, message),
        }
    }
}

fn final_state(state: &ClusterState) -> FinalState {
    let newest = state.catalog().revision();
    let changes = state.history().since(newest, Revision(0));
    let changes = changes.map(|changes| changes.cloned().collect()).unwrap_or_default();
    FinalState { catalog: state.catalog().clone(), changes }
}
