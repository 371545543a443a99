//! Settings of a control process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use serde::Deserialize;

use crate::process::{check_process_limits, default_memory_mb, default_open_files};
use crate::{Check, SettingsError, Validate};

/// Maximum number of configured peers, including this process.
const PEER_LIMIT: usize = 16;

/// Settings of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Process name; unique in the cluster.
    pub name: String,
    /// Listen address for operator statements.
    pub operators: SocketAddr,
    /// Listen address for the feeds of brokers.
    pub feed: SocketAddr,
    /// Memory that the process may use, in MB. Half of it is for the connections of operators.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Descriptors that the process may have open. Three quarters of them are for the connections
    /// of operators.
    #[serde(default = "default_open_files")]
    pub open_files: u32,
    /// Data folder of the process.
    pub data_folder: PathBuf,
    /// Cluster name; the same for all control processes of the cluster.
    #[serde(default = "default_cluster")]
    pub cluster: String,
    /// Node number of this process. Ignored if `seeds` is set.
    #[serde(default = "default_node")]
    pub node: u32,
    /// Region of the process.
    #[serde(default = "default_place")]
    pub region: String,
    /// Zone of the process.
    #[serde(default = "default_place")]
    pub zone: String,
    /// All control processes of the cluster including this one. Empty if there is no other one, or
    /// if `seeds` is set.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Seed nodes for discovery of the control processes, as an alternative to `peers`.
    #[serde(default)]
    pub seeds: Option<SeedSettings>,
    /// Region of each zone, to validate the regions of routes and the zones of evacuations. If
    /// empty, neither is validated.
    #[serde(default)]
    pub zone_regions: BTreeMap<String, String>,
    /// External directory of leaves. If missing, operators add the leaves.
    #[serde(default)]
    pub directory: Option<DirectorySettings>,
    /// Minimum election timeout in milliseconds. The timeout is random, up to twice this value.
    #[serde(default = "default_election_ms")]
    pub election_ms: u32,
    /// Listen address of the route configuration API. If missing, the cluster has no routes.
    #[serde(default)]
    pub routes: Option<SocketAddr>,
    /// Limits on requests to a new software version during its rollout.
    #[serde(default)]
    pub rollout: RolloutSettings,
}

/// Limits on requests, over all brokers, to a new software version before it has been evaluated.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Maximum share of the requests for the service, in parts per million.
    pub exposed_ppm: u32,
    /// Additional requests beyond that share.
    pub exposed_slack: u32,
}

impl Default for RolloutSettings {
    /// 10 %, and 50 more requests to evaluate the version of a service with few requests.
    fn default() -> Self {
        Self { exposed_ppm: 100_000, exposed_slack: 50 }
    }
}

/// Seed nodes, through which a control process discovers all other members.
///
/// The node number of a member is its IPv4 address, so a machine with another address is another
/// member.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Listen address for connections of other members. All members use the same port.
    pub own: SocketAddrV4,
    /// Listen addresses of the seed nodes.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the seed nodes may form a new cluster. Set this only for the first start of all seed
    /// nodes.
    #[serde(default)]
    pub form: bool,
    /// Maximum number of voters. Additional members are learners that replace lost voters.
    #[serde(default = "default_voters")]
    pub voters: u32,
    /// Voters that must be reachable before a lost voter is removed: 2f + 1 to tolerate f
    /// simultaneous losses.
    #[serde(default = "default_least_voters")]
    pub least_voters: u32,
    /// Time in milliseconds without a message after which a voter is considered lost.
    #[serde(default = "default_replace_after_ms")]
    pub replace_after_ms: u32,
}

/// External directory of leaves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    /// Address of the directory server.
    pub address: SocketAddr,
    /// Interval between polls of the whole directory, in milliseconds.
    #[serde(default = "default_poll_interval_ms")]
    pub poll_interval_ms: u32,
}

/// Static configuration of one control process of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Node number, from 1. Must never be reused for another machine.
    pub node: u32,
    /// Listen address for connections of other peers.
    pub address: SocketAddr,
    /// Whether the process is an initial voter. Has no effect after the cluster has been formed.
    #[serde(default = "default_voter")]
    pub voter: bool,
}

fn default_election_ms() -> u32 {
    600
}

fn default_voters() -> u32 {
    5
}

fn default_least_voters() -> u32 {
    3
}

fn default_replace_after_ms() -> u32 {
    6_000
}

fn default_poll_interval_ms() -> u32 {
    700
}

fn default_cluster() -> String {
    "gingerkeel".into()
}

