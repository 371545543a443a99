//! The world of the control tier: who does what on which event.

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

/// Time between samples of a broker.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between a machine's looks at its members.
pub(super) const MANAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between races of all operators for the same thing.
pub(super) const RACE_INTERVAL: Duration = Duration::from_millis(1500);

/// What happens in the world.
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrives.
    Arrives(Endpoint, Message),
    /// The timer of a machine's core may be due.
    MachineTimer(MachineIndex, u64),
    /// A write of a machine is synced.
    Synced(MachineIndex, u64, WriteNumber),
    /// A machine looks at its members.
    Manage(MachineIndex),
    /// The timer of a broker may be due.
    BrokerTimer(BrokerIndex, u64),
    /// A broker tries the next machine.
    Reconnect(BrokerIndex, u64, LinkNumber),
    /// A broker's attempt to open a link takes too long.
    ConnectLate(BrokerIndex, u64, LinkNumber),
    /// A broker is sampled.
    Sample(BrokerIndex),
    /// The first operator adds the leaf that all race for.
    AddRacedLeaf,
    /// An operator makes a change of its own.
    OwnChange(OperatorIndex),
    /// All operators look up the accepted revision.
    RaceLookup,
    /// All operators change the same thing.
    Race,
    /// An operator has waited for long.
    ResendDue(OperatorIndex, ChangeRequest),
    /// A fault comes.
    Fault(Fault),
    /// All faults end.
    HealAll,
}

/// The world of the control tier.
pub struct ControlWorld {
    /// The present moment.
    pub now: Timestamp,
    /// Machines by number.
    pub machines: Vec<Machine>,
    /// Brokers by number.
    pub brokers: Vec<Broker>,
    /// Operators by number.
    pub operators: Vec<Operator>,
    /// Mean time between changes of one operator.
    pub change_interval: Duration,
    /// No operator begins a change after this time.
    pub changes_end: Timestamp,
    /// Races so far.
    pub races: u64,
    /// The network.
    pub network: Network,
    /// What was seen.
    pub history: History,
    /// What happened, in order.
    pub trace: Trace,
    /// Source of all random choices.
    pub random: Pcg64,
    /// A rule that is switched off.
    pub mutant: Option<Mutant>,
    /// Commands as first applied by any machine.
    pub applied: BTreeMap<LogIndex, Entry>,
    /// Settings of the cores.
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

    /// The states of the machines that run, for the checks.
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
