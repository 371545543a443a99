//! Exhaustive runs of small clusters in which one member ends and another one then loses its data
//! folder: every leader, every pair of members, every round of messages in between, and several
//! orders of delivery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::consensus::{
    Configuration, Envelope, Incarnation, MemberChange, MemberId, MembershipPolicy, NodeNumber,
    Recovered, RoleName, Term,
};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

use crate::lab::{Lab, POLICY, command_text, member, quick_elections};

/// Virtual time of one round, in which each message in flight is delivered.
const ROUND: Duration = Duration::from_millis(5);
/// Rounds between two runs of a driver's membership maintenance.
const MAINTENANCE_ROUNDS: u32 = 10;
/// Rounds for which a member is down that lost its data folder.
const DOWN_ROUNDS: u32 = 40;
/// Rounds within which the cluster must accept commands again.
const RECOVERY_ROUNDS: u32 = 800;
/// Rounds after the planned stop is requested, or after the kill, at which the folder is lost.
const LOSS_ROUNDS: u32 = 100;
/// Time after a kill from which a cluster with a voter to spare must survive the loss of a folder.
const REPLACED_AFTER: Duration = Duration::from_millis(300);

/// How the first member ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It prepares its stop and ends once that is permitted.
    Stop,
    /// Its process is killed; its address refuses connections afterwards.
    Kill,
}

/// The order in which the messages of a round are delivered.
#[derive(Debug, Clone, Copy)]
enum Order {
    AsSent,
    Reversed,
    ByReceiver,
    ByReceiverReversed,
}

const ORDERS: [Order; 4] =
    [Order::AsSent, Order::Reversed, Order::ByReceiver, Order::ByReceiverReversed];

/// A cluster with the drivers of its members.
struct Drill {
    lab: Lab,
    policy: MembershipPolicy,
    order: Order,
    round: u32,
    down: BTreeSet<MemberId>,
    stopping: Option<MemberId>,
    leaders: BTreeMap<Term, MemberId>,
}

impl Drill {
    /// Four members that one of them leads: all voters, or three voters and a learner, as `policy`
    /// allows.
    fn new(leader: u32, policy: MembershipPolicy, order: Order) -> Self {
        let mut lab = Lab::with_settings(3, quick_elections());
        lab.settle(leader.min(3), &[1, 2, 3]);
        lab.start(member(4), Recovered::default());
        let mut drill = Self {
            lab,
            policy,
            order,
            round: 0,
            down: BTreeSet::new(),
            stopping: None,
            leaders: BTreeMap::new(),
        };
        drill.run_rounds(120);
        if drill.leader() != Some(member(leader)) && policy.max_voters > 3 {
            drill.lab.elect(leader, &[1, 2, 3, 4]);
            drill.run_rounds(60);
        }
        assert_eq!(drill.leader(), Some(member(leader)));
        drill
    }

