//! A cluster on a virtual network with loss, delay, reordering, duplication, cuts, freezes, kills
//! that lose unsynced writes, and lost disks. Deterministic by its seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    AppendOutcome, Configuration, ConsensusSettings, Envelope, Incarnation, LogIndex, MemberChange,
    MemberId, Message, Node, NodeNumber, ReadRound, Recovered, RequestNumber, RoleName,
    WriteNumber,
};
use gingerkeel_domain::time::Timestamp;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

use crate::checker::Checker;
use crate::server::{Server, StateMachine};

/// Virtual time during which faults are caused.
const FAULT_TIME: Duration = Duration::from_secs(15);
/// Virtual time in which the cluster has to become whole again.
const HEAL_TIME: Duration = Duration::from_secs(12);
/// Applied entries after which a member takes a snapshot.
const SNAPSHOT_EVERY: u64 = 25;

/// An adapter that breaks one rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Writes are reported as persisted before they are.
    PersistedTooEarly,
    /// A leader believes that all confirmed its reads.
    ReadsUnconfirmed,
    /// A machine that lost its disk goes on under its old identity.
    IdentityKept,
    /// The answer to a heartbeat confirms entries that are not on disk.
    HeartbeatConfirmsEntries,
}

/// How long the disks take for a sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disks {
    /// 5 ms at most, and 80 ms at most for one sync of twenty.
    Fast,
    /// 400 ms at most while faults are caused.
    Slow,
}

#[derive(Debug)]
pub enum Event {
    Deliver(Envelope),
    Timer { server: usize, run: u64 },
    Synced { server: usize, run: u64, number: WriteNumber },
    Command,
    Read,
    Manage,
    Fault,
    Restart { server: usize, run: u64 },
    Thaw { server: usize, run: u64 },
    HealLinks,
}

/// A directed link between two servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

/// A read on its way.
struct ReadInFlight {
    committed: LogIndex,
}

pub struct Cluster {
    pub now: Timestamp,
    random: Pcg64,
    settings: ConsensusSettings,
    pub mutant: Option<Mutant>,
    disks: Disks,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    pub servers: Vec<Server>,
    pub cuts: BTreeSet<Link>,
    faults_until: Timestamp,
    next_command: u64,
    next_read: u64,
    reads: BTreeMap<RequestNumber, ReadInFlight>,
    pub checker: Checker,
}

