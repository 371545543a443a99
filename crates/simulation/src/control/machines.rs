//! Event handling of simulated control machines.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::cluster::{
    ChangeRequest, ClusterState, Command, CommandBody, CommandOutcome, WallTime,
};
use gingerkeel_domain::consensus::{
    Entry, MemberChange, Node, Payload, Snapshot, Write, WriteNumber,
};
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::{decode_document, encode_document};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::fault::Mutant;
use super::history::Divergence;
use super::machine::{ConfirmedRead, Feed, MachineIndex, PendingRead, Process, receiver};
use super::message::{Endpoint, FeedContent, Message};
use super::world::{ControlWorld, Event, MANAGE_INTERVAL};
use crate::virtual_clock::Schedule;

/// Number of applied entries between snapshots.
const SNAPSHOT_EVERY: u64 = 40;
/// Wall-clock time at the start of a run, in milliseconds since 1970.
const START_OF_RUN: u64 = 1_700_000_000_000;

impl ControlWorld {
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
                self.read(index, PendingRead::Lease(broker, link, ticket), schedule);
            }
            Message::Request(operator, request) => {
                process.waiting.insert(request.id.clone(), operator);
                let command = self.command(now, request);
                let process = self.machines[index.0].process.as_mut().expect("it runs");
                // If the proposal is refused, the operator retries the command.
                let _ = process.node.propose(now, command);
            }
            Message::AskRevision(operator) => {
                self.read(index, PendingRead::Revision(operator), schedule);
            }
            Message::Feed(..) | Message::Reply(..) | Message::RevisionIs(_) => {}
        }
        self.settle(now, index, schedule);
    }

    /// Refuses a connection or subscription while the process is down but the machine is up.
    pub(super) fn refuse(
        &mut self,
        index: MachineIndex,
        message: Message,
        schedule: &mut Schedule<Event>,
    ) {
        if let Message::Connect(broker, link) | Message::Subscribe(broker, link, _) = message {
            self.feed(index, broker, link, FeedContent::Broken, schedule);
        }
    }

    pub(super) fn command(&self, now: Timestamp, mut request: ChangeRequest) -> Bytes {
        if self.mutant == Some(Mutant::ConflictsIgnored) {
            request.based_on = None;
        }
        let at = WallTime(START_OF_RUN + now.as_micros() / 1000);
        let command = Command { at, body: CommandBody::Change(request) };
        Bytes::from(encode_document(&command).expect("commands can be serialized"))
    }

    /// Processes all pending output of the consensus node.
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
            self.answer_reads(index, schedule);
            self.take_snapshot(index);
        }
        self.set_machine_timer(now, index, schedule);
    }

    pub(super) fn write(
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

    pub(super) fn synced(
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

    pub(super) fn restore(
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

    pub(super) fn apply(
        &mut self,
        index: MachineIndex,
        entry: Entry,
        schedule: &mut Schedule<Event>,
    ) {
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
        let outcome = process.state.apply(entry.index, &command);
        if let (CommandBody::Change(request), CommandOutcome::Change(outcome)) =
            (command.body, outcome)
            && let Some(operator) = process.waiting.remove(&request.id)
        {
            let (from, to) = (Endpoint::Machine(index), Endpoint::Operator(operator));
            self.send(from, to, Message::Reply(request, outcome), schedule);
        }
        self.push_changes(index, schedule);
    }

    pub(super) fn take_snapshot(&mut self, index: MachineIndex) {
        let Some(process) = self.machines[index.0].process.as_mut() else {
            return;
        };
        if process.node.applied_since_snapshot() >= SNAPSHOT_EVERY {
            let data = encode_document(&process.state).expect("states can be serialized");
            let applied = process.node.status().applied;
            process.node.snapshot_taken(applied, Bytes::from(data));
        }
    }

    pub(super) fn set_machine_timer(
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

    pub(super) fn machine_timer(
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

    /// If the machine is the leader, replaces members that have lost their disks and adds machines
    /// that are not members.
    pub(super) fn manage(
        &mut self,
        now: Timestamp,
        index: MachineIndex,
        schedule: &mut Schedule<Event>,
    ) {
        schedule.after(MANAGE_INTERVAL, Event::Manage(index));
        let identities: Vec<_> = self.machines.iter().map(|machine| machine.identity).collect();
        if !self.machines[index.0].leads() {
            return;
        }
        let Some(process) = self.machines[index.0].active() else {
            return;
        };
        let configuration = process.node.configuration();
        let missing = identities.into_iter().find(|member| !configuration.contains(*member));
        let change = process.node.due_replacement(now).or(missing.map(MemberChange::AddLearner));
        if let Some(change) = change {
            // If the change is refused, the next `Manage` event retries it.
            let _ = process.node.change_members(now, change);
        }
        self.settle(now, index, schedule);
    }
}
