//! Test harness in which the test delivers or drops each message.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Configuration, ConsensusSettings, Entry, Envelope, Incarnation, LogIndex, MemberChange,
    MemberChangeError, MemberId, MembershipPolicy, Message, Node, NodeNumber, Payload, ReadOutcome,
    Recovered, RoleName, Snapshot, Write,
};
use gingerkeel_domain::time::Timestamp;
use rand_pcg::Pcg64;

/// Maximum rounds of message delivery before a test fails.
const ROUND_LIMIT: usize = 1_000;

pub fn member(node: u32) -> MemberId {
    MemberId { node: NodeNumber(node), incarnation: Incarnation(1) }
}

pub fn voters(count: u32) -> Configuration {
    Configuration::of_voters((1..=count).map(member))
}

/// Settings with one entry per append request, so that tests can deliver entries one by one.
pub fn settings() -> ConsensusSettings {
    ConsensusSettings { append_bytes: 1, trailing_entries: 0, ..ConsensusSettings::default() }
}

/// Settings with a short election timeout.
pub fn quick_elections() -> ConsensusSettings {
    ConsensusSettings {
        heartbeat_interval: Duration::from_millis(75),
        election_timeout: Duration::from_millis(300),
        ..ConsensusSettings::default()
    }
}

/// Membership policy of a cluster that tolerates one loss.
pub const POLICY: MembershipPolicy = MembershipPolicy {
    min_voters: 3,
    max_voters: 5,
    voter_timeout: Duration::from_millis(5_000),
    spare_voter_timeout: Duration::from_millis(1_500),
    refusal_timeout: Duration::from_millis(150),
};

/// A member and what its driver saw.
pub struct LabNode {
    pub node: Node,
    pub applied: Vec<Entry>,
    pub restored: Vec<Snapshot>,
    pub reads: Vec<ReadOutcome>,
    pub writes: Vec<Write>,
    /// Whether writes are reported as persisted.
    pub disk_works: bool,
}

/// Members and the messages between them.
pub struct Lab {
    pub nodes: BTreeMap<MemberId, LabNode>,
    pub now: Timestamp,
    pub pending: Vec<Envelope>,
    settings: ConsensusSettings,
}

impl Lab {
    /// Members 1 to `count`, all voters, with an empty log besides their configuration.
    pub fn new(count: u32) -> Self {
        Self::with_settings(count, settings())
    }

    pub fn with_settings(count: u32, settings: ConsensusSettings) -> Self {
        let now = Timestamp::from_micros(1_000_000);
        let mut lab = Self { nodes: BTreeMap::new(), now, pending: Vec::new(), settings };
        for number in 1..=count {
            lab.start(member(number), Recovered::bootstrap(voters(count)));
        }
        lab
    }

    /// Three voters that the first leads, and a fourth member without a log.
    pub fn with_newcomer() -> Self {
        let mut lab = Self::new(3);
        lab.settle(1, &[1, 2, 3]);
        lab.start(member(4), Recovered::default());
        lab
    }

    /// The same, with the fourth as a learner; `reachable` get the log.
    pub fn with_learner(reachable: &[u32]) -> Self {
        let mut lab = Self::with_newcomer();
        lab.change_members(MemberChange::AddLearner(member(4))).expect("the learner is added");
        lab.deliver_among(reachable);
        lab.heartbeat(1, reachable);
        lab
    }

    /// Has the first member change the membership.
    pub fn change_members(&mut self, change: MemberChange) -> Result<LogIndex, MemberChangeError> {
        let now = self.now;
        let outcome = self.node(1).node.change_members(now, change);
        self.flush(member(1));
        outcome
    }

    pub fn start(&mut self, identity: MemberId, recovered: Recovered) {
        let seed = u128::from(identity.node.0);
        let random = Box::new(Pcg64::new(seed, seed));
        let node = Node::new(identity, self.settings, random, recovered, self.now);
        let lab_node = LabNode {
            node,
            applied: Vec::new(),
            restored: Vec::new(),
            reads: Vec::new(),
            writes: Vec::new(),
            disk_works: true,
        };
        self.nodes.insert(identity, lab_node);
    }