fn default_node() -> u32 {
    1
}

fn default_place() -> String {
    "default".into()
}

fn default_voter() -> bool {
    true
}

impl ControlSettings {
    /// Listen address for connections of other control processes, or `None` without peers.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        if let Some(seeds) = &self.seeds {
            return Some(seeds.own.into());
        }
        self.peers.iter().find(|peer| peer.node == self.node).map(|peer| peer.address)
    }

    /// The configured peers except this process.
    pub fn other_peers(&self) -> impl Iterator<Item = &PeerSettings> {
        self.peers.iter().filter(|peer| peer.node != self.node)
    }

    /// Node number of this process: from its address if `seeds` is set, otherwise `node`.
    pub fn node_number(&self) -> u32 {
        self.seeds.as_ref().map_or(self.node, SeedSettings::node_number)
    }

    fn validate_seeds(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let Some(seeds) = &self.seeds else {
            return Ok(());
        };
        let count = self.peers.len();
        check.field("peers", count, count == 0, "name either `peers` or `seeds`")?;
        let named = seeds.seeds.len();
        check.field("seeds.seeds", named, named > 0, "name at least one seed")?;
        let same = seeds.seeds.iter().all(|seed| seed.port() == seeds.own.port());
        check.field("seeds.own", seeds.own, same, "use the port of the seeds")?;
        let accepted = (1..=15).contains(&seeds.voters);
        check.field("seeds.voters", seeds.voters, accepted, "use a number from 1 to 15")?;
        let least = seeds.least_voters;
        let accepted = (1..=seeds.voters).contains(&least);
        check.field("seeds.least_voters", least, accepted, "use 1 up to `seeds.voters`")?;
        let wait = seeds.replace_after_ms;
        let accepted = (1_000..=3_600_000).contains(&wait);
        check.field("seeds.replace_after_ms", wait, accepted, "use 1000 to 3600000")
    }

    fn validate_directory(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let Some(directory) = &self.directory else {
            return Ok(());
        };
        let interval = directory.poll_interval_ms;
        let accepted = (50..=60_000).contains(&interval);
        check.field("directory.poll_interval_ms", interval, accepted, "use 50 to 60000")
    }

    fn validate_peers(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        let count = self.peers.len();
        check.field("peers", count, count <= PEER_LIMIT, "name at most 16 control processes")?;
        let mut nodes = BTreeSet::new();
        let mut addresses = BTreeSet::from([self.operators, self.feed]);
        for peer in &self.peers {
            let accepted = peer.node > 0;
            check.field("peers.node", peer.node, accepted, "use a number from 1")?;
            let distinct = nodes.insert(peer.node);
            let remedy = "name each control process once, with a number of its own";
            check.field("peers.node", peer.node, distinct, remedy)?;
            let distinct = addresses.insert(peer.address);
            let remedy = "use an address that no other peer, operators or feed use";
            check.field("peers.address", peer.address, distinct, remedy)?;
        }
        if self.peers.is_empty() {
            return Ok(());
        }
        let remedy = "name this control process among the peers, too";
        check.field("node", self.node, nodes.contains(&self.node), remedy)?;
        let voters = self.peers.iter().filter(|peer| peer.voter).count();
        check.field("peers", voters, voters > 0, "make at least one peer a voter")
    }
}

impl SeedSettings {
    /// Node number of this process: its IPv4 address as an integer.
    pub fn node_number(&self) -> u32 {
        u32::from(*self.own.ip())
    }

    /// Node numbers of the seed nodes.
    pub fn seed_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.seeds.iter().map(|seed| u32::from(*seed.ip()))
    }
}

impl Validate for ControlSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("name", &self.name)?;
        check.name("cluster", &self.cluster)?;
        check.name("region", &self.region)?;
        check.name("zone", &self.zone)?;
        check_process_limits(check, self.memory_mb, self.open_files)?;
        check.field("node", self.node, self.node > 0, "use a number from 1")?;
        let distinct = self.operators != self.feed;
        check.field("feed", self.feed, distinct, "use another address than that of operators")?;
        let accepted = (50..=60_000).contains(&self.election_ms);
        check.field("election_ms", self.election_ms, accepted, "use 50 to 60000")?;
        let exposed = self.rollout.exposed_ppm;
        let accepted = (1..=1_000_000).contains(&exposed);
        check.field("rollout.exposed_ppm", exposed, accepted, "use 1 to 1000000")?;
        self.validate_seeds(check)?;
        self.validate_directory(check)?;
        self.validate_peers(check)
    }
}