impl Cluster {
    /// Five machines; three or five of them are voters at first.
    pub fn new(seed: u64, disks: Disks, mutant: Option<Mutant>) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let voters = if random.next_u64().is_multiple_of(2) { 3 } else { 5 };
        let identities: Vec<MemberId> = (1..=5)
            .map(|node| MemberId { node: NodeNumber(node), incarnation: Incarnation(1) })
            .collect();
        let configuration = Configuration::of_voters(identities[..voters].iter().copied());
        let server = |(number, identity): (usize, &MemberId)| match number < voters {
            true => Server::new(*identity, Recovered::bootstrap(configuration.clone())),
            false => Server::new(*identity, Recovered::default()),
        };
        let servers = identities.iter().enumerate().map(server).collect();
        let settings = ConsensusSettings {
            append_bytes: 64,
            append_in_flight: 4,
            snapshot_chunk_bytes: 200,
            trailing_entries: 5,
            ..ConsensusSettings::default()
        };
        let now = Timestamp::from_micros(1_000_000);
        let mut cluster = Self {
            now,
            random,
            settings,
            mutant,
            disks,
            events: BTreeMap::new(),
            next_event: 0,
            servers,
            cuts: BTreeSet::new(),
            faults_until: now.after(FAULT_TIME),
            next_command: 0,
            next_read: 0,
            reads: BTreeMap::new(),
            checker: Checker::default(),
        };
        (0..cluster.servers.len()).for_each(|server| cluster.start(server));
        for event in [Event::Command, Event::Read, Event::Manage, Event::Fault] {
            cluster.schedule(Duration::ZERO, event);
        }
        cluster
    }

    /// Runs to the end; gives the first violation.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_until(self.faults_until);
        self.heal_all();
        self.run_until(self.faults_until.after(HEAL_TIME));
        if self.checker.violation().is_none() {
            self.check_convergence();
        }
        match self.checker.violation() {
            Some(violation) => Err(violation.to_owned()),
            None => Ok(()),
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end || self.checker.violation().is_some() {
                self.now = self.now.max(end);
                let key = (at, self.next_event);
                self.next_event += 1;
                self.events.insert(key, event);
                return;
            }
            self.now = at;
            self.carry_out(event);
        }
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => self.deliver(envelope),
            Event::Timer { server, run } => self.timer(server, run),
            Event::Synced { server, run, number } => self.synced(server, run, number),
            Event::Command => self.command(),
            Event::Read => self.read(),
            Event::Manage => self.manage(),
            Event::Fault => self.fault(),
            Event::Restart { server, run } => {
                if self.servers[server].run == run && self.servers[server].node.is_none() {
                    self.start(server);
                }
            }
            Event::Thaw { server, run } => {
                if self.servers[server].run == run {
                    self.thaw(server);
                }
            }
            Event::HealLinks => self.cuts.clear(),
        }
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.events.insert((self.now.after(after), self.next_event), event);
        self.next_event += 1;
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn micros(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(from + self.below(to - from))
    }

    pub fn faults_allowed(&self) -> bool {
        self.now < self.faults_until
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.random.next_u64();
        let random = Box::new(Pcg64::seed_from_u64(seed));
        let (now, settings) = (self.now, self.settings);
        let server = &mut self.servers[index];
        let recovered = server.disk.synced.clone();
        server.node = Some(Node::new(server.identity, settings, random, recovered, now));
        self.settle(index);
    }

    /// Does what a server's core asks for, and sets its timer.
    pub fn settle(&mut self, index: usize) {
        if self.servers[index].frozen {
            return;
        }
        let Some(mut node) = self.servers[index].node.take() else {
            return;
        };
        loop {
            self.checker.see_node(&node);
            let Some(ready) = node.ready() else {
                break;
            };
            if let Some(write) = ready.write {
                self.checker.see_write(&node, &write);
                self.write(index, &mut node, write);
            }
            for envelope in ready.messages {
                self.send(index, &mut node, envelope);
            }
            let server = &mut self.servers[index];
            if let Some(snapshot) = ready.restore {
                server.state = StateMachine::restore(&snapshot.data);
                server.applied = snapshot.metadata.position.index;
            }
            for entry in &ready.committed {
                if entry.index != server.applied.next() {
                    let (identity, applied) = (server.identity, server.applied);
                    let gap = format!("{identity} applied {} after {applied}", entry.index);
                    self.checker.violated(gap);
                }
                server.applied = entry.index;
                server.state.apply(entry);
                self.checker.see_applied(server.identity, entry);
            }
            for outcome in ready.reads {
                if let (Some(read), Ok(at)) = (self.reads.remove(&outcome.number), outcome.result) {
                    self.checker.see_read(node.identity(), read.committed, at);
                }
            }
            if node.applied_since_snapshot() >= SNAPSHOT_EVERY {
                node.snapshot_taken(server.applied, server.state.snapshot());
            }
        }
        self.set_timer(index, &node);
        self.servers[index].node = Some(node);
    }

    fn set_timer(&mut self, index: usize, node: &Node) {
        let due = node.next_timer().max(self.now);
        if self.servers[index].timer.is_none_or(|timer| due < timer || timer < self.now) {
            self.servers[index].timer = Some(due);
            let run = self.servers[index].run;
            self.schedule(due.since(self.now), Event::Timer { server: index, run });
        }
    }

    fn write(&mut self, index: usize, node: &mut Node, write: gingerkeel_domain::consensus::Write) {
        let number = write.number;
        let time = self.sync_time();
        let server = &mut self.servers[index];
        server.disk.unsynced.push_back(write);
        let done = match self.disks {
            Disks::Fast => server.disk.sync_alone(self.now, time),
            Disks::Slow => server.disk.sync_with_waiting(self.now, time),
        };
        let run = server.run;
        self.schedule(done.since(self.now), Event::Synced { server: index, run, number });
        if self.mutant == Some(Mutant::PersistedTooEarly) {
            node.persisted(self.now, number);
        }
    }

    fn sync_time(&mut self) -> Duration {
        if self.disks == Disks::Slow && self.faults_allowed() {
            return self.micros(5_000, 400_000);
        }
        let slow = self.chance(5);
        if slow { self.micros(5_000, 80_000) } else { self.micros(200, 5_000) }
    }

    fn synced(&mut self, index: usize, run: u64, number: WriteNumber) {
        let (now, server) = (self.now, &mut self.servers[index]);
        if server.run != run {
            return;
        }
        server.disk.sync_up_to(number);
        if server.frozen {
            server.synced_in_freeze = Some(number);
        } else if let Some(node) = &mut server.node {
            node.persisted(now, number);
            self.settle(index);
        }
    }

    fn send(&mut self, index: usize, node: &mut Node, envelope: Envelope) {
        if self.mutant == Some(Mutant::ReadsUnconfirmed) {
            forge_confirmation(self.now, node, &envelope);
        }
        let envelope = match self.mutant {
            Some(Mutant::HeartbeatConfirmsEntries) => confirm_entries(node, envelope),
            _ => envelope,
        };
        let to = envelope.to.node.0 as usize - 1;
        if self.cuts.contains(&Link { from: index, to }) {
            return;
        }
        let faults = self.faults_allowed();
        if faults && self.chance(3) {
            return;
        }
        let copies = if faults && self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let late = faults && self.chance(3);
            let delay = if late { self.micros(20_000, 400_000) } else { self.micros(500, 13_000) };
            self.schedule(delay, Event::Deliver(envelope.clone()));
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let index = envelope.to.node.0 as usize - 1;
        let (now, server) = (self.now, &mut self.servers[index]);
        if server.frozen {
            server.backlog.push(envelope);
        } else if let Some(node) = &mut server.node {
            node.step(now, envelope);
            self.settle(index);
        }
    }

    fn timer(&mut self, index: usize, run: u64) {
        let (now, server) = (self.now, &mut self.servers[index]);
        if server.run != run || server.frozen || server.timer != Some(now) {
            return;
        }
        server.timer = None;
        if let Some(node) = &mut server.node {
            node.tick(now);
            self.settle(index);
        }
    }

    /// A client sends a new command, or an old one again, to any member.
    fn command(&mut self) {
        let next = self.micros(5_000, 40_000);
        self.schedule(next, Event::Command);
        if !self.faults_allowed() {
            return;
        }
        let again = self.next_command > 0 && self.chance(20);
        let number = if again { self.below(self.next_command) } else { self.next_command };
        self.next_command += u64::from(!again);
        let index = self.below(self.servers.len() as u64) as usize;
        let (now, server) = (self.now, &mut self.servers[index]);
        if let (Some(node), false) = (&mut server.node, server.frozen) {
            // A command that is not taken is as one that was lost on the way.
            let _ = node.propose(now, Bytes::copy_from_slice(&number.to_be_bytes()));
            self.settle(index);
        }
    }

    fn read(&mut self) {
        let next = self.micros(10_000, 60_000);
        self.schedule(next, Event::Read);
        let number = RequestNumber(self.next_read);
        self.next_read += 1;
        let index = self.below(self.servers.len() as u64) as usize;
        let committed = self.checker.highest_commit();
        let server = &mut self.servers[index];
        if let (Some(node), false) = (&mut server.node, server.frozen) {
            if node.read(number).is_ok() {
                self.reads.insert(number, ReadInFlight { committed });
            }
            self.settle(index);
        }
    }

    /// What drivers do: members that are none join, lost folders are replaced; now and then an
    /// operator changes the voters.
    fn manage(&mut self) {
        self.schedule(Duration::from_millis(150), Event::Manage);
        let strangers: Vec<MemberId> = self.servers.iter().map(|server| server.identity).collect();
        let operator = self.faults_allowed() && self.chance(15);
        let (now, draw) = (self.now, self.random.next_u64());
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let Some(node) = server.node.as_mut().filter(|_| !server.frozen) else {
                continue;
            };
            if node.status().role != RoleName::Leader {
                continue;
            }
            let configuration = node.configuration().clone();
            let joining = strangers.iter().find(|member| !configuration.contains(**member));
            let change = node
                .due_replacement(now)
                .or_else(|| joining.map(|member| MemberChange::AddLearner(*member)))
                .or_else(|| operator.then(|| operators_change(&configuration, draw)).flatten());
            if let Some(change) = change {
                // A change that is not taken is tried again.
                let _ = node.change_members(now, change);
            }
            self.settle(index);
        }
    }

    fn heal_all(&mut self) {
        self.cuts.clear();
        for index in 0..self.servers.len() {
            self.thaw(index);
            if self.servers[index].node.is_none() {
                self.start(index);
            }
        }
    }

    /// All members are whole, in the same state, and hold all that was ever applied anywhere.
    fn check_convergence(&mut self) {
        let leader = self.servers.iter().find_map(|server| {
            let status = server.node.as_ref()?.status();
            (status.role == RoleName::Leader).then_some(status)
        });
        let Some(leader) = leader else {
            self.checker.violated("no leader after the heal".into());
            return;
        };
        let identities: Vec<MemberId> = self.servers.iter().map(|server| server.identity).collect();
        if !identities.iter().all(|identity| leader.configuration.contains(*identity)) {
            self.checker.violated(format!("not whole after the heal: {leader:?}"));
            return;
        }
        let mut whole = StateMachine::default();
        self.checker.applied_entries().for_each(|entry| whole.apply(entry));
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.state != whole {
                let identity = server.identity;
                let applied = server.applied;
                let reason = format!("{identity} applied {applied} and is in another state");
                self.checker.violated(reason);
                return;
            }
        }
    }

    /// Commands that were applied.
    pub fn applied_commands(&self) -> usize {
        let state = &self.servers[0].state;
        (0..self.next_command).filter(|number| state.holds(*number)).count()
    }
}

