//! The follower state machine: the revision never decreases, and a lease never outlasts its grant.

use std::collections::BTreeSet;
use std::time::Duration;

use gingerkeel_domain::catalog::{CallerAccount, Catalog, Change, Placement};
use gingerkeel_domain::feed::{
    BackOff, BrokerList, FeedFault, FollowerEffect, FollowerEvent, FollowerSettings, FollowerState,
    KnownBroker, LeaseGrant,
};
use gingerkeel_domain::identifiers::{BrokerName, CallerName, RegionName, Revision, ZoneName};
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_domain::time::Timestamp;
use proptest::prelude::*;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

const LEASE: Duration = Duration::from_secs(4);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1000)
}

/// The change that results in `revision`.
fn change(revision: u64) -> Change {
    let account = CallerAccount { budget_per_second: revision, burst: 1 };
    Change::DefineCaller { caller: CallerName::new("portal"), account }
}

fn catalog(revision: u64) -> Catalog {
    let mut catalog = Catalog::default();
    for number in 1..=revision {
        catalog.apply(&change(number)).unwrap();
    }
    catalog
}

struct Broker {
    follower: FollowerState,
}

impl Broker {
    fn new() -> Self {
        Self { follower: FollowerState::new(FollowerSettings::default()) }
    }

    fn tell(&mut self, now: u64, event: FollowerEvent) -> Vec<FollowerEffect> {
        let mut effects = Vec::new();
        self.follower.handle(at(now), event, &mut effects);
        effects
    }

    /// Connects and returns the number of the first renewal.
    fn connect(&mut self, now: u64) -> u64 {
        let effects = self.tell(now, FollowerEvent::Connected);
        ticket(&effects)
    }

    fn grant(&mut self, now: u64, ticket: u64, revision: u64) -> Vec<FollowerEffect> {
        let revision = Revision(revision);
        let grant = LeaseGrant { ticket, revision, duration: LEASE };
        self.tell(now, FollowerEvent::Granted(grant))
    }

    fn change(&mut self, now: u64, revision: u64) -> Vec<FollowerEffect> {
        let event =
            FollowerEvent::Change { revision: Revision(revision), change: change(revision) };
        self.tell(now, event)
    }

    fn revision(&self) -> u64 {
        self.follower.catalog().revision().0
    }
}

fn ticket(effects: &[FollowerEffect]) -> u64 {
    let renewal = effects.iter().find_map(|effect| match effect {
        FollowerEffect::Renew { ticket, .. } => Some(*ticket),
        _ => None,
    });
    renewal.expect("a lease is asked for")
}

#[test]
fn lease_counts_from_its_request() {
    let mut broker = Broker::new();
    let ticket = broker.connect(1_000);
    broker.tell(1_010, FollowerEvent::FullCatalog(catalog(3)));
    assert!(!broker.follower.is_fresh(at(1_010)));
    // The grant is delayed by two seconds, as by a paused control process.
    broker.grant(3_000, ticket, 3);
    assert!(broker.follower.is_fresh(at(4_999)));
    assert!(!broker.follower.is_fresh(at(5_000)));
}

#[test]
fn lease_is_valid_once_its_revision_is_in_force() {
    let mut broker = Broker::new();
    let ticket = broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(3)));
    broker.grant(2, ticket, 5);
    assert!(!broker.follower.is_fresh(at(2)));
    broker.change(3, 4);
    assert!(!broker.follower.is_fresh(at(3)));
    let effects = broker.change(4, 5);
    assert!(effects.contains(&FollowerEffect::FreshUntil(at(4_000))), "{effects:?}");
}

#[test]
fn grant_of_a_lost_link_is_ignored() {
    let mut broker = Broker::new();
    let old = broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(3)));
    broker.tell(2, FollowerEvent::Disconnected);
    broker.connect(3);
    broker.grant(4, old, 3);
    assert!(!broker.follower.is_fresh(at(4)));
}

#[test]
fn older_catalog_is_refused_and_the_link_closed() {
    let mut broker = Broker::new();
    broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(5)));
    broker.tell(2, FollowerEvent::Disconnected);
    broker.connect(3);
    let effects = broker.tell(4, FollowerEvent::FullCatalog(catalog(4)));
    let fault = FeedFault::Older(Revision(4), Revision(5));
    assert_eq!(effects, [FollowerEffect::GiveUp(fault)]);
    assert_eq!(broker.revision(), 5);
}

#[test]
fn grant_of_an_older_revision_is_refused() {
    let mut broker = Broker::new();
    let ticket = broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(5)));
    let effects = broker.grant(2, ticket, 4);
    assert!(matches!(effects[..], [FollowerEffect::GiveUp(FeedFault::Older(..))]));
    assert!(!broker.follower.is_fresh(at(2)));
}

#[test]
fn gap_is_not_applied() {
    let mut broker = Broker::new();
    broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(2)));
    let effects = broker.change(2, 4);
    let fault = FeedFault::Gap(Revision(4), Revision(2));
    assert_eq!(effects, [FollowerEffect::GiveUp(fault)]);
    assert_eq!(broker.revision(), 2);
}

