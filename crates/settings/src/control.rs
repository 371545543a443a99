//! Settings of a control process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::{Check, SettingsError, Validate};

/// Most control processes of a cluster.
const PEER_LIMIT: usize = 16;

/// Settings of a control process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the process, unique in the cluster.
    pub name: String,
    /// Address on which operators connect.
    pub operators: SocketAddr,
    /// Address on which brokers connect for their feed.
    pub feed: SocketAddr,
    /// Folder under which all files are kept.
    pub data_folder: PathBuf,
    /// Name of the cluster; the same in all its control processes.
    #[serde(default = "default_cluster")]
    pub cluster: String,
    /// Number of this control process among the peers.
    #[serde(default = "default_node")]
    pub node: u32,
    /// Region in which it runs.
    #[serde(default = "default_place")]
    pub region: String,
    /// Zone in which it runs.
    #[serde(default = "default_place")]
    pub zone: String,
    /// All control processes of the cluster, this one included; none when it is the only one.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
}

/// A control process of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its number, from 1; never given to another machine.
    pub node: u32,
    /// Address on which it takes connections of the others.
    pub address: SocketAddr,
    /// Whether it is a voter when the cluster is formed; of no effect later.
    #[serde(default = "default_voter")]
    pub voter: bool,
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
    /// Address on which this process takes connections of its peers, if it has any.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.iter().find(|peer| peer.node == self.node).map(|peer| peer.address)
    }

    /// The other control processes.
    pub fn other_peers(&self) -> impl Iterator<Item = &PeerSettings> {
        self.peers.iter().filter(|peer| peer.node != self.node)
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

impl Validate for ControlSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("name", &self.name)?;
        check.name("cluster", &self.cluster)?;
        check.name("region", &self.region)?;
        check.name("zone", &self.zone)?;
        check.field("node", self.node, self.node > 0, "use a number from 1")?;
        let distinct = self.operators != self.feed;
        check.field("feed", self.feed, distinct, "use another address than that of operators")?;
        self.validate_peers(check)
    }
}
