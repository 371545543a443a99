//! The world of the control tier: who does what on which event.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::catalog::{Leaf, LeafState, Placement};
use gingerkeel_domain::cluster::{
    ChangeRequest, ClusterState, Command, CommandBody, CommandOutcome, LogIndex as CommandIndex,
    WallTime,
};
use gingerkeel_domain::consensus::{
    ConsensusSettings, Entry, LogIndex, MemberChange, Node, Payload, Snapshot, Write, WriteNumber,
};
use gingerkeel_domain::feed::{FollowerEffect, FollowerEvent, LeaseGrant};
use gingerkeel_domain::identifiers::{LeafId, RegionName, Revision, ZoneName};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::{decode_document, encode_document};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::broker::{Broker, BrokerIndex, new_follower};
use super::fault::{Fault, Mutant};
use super::history::{BrokerSample, CommandRecord, Divergence, FinalState, History};
use super::machine::{ConfirmedRead, Feed, Machine, MachineIndex, PendingRead, Process, receiver};
use super::message::{Endpoint, FeedContent, LinkNumber, Message};
use super::network::Network;
use super::operator::{Operator, OperatorIndex};
use crate::trace::Trace;
use crate::virtual_clock::{Schedule, World};

/// How long a broker may serve from when it asked for a lease.
const LEASE: Duration = Duration::from_secs(4);
/// Time between samples of a broker.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which an operator sends its command to the next machine.
const RESEND_AFTER: Duration = Duration::from_millis(900);
/// Time without an open link after which a broker tries the next machine.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time between a machine's looks at its members.
const MANAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between races of all operators for the same thing.
const RACE_INTERVAL: Duration = Duration::from_millis(1500);
/// Time before a race in which the operators look up the accepted revision.
const RACE_LOOKUP: Duration = Duration::from_millis(300);
/// Applied entries after which a machine takes a snapshot.
const SNAPSHOT_EVERY: u64 = 40;
/// Time of day at which a run begins, in milliseconds since 1970.
const START_OF_RUN: u64 = 1_700_000_000_000;
/// The leaf that operators race for.
const RACED_LEAF: LeafId = LeafId(1);

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
            Event::AddRacedLeaf => {
                let request = self.operators[0].addition(raced_leaf());
                self.submit(OperatorIndex(0), request, schedule);
            }
            Event::OwnChange(operator) => self.own_change(now, operator, schedule),
            Event::RaceLookup => self.race_lookup(now, schedule),
            Event::Race => self.race(now, schedule),
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

    // Machines.

    pub(super) fn start(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let seed: u64 = self.random.random();
        let mutant = self.mutant;
        let machine = &mut self.machines[index.0];
        let mut recovered = machine.disk.synced.clone();
        if mutant == Some(Mutant::VoteForgotten) {
            recovered.hard_state.vote = None;
        }
        let random = Box::new(Pcg64::seed_from_u64(seed));
        let node = Node::new(machine.identity, self.settings, random, recovered, now);
        machine.run += 1;
        machine.process = Some(Process {
            node,
            state: ClusterState::default(),
            feeds: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            timer: None,
        });
        self.settle(now, index, schedule);
    }

    pub(super) fn machine_told(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        message: Message,
        schedule: &mut Schedule<Event>,
    ) {
        let machine = &mut self.machines[index.0];
        if machine.frozen {
            machine.backlog.push(message);
            return;
        }
        let Some(process) = machine.process.as_mut() else {
            self.refuse(index, message, schedule);
            return;
        };
        match message {
            Message::Peer(envelope) => process.node.step(now, envelope),
            Message::Connect(broker, link) => {
                process.feeds.insert(broker, Feed { link, sent: None });
                self.feed(index, broker, link, FeedContent::Open, schedule);
            }
            Message::Subscribe(broker, link, revision) => {
                self.subscribe(index, broker, link, revision, schedule);
            }
            Message::Renew(broker, link, ticket) => {
                self.read(now, index, PendingRead::Lease(broker, link, ticket), schedule);
            }
            Message::Request(operator, request) => {
                process.waiting.insert(request.id.clone(), operator);
                let command = self.command(now, request);
                let process = self.machines[index.0].process.as_mut().expect("it runs");
                // A command that is not taken is sent again by its operator.
                let _ = process.node.propose(now, command);
            }
            Message::AskRevision(operator) => {
                self.read(now, index, PendingRead::Revision(operator), schedule);
            }
            Message::Feed(..) | Message::Reply(..) | Message::RevisionIs(_) => {}
        }
        self.settle(now, index, schedule);
    }

    /// The machine is up but its process is not: whoever connects is told at once.
    fn refuse(&mut self, index: MachineIndex, message: Message, schedule: &mut Schedule<Event>) {
        if let Message::Connect(broker, link) | Message::Subscribe(broker, link, _) = message {
            self.feed(index, broker, link, FeedContent::Broken, schedule);
        }
    }

    fn command(&self, now: Timestamp, mut request: ChangeRequest) -> Bytes {
        if self.mutant == Some(Mutant::ConflictsIgnored) {
            request.based_on = None;
        }
        let at = WallTime(START_OF_RUN + now.as_micros() / 1000);
        let command = Command { at, body: CommandBody::Change(request) };
        Bytes::from(encode_document(&command).expect("commands can be serialized"))
    }

    fn read(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        read: PendingRead,
        schedule: &mut Schedule<Event>,
    ) {
        let unconfirmed = self.mutant == Some(Mutant::UnconfirmedGrants);
        let machine = &mut self.machines[index.0];
        let number = machine.take_read_number();
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        if unconfirmed {
            self.answer_read(now, index, read, schedule);
        } else if process.node.read(number).is_ok() {
            process.reads.insert(number.0, read);
        }
    }

    fn answer_read(
        &mut self,
        _now: Timestamp,
        index: MachineIndex,
        read: PendingRead,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(process) = self.machines[index.0].process.as_ref() else {
            return;
        };
        let revision = process.state.catalog().revision();
        match read {
            PendingRead::Lease(broker, link, ticket) => {
                let grant = LeaseGrant { ticket, revision, duration: LEASE };
                self.feed(index, broker, link, FeedContent::Grant(grant), schedule);
            }
            PendingRead::Revision(operator) => {
                let (from, to) = (Endpoint::Machine(index), Endpoint::Operator(operator));
                self.send(from, to, Message::RevisionIs(revision), schedule);
            }
        }
    }

    fn feed(
        &mut self,
        from: MachineIndex,
        broker: BrokerIndex,
        link: LinkNumber,
        content: FeedContent,
        schedule: &mut Schedule<Event>,
    ) {
        let message = Message::Feed(link, content);
        self.send(Endpoint::Machine(from), Endpoint::Broker(broker), message, schedule);
    }

    fn subscribe(
        &mut self,
        index: MachineIndex,
        broker: BrokerIndex,
        link: LinkNumber,
        revision: Revision,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let newest = process.state.catalog().revision();
        let contents = missing_contents(&process.state, revision);
        process.feeds.insert(broker, Feed { link, sent: Some(newest) });
        let full = contents.iter().filter(|one| matches!(one, FeedContent::FullCatalog(_)));
        self.history.full_copies += full.count();
        for content in contents {
            self.feed(index, broker, link, content, schedule);
        }
    }

    /// Does what a machine's core asks for.
    pub(super) fn settle(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        schedule: &mut Schedule<Event>,
    ) {
        while let Some(ready) =
            self.machines[index.0].active().and_then(|process| process.node.ready())
        {
            if let Some(write) = ready.write {
                self.write(now, index, write, schedule);
            }
            for envelope in ready.messages {
                let to = Endpoint::Machine(receiver(&envelope));
                self.send(Endpoint::Machine(index), to, Message::Peer(envelope), schedule);
            }
            if let Some(snapshot) = ready.restore {
                self.restore(index, &snapshot, schedule);
            }
            for entry in ready.committed {
                self.apply(index, entry, schedule);
            }
            for outcome in ready.reads {
                let process = self.machines[index.0].process.as_mut().expect("it runs");
                let read = process.reads.remove(&outcome.number.0);
                if let (Some(read), Ok(index)) = (read, outcome.result) {
                    process.confirmed.push(ConfirmedRead { index, read });
                }
            }
            self.answer_reads(now, index, schedule);
            self.take_snapshot(index);
        }
        self.set_machine_timer(now, index, schedule);
    }

    fn write(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        write: Write,
        schedule: &mut Schedule<Event>,
    ) {
        let number = write.number;
        let slow = self.random.random_bool(0.03);
        let micros = if slow {
            self.random.random_range(5_000..60_000)
        } else {
            self.random.random_range(200..3_000)
        };
        let early = self.mutant == Some(Mutant::PersistedTooEarly);
        let machine = &mut self.machines[index.0];
        machine.disk.unsynced.push_back(write);
        let done = machine.disk.busy_until.max(now).after(Duration::from_micros(micros));
        machine.disk.busy_until = done;
        schedule.after(done.since(now), Event::Synced(index, machine.run, number));
        if early && let Some(process) = machine.process.as_mut() {
            process.node.persisted(now, number);
        }
    }

    fn synced(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        run: u64,
        number: WriteNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let machine = &mut self.machines[index.0];
        if machine.run != run {
            return;
        }
        machine.disk.sync_up_to(number);
        if machine.frozen {
            machine.synced_in_freeze = Some(number);
        } else if let Some(process) = machine.process.as_mut() {
            process.node.persisted(now, number);
            self.settle(now, index, schedule);
        }
    }

    fn restore(
        &mut self,
        index: MachineIndex,
        snapshot: &Snapshot,
        schedule: &mut Schedule<Event>,
    ) {
        let state: ClusterState = decode_document(&snapshot.data).expect("snapshots are whole");
        if let Some(process) = self.machines[index.0].process.as_mut() {
            process.state = state;
        }
        self.push_changes(index, schedule);
    }

    fn apply(&mut self, index: MachineIndex, entry: Entry, schedule: &mut Schedule<Event>) {
        let machine = &mut self.machines[index.0];
        let known = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        if *known != entry {
            let divergence = Divergence { member: machine.identity, index: entry.index };
            self.history.divergences.push(divergence);
        }
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let Payload::Command(bytes) = &entry.payload else {
            return;
        };
        let command: Command = decode_document(bytes).expect("commands are whole");
        let outcome = process.state.apply(CommandIndex(entry.index.0), &command);
        if let (CommandBody::Change(request), CommandOutcome::Change(outcome)) =
            (command.body, outcome)
            && let Some(operator) = process.waiting.remove(&request.id)
        {
            let (from, to) = (Endpoint::Machine(index), Endpoint::Operator(operator));
            self.send(from, to, Message::Reply(request, outcome), schedule);
        }
        self.push_changes(index, schedule);
    }

    /// Sends every feed what it lacks.
    fn push_changes(&mut self, index: MachineIndex, schedule: &mut Schedule<Event>) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let newest = process.state.catalog().revision();
        let behind = process.feeds.iter().filter_map(|(broker, feed)| {
            let sent = feed.sent.filter(|sent| *sent < newest)?;
            Some((*broker, feed.link, sent))
        });
        let behind: Vec<(BrokerIndex, LinkNumber, Revision)> = behind.collect();
        for (broker, link, sent) in behind {
            self.subscribe(index, broker, link, sent, schedule);
        }
    }

    fn answer_reads(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        let applied = process.node.status().applied;
        let confirmed = std::mem::take(&mut process.confirmed);
        let (due, later): (Vec<ConfirmedRead>, Vec<ConfirmedRead>) =
            confirmed.into_iter().partition(|read| read.index <= applied);
        process.confirmed = later;
        for read in due {
            self.answer_read(now, index, read.read, schedule);
        }
    }

    fn take_snapshot(&mut self, index: MachineIndex) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        if process.node.applied_since_snapshot() >= SNAPSHOT_EVERY {
            let data = encode_document(&process.state).expect("states can be serialized");
            let applied = process.node.status().applied;
            process.node.snapshot_taken(applied, Bytes::from(data));
        }
    }

    fn set_machine_timer(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let machine = &mut self.machines[index.0];
        let run = machine.run;
        let Some(process) = machine.active() else {
            return;
        };
        let due = process.node.next_timer().max(now);
        if process.timer.is_none_or(|timer| due < timer || timer < now) {
            process.timer = Some(due);
            schedule.after(due.since(now), Event::MachineTimer(index, run));
        }
    }

    fn machine_timer(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        run: u64,
        schedule: &mut Schedule<Event>,
    ) {
        let machine = &mut self.machines[index.0];
        if machine.run != run {
            return;
        }
        let Some(process) = machine.active() else {
            return;
        };
        process.timer = None;
        if process.node.next_timer() <= now {
            process.node.tick(now);
        }
        self.settle(now, index, schedule);
    }

    /// The leader takes in machines that are no members, and replaces lost disks.
    fn manage(&mut self, now: Timestamp, index: MachineIndex, schedule: &mut Schedule<Event>) {
        schedule.after(MANAGE_INTERVAL, Event::Manage(index));
        let identities: Vec<_> = self.machines.iter().map(|machine| machine.identity).collect();
        if !self.machines[index.0].leads() {
            return;
        }
        let Some(process) = self.machines[index.0].active() else {
            return;
        };
        let configuration = process.node.configuration();
        let stranger = identities.into_iter().find(|member| !configuration.contains(*member));
        let change = process.node.due_replacement(now).or(stranger.map(MemberChange::AddLearner));
        if let Some(change) = change {
            // A change that is not taken is tried again.
            let _ = process.node.change_members(now, change);
        }
        self.settle(now, index, schedule);
    }

    // Brokers.

    pub(super) fn broker_told(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        link: LinkNumber,
        content: FeedContent,
        schedule: &mut Schedule<Event>,
    ) {
        let mutant = self.mutant;
        let broker = &mut self.brokers[index.0];
        if broker.frozen {
            broker.backlog.push((link, content));
            return;
        }
        if broker.link != link {
            return;
        }
        let event = match content {
            FeedContent::Open => {
                broker.open = true;
                FollowerEvent::Connected
            }
            FeedContent::Broken => {
                self.give_up_link(now, index, schedule);
                return;
            }
            FeedContent::FullCatalog(catalog) => {
                FollowerEvent::FullCatalog(Arc::unwrap_or_clone(catalog))
            }
            FeedContent::Change(revision, change) => FollowerEvent::Change { revision, change },
            FeedContent::Grant(grant) => {
                broker.back_off.succeeded();
                FollowerEvent::Granted(grant)
            }
        };
        // The adapter forgets what was in force, so that anything may follow.
        if mutant == Some(Mutant::OlderCatalogTaken) && matches!(event, FollowerEvent::Connected) {
            broker.follower = new_follower();
        }
        self.tell_follower(now, index, event, schedule);
    }

    fn tell_follower(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        event: FollowerEvent,
        schedule: &mut Schedule<Event>,
    ) {
        let mut effects = Vec::new();
        self.brokers[index.0].follower.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(now, index, effect, schedule);
        }
        self.set_broker_timer(now, index, schedule);
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        effect: FollowerEffect,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &self.brokers[index.0];
        let (from, to) = (Endpoint::Broker(index), Endpoint::Machine(broker.machine));
        let link = broker.link;
        match effect {
            FollowerEffect::Subscribe(revision) => {
                self.send(from, to, Message::Subscribe(index, link, revision), schedule)
            }
            FollowerEffect::Renew { ticket, .. } => {
                self.send(from, to, Message::Renew(index, link, ticket), schedule)
            }
            FollowerEffect::GiveUp(_) => self.give_up_link(now, index, schedule),
            FollowerEffect::PutInForce(_) | FollowerEffect::FreshUntil(_) => {}
        }
    }

    /// The link is of no use: another machine is tried after a pause.
    fn give_up_link(&mut self, now: Timestamp, index: BrokerIndex, schedule: &mut Schedule<Event>) {
        let machines = self.machines.len();
        let broker = &mut self.brokers[index.0];
        broker.open = false;
        broker.link.0 += 1;
        broker.machine = MachineIndex((broker.machine.0 + 1) % machines);
        let pause = broker.back_off.next_pause(&mut self.random);
        let event = Event::Reconnect(index, broker.run, broker.link);
        schedule.after(pause, event);
        self.brokers[index.0].follower.handle(now, FollowerEvent::Disconnected, &mut Vec::new());
    }

    pub(super) fn reconnect(
        &mut self,
        index: BrokerIndex,
        run: u64,
        link: LinkNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        if broker.run != run || broker.link != link {
            return;
        }
        self.history.connects += 1;
        let to = Endpoint::Machine(broker.machine);
        self.send(Endpoint::Broker(index), to, Message::Connect(index, link), schedule);
        schedule.after(CONNECT_LIMIT, Event::ConnectLate(index, run, link));
    }

    fn connect_late(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        run: u64,
        link: LinkNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &self.brokers[index.0];
        if broker.run == run && broker.link == link && !broker.open {
            self.give_up_link(now, index, schedule);
        }
    }

    fn set_broker_timer(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        let Some(due) = broker.follower.next_timer().map(|due| due.max(now)) else {
            return;
        };
        if broker.timer.is_none_or(|timer| due < timer || timer < now) {
            broker.timer = Some(due);
            schedule.after(due.since(now), Event::BrokerTimer(index, broker.run));
        }
    }

    fn broker_timer(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        run: u64,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        if broker.run != run || broker.frozen {
            return;
        }
        broker.timer = None;
        if broker.follower.next_timer().is_some_and(|due| due <= now) {
            self.tell_follower(now, index, FollowerEvent::TimerElapsed, schedule);
        } else {
            self.set_broker_timer(now, index, schedule);
        }
    }

    fn sample(&mut self, now: Timestamp, index: BrokerIndex, schedule: &mut Schedule<Event>) {
        schedule.after(SAMPLE_INTERVAL, Event::Sample(index));
        let ignored = self.mutant == Some(Mutant::LeaseIgnored);
        let broker = &self.brokers[index.0];
        if broker.frozen {
            return;
        }
        let revision = broker.follower.catalog().revision();
        let serves = broker.follower.is_fresh(now) || (ignored && revision > Revision(0));
        let run = broker.run;
        self.history.samples.push(BrokerSample { broker: index, at: now, run, revision, serves });
    }

    // Operators.

    fn own_change(&mut self, now: Timestamp, index: OperatorIndex, schedule: &mut Schedule<Event>) {
        if now >= self.changes_end {
            return;
        }
        let mean = self.change_interval.as_micros() as u64;
        let pause = Duration::from_micros(self.random.random_range(mean / 2..mean * 3 / 2));
        schedule.after(pause, Event::OwnChange(index));
        if self.operators[index.0].outstanding.is_none() {
            let request = self.operators[index.0].own_change();
            self.submit(index, request, schedule);
        }
    }

    fn race_lookup(&mut self, now: Timestamp, schedule: &mut Schedule<Event>) {
        if now >= self.changes_end {
            return;
        }
        schedule.after(RACE_LOOKUP, Event::Race);
        for operator in (0..self.operators.len()).map(OperatorIndex) {
            let to = Endpoint::Machine(self.operators[operator.0].machine);
            let message = Message::AskRevision(operator);
            self.send(Endpoint::Operator(operator), to, message, schedule);
        }
    }

    fn race(&mut self, _now: Timestamp, schedule: &mut Schedule<Event>) {
        schedule.after(RACE_INTERVAL, Event::RaceLookup);
        for operator in (0..self.operators.len()).map(OperatorIndex) {
            if self.operators[operator.0].outstanding.is_some() {
                continue;
            }
            let state =
                if operator.0.is_multiple_of(2) { LeafState::Draining } else { LeafState::Active };
            let request = self.operators[operator.0].racing_change(RACED_LEAF, state);
            self.submit(operator, request, schedule);
        }
    }

    fn submit(
        &mut self,
        index: OperatorIndex,
        request: ChangeRequest,
        schedule: &mut Schedule<Event>,
    ) {
        let operator = &mut self.operators[index.0];
        operator.outstanding = Some(request.clone());
        let to = Endpoint::Machine(operator.machine);
        let record = CommandRecord { request: request.clone(), outcomes: Vec::new() };
        self.history.commands.entry(request.id.clone()).or_insert(record);
        let message = Message::Request(index, request.clone());
        self.send(Endpoint::Operator(index), to, message, schedule);
        schedule.after(RESEND_AFTER, Event::ResendDue(index, request));
    }

    /// No answer came: the same command goes to the next machine.
    fn resend(
        &mut self,
        index: OperatorIndex,
        request: &ChangeRequest,
        schedule: &mut Schedule<Event>,
    ) {
        let machines = self.machines.len();
        let operator = &mut self.operators[index.0];
        if operator.outstanding.as_ref() != Some(request) {
            return;
        }
        operator.machine = MachineIndex((operator.machine.0 + 1) % machines);
        if self.mutant == Some(Mutant::ResendsRenumbered) {
            operator.renumber();
        }
        if let Some(outstanding) = operator.outstanding.clone() {
            self.submit(index, outstanding, schedule);
        }
    }

    fn operator_told(&mut self, now: Timestamp, index: OperatorIndex, message: Message) {
        let operator = &mut self.operators[index.0];
        match message {
            Message::Reply(request, outcome) => {
                operator.told(&request, &outcome);
                if let Some(record) = self.history.commands.get_mut(&request.id) {
                    record.outcomes.push((now, outcome));
                }
            }
            Message::RevisionIs(revision) => operator.known = operator.known.max(revision),
            _ => {}
        }
    }
}

/// What a feed that holds `revision` lacks: changes, or the whole catalog.
fn missing_contents(state: &ClusterState, revision: Revision) -> Vec<FeedContent> {
    match state.history().since(state.catalog().revision(), revision) {
        Some(changes) => changes
            .map(|accepted| FeedContent::Change(accepted.revision, accepted.change.clone()))
            .collect(),
        None => vec![FeedContent::FullCatalog(Arc::new(state.catalog().clone()))],
    }
}

fn raced_leaf() -> Leaf {
    Leaf {
        id: RACED_LEAF,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9001)),
        placement: Placement { region: RegionName::new("south"), zone: ZoneName::new("zone-0") },
        slots: 5,
        connection_limit: 75,
        state: LeafState::Active,
    }
}

fn final_state(state: &ClusterState) -> FinalState {
    let newest = state.catalog().revision();
    let changes = state.history().since(newest, Revision(0));
    let changes = changes.map(|changes| changes.cloned().collect()).unwrap_or_default();
    FinalState { catalog: state.catalog().clone(), changes }
}