    pub fn node(&mut self, number: u32) -> &mut LabNode {
        self.nodes.get_mut(&member(number)).expect("the member exists")
    }

    pub fn role(&mut self, number: u32) -> RoleName {
        self.node(number).node.status().role
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    /// Executes the pending work of a member; its messages become pending.
    pub fn flush(&mut self, identity: MemberId) {
        let now = self.now;
        let Some(lab_node) = self.nodes.get_mut(&identity) else {
            return;
        };
        while let Some(ready) = lab_node.node.ready() {
            self.pending.extend(ready.messages);
            lab_node.restored.extend(ready.restore);
            lab_node.applied.extend(ready.committed);
            lab_node.reads.extend(ready.reads);
            if let Some(write) = ready.write {
                let number = write.number;
                lab_node.writes.push(write);
                if lab_node.disk_works {
                    lab_node.node.persisted(now, number);
                }
            }
        }
    }

    pub fn tick(&mut self, number: u32) {
        let now = self.now;
        self.node(number).node.tick(now);
        self.flush(member(number));
    }

    pub fn propose(&mut self, number: u32, command: &'static str) {
        let now = self.now;
        let command = Bytes::from_static(command.as_bytes());
        self.node(number).node.propose(now, command).expect("the member leads");
        self.flush(member(number));
    }

    pub fn step(&mut self, envelope: Envelope) {
        let now = self.now;
        let to = envelope.to;
        if let Some(lab_node) = self.nodes.get_mut(&to) {
            lab_node.node.step(now, envelope);
            self.flush(to);
        }
    }

    /// Delivers messages among `numbers` until none is left, and drops all others.
    pub fn deliver_among(&mut self, numbers: &[u32]) {
        self.deliver_where(numbers, |_| true);
    }

    pub fn deliver_where(&mut self, numbers: &[u32], wanted: impl Fn(&Message) -> bool) {
        for round in 0.. {
            assert!(round < ROUND_LIMIT, "messages come to an end");
            if self.pending.is_empty() {
                break;
            }
            for envelope in std::mem::take(&mut self.pending) {
                let inside = |id: MemberId| numbers.contains(&id.node.0);
                if inside(envelope.from) && inside(envelope.to) && wanted(&envelope.message) {
                    self.step(envelope);
                }
            }
        }
    }

    /// Makes a member the leader by the votes of `numbers`; nothing is replicated.
    pub fn elect(&mut self, number: u32, numbers: &[u32]) {
        // A former leader steps down first, and a member that was away learns the term first.
        for _ in 0..4 {
            self.advance(10_000);
            self.tick(number);
            self.deliver_where(numbers, is_vote);
            if self.role(number) == RoleName::Leader {
                break;
            }
        }
        assert_eq!(self.role(number), RoleName::Leader, "member {number} is elected");
    }

    /// Makes a member the leader and lets it commit the entry that opens its term.
    pub fn settle(&mut self, number: u32, numbers: &[u32]) {
        self.elect(number, numbers);
        self.advance(100);
        self.tick(number);
        self.deliver_among(numbers);
    }

    /// A heartbeat of the leader, delivered among `numbers`.
    pub fn heartbeat(&mut self, leader: u32, numbers: &[u32]) {
        self.advance(100);
        self.tick(leader);
        self.deliver_among(numbers);
    }

    /// Commands that a member applied.
    pub fn commands(&mut self, number: u32) -> Vec<String> {
        let applied = &self.node(number).applied;
        applied.iter().filter_map(command_text).collect()
    }

    pub fn commit(&mut self, number: u32) -> LogIndex {
        self.node(number).node.status().commit
    }
}

pub fn is_vote(message: &Message) -> bool {
    matches!(
        message,
        Message::PreVoteRequest { .. }
            | Message::PreVoteResponse { .. }
            | Message::VoteRequest { .. }
            | Message::VoteResponse { .. }
    )
}

pub fn command_text(entry: &Entry) -> Option<String> {
    match &entry.payload {
        Payload::Command(command) => Some(String::from_utf8_lossy(command).into_owned()),
        _ => None,
    }
}