    fn run_rounds(&mut self, count: u32) {
        for _ in 0..count {
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        self.round += 1;
        self.lab.now = self.lab.now.after(ROUND);
        let mut messages = std::mem::take(&mut self.lab.pending);
        arrange(&mut messages, self.order);
        for envelope in messages {
            if !self.down.contains(&envelope.from) && !self.down.contains(&envelope.to) {
                self.lab.step(envelope);
            }
        }
        let live = self.live();
        for identity in &live {
            self.run_timers(*identity);
        }
        if self.round.is_multiple_of(MAINTENANCE_ROUNDS) {
            live.iter().for_each(|identity| self.maintain(*identity));
        }
        self.check_leaders();
    }

    fn live(&self) -> Vec<MemberId> {
        let members = self.lab.nodes.keys().copied();
        members.filter(|identity| !self.down.contains(identity)).collect()
    }

    fn run_timers(&mut self, identity: MemberId) {
        let now = self.lab.now;
        let node = &mut self.lab.nodes.get_mut(&identity).expect("it exists").node;
        if now >= node.next_timer() {
            node.tick(now);
        }
        self.lab.flush(identity);
    }

    /// What the driver of a member does from time to time.
    fn maintain(&mut self, identity: MemberId) {
        let (now, policy, live) = (self.lab.now, self.policy, self.live());
        let node = &mut self.lab.nodes.get_mut(&identity).expect("it exists").node;
        let stopping = self.stopping;
        let joining = live
            .into_iter()
            .find(|other| !node.configuration().contains(*other) && stopping != Some(*other));
        let due = node.due_replacement(now).or_else(|| node.due_membership_change(now, &policy));
        let due = due.or_else(|| joining.map(MemberChange::AddLearner));
        if let Some(change) = due {
            // A change that is not accepted is tried again.
            let _ = node.change_members(now, change);
        }
        node.permit_stops(now, Some(&policy));
        if self.stopping == Some(identity) && node.prepare_stop() {
            self.end(identity);
        }
        self.lab.flush(identity);
    }

    fn end(&mut self, identity: MemberId) {
        self.lab.flush(identity);
        self.down.insert(identity);
        self.set_refusing(identity.node, true);
    }

    fn set_refusing(&mut self, node: NodeNumber, refusing: bool) {
        let now = self.lab.now;
        for lab_node in self.lab.nodes.values_mut() {
            lab_node.node.set_refusing(now, node, refusing);
        }
    }

    fn lose_folder(&mut self, identity: MemberId) -> MemberId {
        self.down.insert(identity);
        self.set_refusing(identity.node, true);
        MemberId { incarnation: Incarnation(identity.incarnation.0 + 1), ..identity }
    }

    fn restart(&mut self, identity: MemberId) {
        self.lab.start(identity, Recovered::default());
        self.set_refusing(identity.node, false);
    }

    fn check_leaders(&mut self) {
        for identity in self.live() {
            let status = self.lab.nodes[&identity].node.status();
            if status.role == RoleName::Leader {
                let known = *self.leaders.entry(status.term).or_insert(identity);
                assert_eq!(known, identity, "two leaders in term {:?}", status.term);
            }
        }
    }

    fn leader(&self) -> Option<MemberId> {
        let leads =
            |identity: &MemberId| self.lab.nodes[identity].node.status().role == RoleName::Leader;
        self.live()
            .into_iter()
            .filter(leads)
            .max_by_key(|identity| self.lab.nodes[identity].node.status().term)
    }

    /// Commands that any member that still runs has applied.
    fn applied(&self) -> BTreeSet<String> {
        let live = self.live().into_iter();
        live.flat_map(|identity| self.commands(identity)).collect()
    }

    fn commands(&self, identity: MemberId) -> BTreeSet<String> {
        self.lab.nodes[&identity].applied.iter().filter_map(command_text).collect()
    }

    fn propose(&mut self, command: &'static str) {
        if let Some(leader) = self.leader() {
            let now = self.lab.now;
            let node = &mut self.lab.nodes.get_mut(&leader).expect("it exists").node;
            // A command that is not accepted is proposed again.
            let _ = node.propose(now, Bytes::from_static(command.as_bytes()));
            self.lab.flush(leader);
        }
    }

    /// Whether the stop ends, all live members apply a new command, and every voter is live.
    fn recovers(&mut self) -> bool {
        for _ in 0..RECOVERY_ROUNDS / MAINTENANCE_ROUNDS {
            self.propose("after");
            self.run_rounds(MAINTENANCE_ROUNDS);
            let live = self.live();
            let configuration = self.leader().map(|leader| self.configuration(leader));
            let stopped = self.stopping.is_none_or(|stopping| !live.contains(&stopping));
            let whole = configuration.is_some_and(|configuration| {
                stopped
                    && configuration.voters.len() >= 3
                    && configuration.voters.iter().all(|voter| live.contains(voter))
            });
            if whole && live.iter().all(|identity| self.commands(*identity).contains("after")) {
                return true;
            }
        }
        false
    }

    fn configuration(&self, identity: MemberId) -> Configuration {
        self.lab.nodes[&identity].node.configuration().clone()
    }
}

fn arrange(messages: &mut [Envelope], order: Order) {
    match order {
        Order::AsSent => {}
        // Messages between two members stay in order, as on a connection.
        Order::Reversed => messages.sort_by_key(|envelope| std::cmp::Reverse(envelope.from)),
        Order::ByReceiver => messages.sort_by_key(|envelope| envelope.to),
        Order::ByReceiverReversed => {
            messages.sort_by_key(|envelope| std::cmp::Reverse(envelope.to));
        }
    }
}

/// One run; `Err` names what went wrong.
fn run(
    leader: u32,
    ended: u32,
    lost: u32,
    loss_round: u32,
    order: Order,
    end: End,
    policy: MembershipPolicy,
) -> Result<(), String> {
    let mut drill = Drill::new(leader, policy, order);
    let (ended, lost) = (member(ended), member(lost));
    match end {
        End::Stop => drill.stopping = Some(ended),
        End::Kill => drill.end(ended),
    }
    let began: Timestamp = drill.lab.now;
    drill.propose("before");
    drill.run_rounds(loss_round);
    let acknowledged = drill.applied();
    let successor = drill.lose_folder(lost);
    drill.run_rounds(DOWN_ROUNDS);
    drill.restart(successor);
    let allowed = end == End::Stop || ROUND * loss_round >= REPLACED_AFTER;
    let recovered = drill.recovers();
    let what = format!(
        "leader {leader}, {end:?} of {ended}, folder of {lost} lost {:?} later, {order:?}",
        drill.lab.now.since(began).min(ROUND * loss_round)
    );
    if allowed && !recovered {
        let stopped = drill.down.contains(&ended);
        let configuration = drill.leader().map(|leader| drill.configuration(leader));
        return Err(format!("not whole (ended {stopped}): {what}: {configuration:?}"));
    }
    let kept = drill.leader().map(|leader| drill.commands(leader)).unwrap_or_default();
    match recovered && !kept.is_superset(&acknowledged) {
        true => Err(format!("an acknowledged command is lost: {what}")),
        false => Ok(()),
    }
}

/// All runs of one kind; the first failures and their number.
fn run_all(end: End, policy: MembershipPolicy) {
    let mut failures = Vec::new();
    // A learner does not lead.
    let leaders = policy.max_voters.min(4) as u32;
    for (leader, ended, lost) in members(leaders) {
        for order in ORDERS {
            for loss_round in 0..LOSS_ROUNDS {
                failures.extend(run(leader, ended, lost, loss_round, order, end, policy).err());
            }
        }
    }
    let count = failures.len();
    failures.truncate(10);
    assert!(count == 0, "{count} runs failed, the first of them:\n{}", failures.join("\n"));
}

/// Leader of these, member that ends and member that loses its folder.
fn members(leaders: u32) -> Vec<(u32, u32, u32)> {
    let pairs =
        |leader| (1..=4).flat_map(move |ended| (1..=4).map(move |lost| (leader, ended, lost)));
    (1..=leaders).flat_map(pairs).filter(|(_, ended, lost)| ended != lost).collect()
}

/// Guards against a quorum lost for good because a machine that was replaced and stopped is still a
/// voter when another one loses its data folder.
#[rstest]
#[case::four_voters(POLICY)]
#[case::three_voters_and_a_learner(MembershipPolicy { max_voters: 3, ..POLICY })]
fn stop_of_a_member_and_then_a_lost_folder_keep_the_quorum(#[case] policy: MembershipPolicy) {
    run_all(End::Stop, policy);
}

/// Guards against a quorum lost for good because a machine that was replaced and killed is a voter
/// until it has been silent for long.
#[rstest]
#[case::four_voters(POLICY)]
#[case::three_voters_and_a_learner(MembershipPolicy { max_voters: 3, ..POLICY })]
fn kill_of_a_member_and_soon_a_lost_folder_keep_the_quorum(#[case] policy: MembershipPolicy) {
    run_all(End::Kill, policy);
}
