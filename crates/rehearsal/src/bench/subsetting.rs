//! Replica subsets at the planned size: connections, balance, and how much moves.
//!
//! Nothing is started: the layout that brokers compute is computed for all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use gingerkeel_domain::catalog::{Leaf, LeafState, Placement};
use gingerkeel_domain::identifiers::{BrokerName, LeafId, RegionName, ShardId, ZoneName};
use gingerkeel_domain::routing::subset::{BrokerEntry, Subsetting};
use gumdrop::Options;
use serde::Serialize;

use super::print;
use crate::error::RehearsalError;

/// Connection limits of leaves, in turn by shard.
const CONNECTION_LIMITS: [u32; 4] = [75, 65, 110, 95];
/// Regions, and zones of each.
const REGIONS: usize = 2;
const ZONES: usize = 5;
/// One in so many brokers, or leaves, leaves the list.
const GONE: usize = 100;
/// Largest accepted sizes.
const MAXIMUM_BROKERS: usize = 4000;
const MAXIMUM_LEAVES: usize = 40_000;

/// Flags of the measurement of subsets.
#[derive(Debug, Options)]
pub struct SubsettingFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "brokers and leaves of each size",
        default = "400:3250,800:6500,1600:13000",
        meta = "SIZES"
    )]
    sizes: String,
    #[options(help = "shards that the leaves are spread over", default = "53", meta = "SHARDS")]
    shards: usize,
}

#[derive(Debug, Serialize)]
struct SubsetReport {
    kind: &'static str,
    brokers: usize,
    leaves: usize,
    shards: usize,
    leaves_per_broker: Spread,
    brokers_per_leaf: Spread,
    limits: Vec<LimitReport>,
    moved_when_brokers_leave: f64,
    moved_when_leaves_leave: f64,
    layout_milliseconds_per_broker: f64,
}

/// Leaves of one connection limit.
#[derive(Debug, Serialize)]
struct LimitReport {
    limit: u32,
    leaves: usize,
    brokers_per_leaf_most: usize,
    leaves_over_limit: usize,
}

/// How a count is spread.
#[derive(Debug, Serialize)]
struct Spread {
    least: usize,
    mean: f64,
    p99: usize,
    most: usize,
    most_over_mean: f64,
}

impl Spread {
    fn of(mut counts: Vec<usize>) -> Self {
        counts.sort_unstable();
        let last = counts.len().saturating_sub(1);
        let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
        let most = counts.last().copied().unwrap_or_default();
        Self {
            least: counts.first().copied().unwrap_or_default(),
            mean,
            p99: counts.get(last * 99 / 100).copied().unwrap_or_default(),
            most,
            most_over_mean: most as f64 / mean.max(f64::MIN_POSITIVE),
        }
    }
}

/// A cluster on paper.
#[derive(Clone)]
struct Cluster {
    brokers: Vec<BrokerEntry>,
    /// Leaves of each shard.
    shards: Vec<Vec<Leaf>>,
}

/// Leaves that each broker connects to.
type Layout = BTreeMap<BrokerName, BTreeSet<LeafId>>;

/// Lays out each size and prints a report for it.
///
/// # Errors
/// [`RehearsalError::Flag`] when a flag is wrong.
pub fn run(flags: &SubsettingFlags) -> Result<(), RehearsalError> {
    if !(1..=1000).contains(&flags.shards) {
        return Err(RehearsalError::Flag("--shards: use a number from 1 to 1000".into()));
    }
    for (brokers, leaves) in sizes(&flags.sizes)? {
        print(&measure(&Cluster::new(brokers, leaves, flags.shards), leaves));
    }
    Ok(())
}

fn sizes(text: &str) -> Result<Vec<(usize, usize)>, RehearsalError> {
    let size = |part: &str| {
        let (brokers, leaves) = part.split_once(':')?;
        let (brokers, leaves) = (brokers.trim().parse().ok()?, leaves.trim().parse().ok()?);
        let accepted = (GONE..=MAXIMUM_BROKERS).contains(&brokers)
            && (GONE..=MAXIMUM_LEAVES).contains(&leaves);
        accepted.then_some((brokers, leaves))
    };
    let remedy = "--sizes: use BROKERS:LEAVES from 100:100 to 4000:40000, as 400:3250,800:6500";
    text.split(',')
        .map(|part| size(part).ok_or_else(|| RehearsalError::Flag(remedy.into())))
        .collect()
}

impl Cluster {
    fn new(brokers: usize, leaves: usize, shards: usize) -> Self {
        let brokers = (0..brokers).map(|number| BrokerEntry {
            name: BrokerName::new(format!("broker-{number}")),
            placement: placement(number),
        });
        let mut by_shard = vec![Vec::new(); shards];
        for number in 0..leaves {
            let shard = number % shards;
            by_shard[shard].push(leaf(number, shard, number / shards));
        }
        Self { brokers: brokers.collect(), shards: by_shard }
    }

