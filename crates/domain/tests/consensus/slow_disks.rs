//! Members whose disks all take long to sync.

use std::collections::VecDeque;
use std::time::Duration;

use gingerkeel_domain::consensus::{MemberId, RoleName, WriteNumber};
use gingerkeel_domain::time::Timestamp;
use rstest::rstest;

use crate::lab::{Lab, member, quick_elections};

/// Virtual time of one round, in which each message in flight is delivered.
const ROUND: Duration = Duration::from_millis(5);
/// Time within which a command must be committed. A call of an operator waits as long.
const CALL_TIME: Duration = Duration::from_secs(5);

/// A write that is being synced.
struct Sync {
    member: MemberId,
    number: WriteNumber,
    done_at: Timestamp,
}

/// Three members whose writes are synced one after the other, each in the same time.
struct SlowCluster {
    lab: Lab,
    sync_time: Duration,
    syncs: VecDeque<Sync>,
}

impl SlowCluster {
    fn new(sync_time: Duration) -> Self {
        let mut lab = Lab::with_settings(3, quick_elections());
        lab.nodes.values_mut().for_each(|lab_node| lab_node.disk_works = false);
        Self { lab, sync_time, syncs: VecDeque::new() }
    }

    fn run_round(&mut self) {
        self.lab.now = self.lab.now.after(ROUND);
        let now = self.lab.now;
        while self.syncs.front().is_some_and(|sync| sync.done_at <= now) {
            let sync = self.syncs.pop_front().expect("it exists");
            let lab_node = self.lab.nodes.get_mut(&sync.member).expect("it exists");
            lab_node.node.persisted(now, sync.number);
        }
        for envelope in std::mem::take(&mut self.lab.pending) {
            self.lab.step(envelope);
        }
        for number in 1..=3 {
            let node = &mut self.lab.node(number).node;
            if now >= node.next_timer() {
                node.tick(now);
            }
            self.lab.flush(member(number));
            self.start_syncs(member(number));
        }
    }

    /// Starts to sync the writes that the member has issued.
    fn start_syncs(&mut self, identity: MemberId) {
        let done_at = self.lab.now.after(self.sync_time);
        let lab_node = self.lab.nodes.get_mut(&identity).expect("it exists");
        for write in lab_node.writes.drain(..) {
            self.syncs.push_back(Sync { member: identity, number: write.number, done_at });
        }
    }

    fn has_committed(&mut self) -> bool {
        (1..=3).any(|number| {
            let status = self.lab.node(number).node.status();
            status.role == RoleName::Leader
                && self.lab.node(number).node.term_at(status.commit) == Some(status.term)
        })
    }
}

/// Guards against elections that repeat without end, or leaders that step down again and again,
/// because every disk takes longer to sync than the election timeout.
#[rstest]
#[case::a_tenth_of_the_election_timeout(30)]
#[case::the_election_timeout(300)]
#[case::twice_the_election_timeout(600)]
#[case::a_second(1_000)]
fn a_leader_commits_in_time_while_every_disk_is_slow(#[case] sync_millis: u64) {
    let mut cluster = SlowCluster::new(Duration::from_millis(sync_millis));
    let until = cluster.lab.now.after(CALL_TIME);
    while cluster.lab.now < until && !cluster.has_committed() {
        cluster.run_round();
    }
    let terms = [1, 2, 3].map(|number| cluster.lab.node(number).node.status().term);
    assert!(cluster.has_committed(), "terms {terms:?}");
}
