//! Compares two policies for brokers with an expired lease, refusing queries or serving stale data,
//! during partitions of a region and pauses of control processes.
//!
//! Brokers are [`FollowerState`]s on a virtual clock. The control tier is a single accepted
//! revision, reachable or not. Each broker starts a query every 100 ms.

use std::collections::VecDeque;
use std::time::Duration;

use gingerkeel_domain::catalog::{CallerAccount, Catalog, Change};
use gingerkeel_domain::feed::{
    FollowerEffect, FollowerEvent, FollowerSettings, FollowerState, LeaseGrant,
};
use gingerkeel_domain::identifiers::{CallerName, Revision};
use gingerkeel_domain::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: u64 = 50;
const BROKERS: usize = 20;
const STEP: u64 = 10;
const LENGTH: u64 = 300_000;
const LEASE: u64 = 4_000;
const QUERY_EVERY: u64 = 100;
const CHANGE_EVERY: u64 = 2_000;

/// A message in transit to a broker.
struct Delivery {
    due: u64,
    event: FollowerEvent,
}

struct Broker {
    follower: FollowerState,
    inbox: VecDeque<Delivery>,
    reconnect_at: Option<u64>,
}

/// Maximum time in milliseconds between the acceptance of a change and a query started without it,
/// for each policy, and the number of refused queries.
#[derive(Default, Clone, Copy)]
struct Figures {
    worst_refusing: u64,
    worst_serving_stale: u64,
    queries: u64,
    refused: u64,
}

fn change(revision: u64) -> Change {
    let account = CallerAccount { budget_per_second: revision, burst: 1 };
    Change::DefineCaller { caller: CallerName::new("portal"), account }
}

fn timestamp(milliseconds: u64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1000)
}

fn run(seed: u64) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let cut_from = random.random_range(30_000..60_000);
    let cut_until = cut_from + random.random_range(60_000..180_000);
    let mut accepted_at = vec![0];
    let mut catalog = Catalog::default();
    let mut brokers: Vec<Broker> = (0..BROKERS)
        .map(|_| Broker {
            follower: FollowerState::new(FollowerSettings::default()),
            inbox: VecDeque::new(),
            reconnect_at: Some(random.random_range(0..1_000)),
        })
        .collect();
    let mut figures = Figures::default();
    for now in (0..LENGTH).step_by(STEP as usize) {
        if now % CHANGE_EVERY == 0 {
            catalog.apply(&change(accepted_at.len() as u64)).unwrap();
            accepted_at.push(now);
        }
        // Half of the brokers are in the partitioned region.
        let cut = (cut_from..cut_until).contains(&now);
        for (number, broker) in brokers.iter_mut().enumerate() {
            let reachable = !(cut && number < BROKERS / 2);
            step(broker, now, reachable, &catalog, &mut random);
            if now % QUERY_EVERY == 0 && now > 5_000 {
                observe(broker, now, &accepted_at, &mut figures);
            }
        }
    }
    figures
}

fn step(broker: &mut Broker, now: u64, reachable: bool, catalog: &Catalog, random: &mut Pcg64) {
    let mut effects = Vec::new();
    let time = timestamp(now);
    if broker.reconnect_at.is_some_and(|due| due <= now) {
        broker.reconnect_at = None;
        broker.follower.handle(time, FollowerEvent::Connected, &mut effects);
    }
    while broker.inbox.front().is_some_and(|delivery| delivery.due <= now) {
        let delivery = broker.inbox.pop_front().unwrap();
        broker.follower.handle(time, delivery.event, &mut effects);
    }
    if broker.follower.next_timer().is_some_and(|due| due <= time) {
        broker.follower.handle(time, FollowerEvent::TimerElapsed, &mut effects);
    }
    for effect in effects {
        match effect {
            FollowerEffect::Renew { ticket, .. } if reachable => {
                // Some responses are delayed by seconds, as by a paused control process.
                let freeze = if random.random_bool(0.01) { 3_000 } else { 0 };
                let last = broker.inbox.back().map_or(0, |delivery| delivery.due);
                let due = (now + random.random_range(20..60) + freeze).max(last);
                let revision = catalog.revision();
                let duration = Duration::from_millis(LEASE);
                let grant = LeaseGrant { ticket, revision, duration };
                let full = FollowerEvent::FullCatalog(catalog.clone());
                broker.inbox.push_back(Delivery { due, event: full });
                broker.inbox.push_back(Delivery { due, event: FollowerEvent::Granted(grant) });
            }
            FollowerEffect::GiveUp(_) => {
                // Messages in transit are lost with the connection.
                broker.inbox.clear();
                broker.reconnect_at = Some(now + random.random_range(10..500));
            }
            _ => {}
        }
    }
}

fn observe(broker: &Broker, now: u64, accepted_at: &[u64], figures: &mut Figures) {
    figures.queries += 1;
    let Revision(in_force) = broker.follower.catalog().revision();
    let missing = accepted_at.get(in_force as usize + 1);
    let behind = missing.map_or(0, |accepted| now - accepted);
    figures.worst_serving_stale = figures.worst_serving_stale.max(behind);
    if broker.follower.is_fresh(timestamp(now)) {
        figures.worst_refusing = figures.worst_refusing.max(behind);
    } else {
        figures.refused += 1;
    }
}

#[test]
fn a_change_is_in_force_within_its_lease_at_every_broker_that_serves() {
    let mut all = Figures::default();
    for seed in 0..SEEDS {
        let figures = run(seed);
        all.worst_refusing = all.worst_refusing.max(figures.worst_refusing);
        all.worst_serving_stale = all.worst_serving_stale.max(figures.worst_serving_stale);
        all.queries += figures.queries;
        all.refused += figures.refused;
    }
    println!(
        "seeds={SEEDS} brokers={BROKERS} queries={} refuse: worst_ms={} refused={} \
         serve_stale: worst_ms={} refused=0",
        all.queries, all.worst_refusing, all.refused, all.worst_serving_stale
    );
    assert!(all.worst_refusing <= LEASE, "{} ms", all.worst_refusing);
    assert!(all.worst_serving_stale > 60_000, "the cuts were not felt");
    assert!(all.refused > 0 && all.refused < all.queries / 2);
}