/// A promotion, or a removal of a voter that joins again as a learner.
fn operators_change(configuration: &Configuration, draw: u64) -> Option<MemberChange> {
    let pick = |members: &BTreeSet<MemberId>| {
        members.iter().nth(draw as usize % members.len().max(1)).copied()
    };
    if draw.is_multiple_of(3) && configuration.voters.len() > 3 {
        return pick(&configuration.voters).map(MemberChange::Remove);
    }
    pick(&configuration.learners).map(MemberChange::Promote)
}

/// Lets a leader believe that the receiver of a heartbeat confirmed its reads at once.
fn forge_confirmation(now: Timestamp, node: &mut Node, envelope: &Envelope) {
    let Message::AppendRequest { round, .. } = envelope.message else {
        return;
    };
    if round == ReadRound(0) {
        return;
    }
    let message = Message::AppendResponse { outcome: AppendOutcome::NoStatement, round };
    let (from, to) = (envelope.to, envelope.from);
    node.step(now, Envelope { from, to, term: envelope.term, message });
}

/// Lets a follower confirm its whole log when it answers a heartbeat before a write is done.
fn confirm_entries(node: &Node, envelope: Envelope) -> Envelope {
    let status = node.status();
    let Message::AppendResponse { outcome: AppendOutcome::NoStatement, round } = envelope.message
    else {
        return envelope;
    };
    if status.leader != Some(envelope.to) {
        return envelope;
    }
    let outcome = AppendOutcome::Accepted { matched: status.last.index };
    Envelope { message: Message::AppendResponse { outcome, round }, ..envelope }
}
