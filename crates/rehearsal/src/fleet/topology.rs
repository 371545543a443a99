//! What a fleet consists of, and which load it is meant for.

use std::net::SocketAddr;

use gingerkeel_settings::{Check, SettingsError, Validate};
use serde::{Deserialize, Serialize};

use crate::load::{ClassLoad, ServiceLoad};

/// Account under which the callers of all services ask.
pub const CALLER: &str = "rehearsal";

/// A fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Control processes.
    #[serde(default = "one")]
    pub controls: usize,
    /// Control processes that vote, from the first; all when absent.
    #[serde(default)]
    pub voters: Option<usize>,
    /// Whether what control processes send to each other is counted.
    #[serde(default)]
    pub relay_peers: bool,
    /// Zones over which brokers and leaves are spread, each with its region.
    pub zones: Vec<ZoneTopology>,
    /// Processes over which all leaves are spread; a multiple of the number of zones.
    pub leaf_processes: usize,
    /// One-way delay between zones of a region.
    #[serde(default)]
    pub zone_delay_ms: f64,
    /// One-way delay between regions.
    #[serde(default)]
    pub region_delay_ms: f64,
    /// One-way delay between callers and brokers.
    #[serde(default)]
    pub client_delay_ms: f64,
    /// Whether leaves write down what they run; without it there is nothing to check.
    #[serde(default = "yes")]
    pub journal: bool,
    /// How brokers schedule queries.
    #[serde(default)]
    pub policy: PolicyTopology,
    /// Connections of a broker to one leaf; the broker's default when absent.
    #[serde(default)]
    pub connections_per_leaf: Option<u32>,
    /// Seed of all random choices of the stand-ins.
    #[serde(default)]
    pub seed: u64,
    /// Leaves that are in the catalog only.
    #[serde(default)]
    pub listed: Option<CatalogLeaves>,
    /// The services.
    pub services: Vec<ServiceTopology>,
}

/// A service whose leaves are in the catalog only, so that it has the planned size.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogLeaves {
    /// Leaves, evenly over the shards and zones.
    pub leaves: u32,
    /// Shards.
    pub shards: u32,
}

/// How brokers schedule queries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyTopology {
    /// As in production.
    #[default]
    Standard,
    /// What experiments compare with: a random replica, no hedge, no classes.
    Baseline,
}

impl PolicyTopology {
    /// Its name in settings and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Standard => "standard",
            Self::Baseline => "baseline",
        }
    }
}

/// A zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneTopology {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// A service with its brokers and leaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTopology {
    /// Its name.
    pub name: String,
    /// Brokers that its callers ask.
    pub brokers: usize,
    /// Leaves that hold its shards.
    pub leaves: u32,
    /// Shards of its index.
    pub shards: u32,
    /// Leaves that hold each shard.
    pub replicas: u32,
    /// Requests that a leaf runs at the same time.
    pub slots: u32,
    /// Connections that a leaf holds.
    pub connections: u32,
    /// Median of a leaf's service time.
    pub service_ms: f64,
    /// Queries that one broker runs at the same time.
    pub concurrency: u32,
    /// Its classes, highest priority first.
    pub classes: Vec<ClassTopology>,
}

/// A class with its load.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTopology {
    /// Its name.
    pub name: String,
    /// Queries that wait in one broker.
    pub queue: u32,
    /// Charge for an answer.
    pub price: u64,
    /// Deadline of its queries.
    pub deadline_ms: u64,
    /// When its queries are answered.
    pub answer: AnswerTopology,
    /// Queries a second.
    pub rate: f64,
    /// Share of queries that may run at most once.
    #[serde(default)]
    pub not_repeatable_share: f64,
    /// Share of refused queries that are sent once more when the broker says.
    #[serde(default)]
    pub obedient_share: f64,
}

/// When queries are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerTopology {
    /// Once every shard replied, or at the deadline.
    Full,
    /// After so many milliseconds with what there is.
    PartialAfterMs(u64),
}

fn one() -> usize {
    1
}

fn yes() -> bool {
    true
}

impl Topology {
    /// The zone of the process with this number among those of its kind.
    pub fn zone(&self, index: usize) -> &ZoneTopology {
        &self.zones[index % self.zones.len()]
    }

    /// One-way delay between two zones.
    pub fn delay_ms(&self, one: &ZoneTopology, other: &ZoneTopology) -> f64 {
        if one.region != other.region {
            self.region_delay_ms
        } else if one.name != other.name {
            self.zone_delay_ms
        } else {
            0.0
        }
    }

    /// Leaves of all services.
    pub fn leaf_count(&self) -> u32 {
        self.services.iter().map(|service| service.leaves).sum()
    }

    /// Numbers of the leaves of a service.
    pub fn leaves_of(&self, service: &ServiceTopology) -> std::ops::Range<u32> {
        let before = self.services.iter().take_while(|other| other.name != service.name);
        let first = 1 + before.map(|other| other.leaves).sum::<u32>();
        first..first + service.leaves
    }

    /// Multiplies the rates of all classes.
    pub fn scale_load(&mut self, factor: f64) {
        for class in self.services.iter_mut().flat_map(|service| &mut service.classes) {
            class.rate *= factor;
        }
    }
}

impl ServiceTopology {
    /// Leaves of a shard within the service, counted from 0: consecutive, so that they are in
    /// different zones.
    pub fn replicas_of(&self, shard: u32, shards: u32) -> Vec<u32> {
        let stride = (self.leaves / shards.max(1)).clamp(1, self.replicas.max(1));
        (0..self.replicas.min(self.leaves))
            .map(|replica| (shard * stride + replica) % self.leaves)
            .collect()
    }

    /// The load that the topology states.
    pub fn load(&self, brokers: Vec<SocketAddr>) -> ServiceLoad {
        let classes = (0..).zip(&self.classes).map(|(priority, class)| ClassLoad {
            class: class.name.clone(),
            priority,
            rate: class.rate,
            deadline_ms: class.deadline_ms,
            not_repeatable_share: class.not_repeatable_share,
            obedient_share: class.obedient_share,
            impatient_share: 0.0,
        });
        ServiceLoad {
            service: self.name.clone(),
            caller: CALLER.to_owned(),
            brokers,
            connections: 512,
            client_delay_ms: 0.0,
            classes: classes.collect(),
        }
    }
}

impl Validate for Topology {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.field("controls", self.controls, self.controls > 0, "use a number from 1")?;
        let voters = self.voters.unwrap_or(self.controls);
        let accepted = (1..=self.controls).contains(&voters);
        check.field("voters", voters, accepted, "use 1 up to the number of control processes")?;
        check.field("zones", "[]", !self.zones.is_empty(), "name at least one zone")?;
        let processes = self.leaf_processes;
        let accepted = processes > 0 && processes.is_multiple_of(self.zones.len());
        let remedy = "use a multiple of the number of zones";
        check.field("leaf_processes", processes, accepted, remedy)?;
        check.field("services", "[]", !self.services.is_empty(), "name at least one service")?;
        self.services.iter().try_for_each(|service| service.validate(check))
    }
}

impl Validate for ServiceTopology {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("name", &self.name)?;
        check.field("brokers", self.brokers, self.brokers > 0, "use a number from 1")?;
        let accepted = self.replicas > 0 && self.replicas <= self.leaves;
        check.field("replicas", self.replicas, accepted, "use 1 up to the number of leaves")?;
        check.field("shards", self.shards, self.shards > 0, "use a number from 1")
    }
}