    fn without_brokers(&self) -> Self {
        let kept = self.brokers.iter().enumerate().filter(|(number, _)| stays(*number));
        Self { brokers: kept.map(|(_, broker)| broker.clone()).collect(), ..self.clone() }
    }

    fn without_leaves(&self) -> Self {
        let kept = |leaf: &&Leaf| stays(leaf.id.0 as usize);
        let shards = self.shards.iter().map(|leaves| leaves.iter().filter(kept).cloned().collect());
        Self { shards: shards.collect(), ..self.clone() }
    }

    fn layout(&self) -> Layout {
        self.brokers.iter().map(|broker| (broker.name.clone(), self.leaves_of(broker))).collect()
    }

    fn leaves_of(&self, broker: &BrokerEntry) -> BTreeSet<LeafId> {
        let subsetting = Subsetting::new(broker.clone(), &self.brokers);
        let mut taken = BTreeSet::new();
        for (shard, leaves) in (0..).zip(&self.shards) {
            let route = subsetting.route(ShardId(shard), leaves.iter().collect());
            taken.extend(route.tiers.into_iter().flatten());
        }
        taken
    }
}

/// Whether the broker or leaf with this number stays when one in [`GONE`] leaves.
fn stays(number: usize) -> bool {
    !number.is_multiple_of(GONE)
}

fn placement(number: usize) -> Placement {
    let place = number % (REGIONS * ZONES);
    Placement {
        region: RegionName::new(format!("region-{}", place % REGIONS)),
        zone: ZoneName::new(format!("zone-{}", place / REGIONS)),
    }
}

fn leaf(number: usize, shard: usize, replica: usize) -> Leaf {
    Leaf {
        id: LeafId(number as u32),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        placement: placement(replica),
        slots: 4,
        connection_limit: CONNECTION_LIMITS[shard % CONNECTION_LIMITS.len()],
        state: LeafState::Active,
    }
}

fn measure(cluster: &Cluster, leaves: usize) -> SubsetReport {
    let start = Instant::now();
    let layout = cluster.layout();
    let milliseconds = start.elapsed().as_secs_f64() * 1000.0;
    let holders = holders(cluster, &layout);
    SubsetReport {
        kind: "subsetting",
        brokers: cluster.brokers.len(),
        leaves,
        shards: cluster.shards.len(),
        leaves_per_broker: Spread::of(layout.values().map(BTreeSet::len).collect()),
        brokers_per_leaf: Spread::of(holders.values().copied().collect()),
        limits: limits(cluster, &holders),
        moved_when_brokers_leave: moved(&layout, &cluster.without_brokers().layout(), |_| true),
        moved_when_leaves_leave: moved(&layout, &cluster.without_leaves().layout(), |leaf| {
            stays(leaf.0 as usize)
        }),
        layout_milliseconds_per_broker: milliseconds / cluster.brokers.len() as f64,
    }
}

/// Brokers that hold each leaf.
fn holders(cluster: &Cluster, layout: &Layout) -> BTreeMap<LeafId, usize> {
    let mut holders: BTreeMap<LeafId, usize> =
        cluster.shards.iter().flatten().map(|leaf| (leaf.id, 0)).collect();
    for leaf in layout.values().flatten() {
        *holders.entry(*leaf).or_default() += 1;
    }
    holders
}

fn limits(cluster: &Cluster, holders: &BTreeMap<LeafId, usize>) -> Vec<LimitReport> {
    let mut by_limit: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for leaf in cluster.shards.iter().flatten() {
        by_limit.entry(leaf.connection_limit).or_default().push(holders[&leaf.id]);
    }
    let report = |(limit, counts): (u32, Vec<usize>)| LimitReport {
        limit,
        leaves: counts.len(),
        brokers_per_leaf_most: counts.iter().copied().max().unwrap_or_default(),
        leaves_over_limit: counts.iter().filter(|count| **count > limit as usize).count(),
    };
    by_limit.into_iter().map(report).collect()
}

/// Share of the pairs of a broker and a leaf that the later layout does not have any more, among
/// brokers of both and leaves that `stayed` accepts.
fn moved(before: &Layout, after: &Layout, stayed: impl Fn(&LeafId) -> bool) -> f64 {
    let mut pairs = 0;
    let mut gone = 0;
    for (broker, held) in before {
        let Some(now) = after.get(broker) else {
            continue;
        };
        let kept = held.iter().filter(|leaf| stayed(leaf));
        for leaf in kept {
            pairs += 1;
            gone += usize::from(!now.contains(leaf));
        }
    }
    gone as f64 / f64::from(pairs.max(1))
}