#[test]
fn repeated_change_is_ignored() {
    let mut broker = Broker::new();
    broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(2)));
    assert_eq!(broker.change(2, 2), []);
    assert_eq!(broker.revision(), 2);
}

#[test]
fn unresponsive_control_process_is_replaced_before_the_lease_expires() {
    let mut broker = Broker::new();
    let first = broker.connect(0);
    broker.tell(1, FollowerEvent::FullCatalog(catalog(2)));
    broker.grant(2, first, 2);
    let mut effects = Vec::new();
    while !effects.iter().any(|effect| matches!(effect, FollowerEffect::GiveUp(_))) {
        let now = broker.follower.next_timer().expect("a link has timers");
        assert!(broker.follower.is_fresh(now), "given up too late");
        broker.follower.handle(now, FollowerEvent::TimerElapsed, &mut effects);
    }
    assert!(effects.contains(&FollowerEffect::GiveUp(FeedFault::LeaseTimeout)));
}

#[test]
fn backoff_grows_to_its_limit_with_jitter() {
    let limit = Duration::from_secs(5);
    let mut pauses = BTreeSet::new();
    for seed in 0..50 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut back_off = BackOff::new(Duration::from_millis(200), limit);
        assert!(back_off.next_pause(&mut random) <= Duration::from_millis(200));
        for _ in 0..40 {
            assert!(back_off.next_pause(&mut random) <= limit);
        }
        pauses.insert(back_off.next_pause(&mut random));
        back_off.succeeded();
        assert!(back_off.next_pause(&mut random) <= Duration::from_millis(200));
    }
    assert!(pauses.len() > 45, "{} distinct pauses of 50 brokers", pauses.len());
    assert!(pauses.last().unwrap() > &Duration::from_secs(4));
}

fn broker_list(members: &BTreeSet<(u8, u8)>) -> BrokerList {
    BrokerList::new(members.iter().map(|(name, zone)| {
        let placement =
            Placement { region: RegionName::new("south"), zone: ZoneName::new(format!("z{zone}")) };
        let entry = BrokerEntry { name: BrokerName::new(format!("b{name}")), placement };
        KnownBroker { entry, live: name % 2 == 0 }
    }))
}

/// Input to a broker: links to control processes at old and new revisions, late grants, and changes
/// in any order.
#[derive(Debug, Clone)]
enum Step {
    Connect,
    Disconnect,
    Full(u64),
    Change(u64),
    Grant { age: u64, revision: u64 },
    Timer,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Connect),
        Just(Step::Disconnect),
        (0..8u64).prop_map(Step::Full),
        (0..8u64).prop_map(Step::Change),
        (0..4u64, 0..8u64).prop_map(|(age, revision)| Step::Grant { age, revision }),
        Just(Step::Timer),
    ]
}

proptest! {
    #[test]
    fn revision_in_force_never_decreases_and_leases_stay_within_their_grants(
        steps in prop::collection::vec((0..2_000u64, step()), 1..60),
    ) {
        let mut broker = Broker::new();
        let mut now = 0;
        let mut asked: Vec<(u64, u64)> = Vec::new();
        let mut promised = 0;
        for (pause, step) in steps {
            now += pause;
            let before = broker.revision();
            let effects = match step {
                Step::Connect => broker.tell(now, FollowerEvent::Connected),
                Step::Disconnect => broker.tell(now, FollowerEvent::Disconnected),
                Step::Full(revision) => {
                    broker.tell(now, FollowerEvent::FullCatalog(catalog(revision)))
                }
                Step::Change(revision) => broker.change(now, revision),
                Step::Timer => broker.tell(now, FollowerEvent::TimerElapsed),
                Step::Grant { age, revision } => {
                    let ticket = asked.len().checked_sub(1 + age as usize).map(|i| asked[i]);
                    let Some((ticket, asked_at)) = ticket else { continue };
                    promised = promised.max(asked_at + LEASE.as_millis() as u64);
                    broker.grant(now, ticket, revision)
                }
            };
            prop_assert!(broker.revision() >= before);
            for effect in &effects {
                match effect {
                    FollowerEffect::Renew { ticket, .. } => asked.push((*ticket, now)),
                    FollowerEffect::FreshUntil(until) => prop_assert!(*until <= at(promised)),
                    _ => {}
                }
            }
            prop_assert!(!broker.follower.is_fresh(at(promised)));
        }
    }

    #[test]
    fn broker_lists_are_updated_by_deltas(
        before in prop::collection::btree_set((0..20u8, 0..3u8), 0..20),
        after in prop::collection::btree_set((0..20u8, 0..3u8), 0..20),
    ) {
        let (before, after) = (broker_list(&before), broker_list(&after));
        let mut list = BrokerList::default();
        list.apply(before.whole());
        prop_assert_eq!(&list, &before);
        if let Some(delta) = before.delta_to(&after) {
            list.apply(delta);
        }
        prop_assert_eq!(list, after);
    }
}
