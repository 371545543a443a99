//! Settings files and statements of a fleet.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use super::launch::ControlAddresses;
use super::topology::{
    AnswerTopology, CALLER, CatalogLeaves, ServiceTopology, Topology, ZoneTopology,
};
use crate::leaf::{LeafProcessSettings, LeafSettings};

/// What the account of the rehearsal may spend in a second: more than any load.
const BUDGET: u64 = 1_000_000_000;
/// Service of the leaves that are in the catalog only.
const CATALOG_SERVICE: &str = "listed";
/// Requests that wait at a leaf for each of its slots.
const WAITING_PER_SLOT: usize = 8;

/// All control processes, as one of them sees them.
pub struct Peers<'peers> {
    /// Their addresses, by number from 1.
    pub addresses: &'peers [SocketAddr],
    /// How many of them, from the first, vote.
    pub voters: usize,
}

/// Settings of a control process.
pub fn control(
    node: usize,
    zone: &ZoneTopology,
    own: &ControlAddresses,
    peers: &Peers<'_>,
    data: &Path,
) -> String {
    let mut text = format!(
        "name = \"control-{}\"\ncluster = \"rehearsal\"\nnode = {node}\nregion = \"{}\"\n\
         zone = \"{}\"\noperators = \"{}\"\nfeed = \"{}\"\ndata_folder = \"{}\"\n",
        node - 1,
        zone.region,
        zone.name,
        own.operators,
        own.feed,
        data.display()
    );
    for (number, address) in (1..).zip(peers.addresses) {
        let voter = number <= peers.voters;
        // Writing to a string does not fail.
        let _ =
            write!(text, "[[peers]]\nnode = {number}\naddress = \"{address}\"\nvoter = {voter}\n");
    }
    text
}

/// Settings of a broker.
pub fn broker(
    topology: &Topology,
    name: &str,
    zone: &ZoneTopology,
    listen: SocketAddr,
    feeds: &[SocketAddr],
    seed: u64,
) -> String {
    let feeds: Vec<String> = feeds.iter().map(|feed| format!("\"{feed}\"")).collect();
    let policy = topology.policy.name();
    let mut text = format!(
        "name = \"{name}\"\nregion = \"{}\"\nzone = \"{}\"\nlisten = \"{listen}\"\n\
         control = [{}]\nseed = {seed}\npolicy = \"{policy}\"\n",
        zone.region,
        zone.name,
        feeds.join(", ")
    );
    if let Some(connections) = topology.connections_per_leaf {
        text.push_str(&format!("connections_per_leaf = {connections}\n"));
    }
    text
}

/// Settings of a process of leaves.
pub fn leaf_process(
    topology: &Topology,
    index: usize,
    leaves: &[(u32, SocketAddr)],
    brokers: &[String],
    journal: &Path,
) -> LeafProcessSettings {
    let zone = topology.zone(index);
    let broker_delay_ms = brokers
        .iter()
        .enumerate()
        .map(|(number, broker)| (broker.clone(), topology.delay_ms(zone, topology.zone(number))))
        .collect();
    let journal = topology.journal.then(|| journal.to_owned());
    let leaves = leaves.iter().map(|(leaf, listen)| leaf_settings(topology, *leaf, *listen));
    LeafProcessSettings {
        seed: topology.seed,
        broker_delay_ms,
        ..LeafProcessSettings::new(journal, leaves.collect())
    }
}

fn leaf_settings(topology: &Topology, leaf: u32, listen: SocketAddr) -> LeafSettings {
    let service = topology
        .services
        .iter()
        .find(|service| topology.leaves_of(service).contains(&leaf))
        .expect("every leaf is of a service");
    let slots = service.slots as usize;
    LeafSettings {
        slots,
        queue: slots * WAITING_PER_SLOT,
        connections: service.connections as usize,
        service_ms: service.service_ms,
        ..LeafSettings::new(leaf, listen)
    }
}

/// Statements that make up the whole catalog; `leaves` are by number, from 1.
pub fn statements(topology: &Topology, leaves: &[SocketAddr]) -> String {
    let mut text = String::new();
    let mut line = |statement: String| {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{statement};");
    };
    line(format!("DEFINE CALLER {CALLER} BUDGET {BUDGET} BURST {BUDGET}"));
    for service in &topology.services {
        define_service(service, &mut line);
        add_leaves(topology, service, leaves, &mut line);
        assign_shards(topology, service, service.shards, &mut line);
        line(format!("PUBLISH VERSION 1 OF {}", service.name));
    }
    if let Some(listed) = topology.listed {
        define_catalog_leaves(topology, listed, &mut line);
    }
    text
}

/// Leaves that no process stands for, numbered after all others.
fn define_catalog_leaves(
    topology: &Topology,
    listed: CatalogLeaves,
    line: &mut impl FnMut(String),
) {
    let first = topology.leaf_count() + 1;
    for number in 0..listed.leaves {
        let zone = topology.zone((number / listed.shards) as usize);
        let [_, high, middle, low] = number.to_be_bytes();
        let leaf = first + number;
        line(format!(
            "ADD LEAF {leaf} AT 127.{high}.{middle}.{low}:9 REGION {} ZONE {} SLOTS 5 CONNECTIONS 75",
            zone.region, zone.name
        ));
    }
    line(format!("DEFINE SERVICE {CATALOG_SERVICE} CONCURRENCY 64"));
    line(format!("REPARTITION {CATALOG_SERVICE} INTO {} SHARDS", listed.shards));
    for shard in 0..listed.shards {
        let replicas = (shard..listed.leaves).step_by(listed.shards as usize);
        let replicas: Vec<String> = replicas.map(|number| (first + number).to_string()).collect();
        let replicas = replicas.join(", ");
        line(format!("ASSIGN SHARD {shard} OF {CATALOG_SERVICE} TO LEAF {replicas}"));
    }
    line(format!("PUBLISH VERSION 1 OF {CATALOG_SERVICE}"));
}

/// Statements that give a service a new partition map and publish a version on it.
pub fn repartition(topology: &Topology, service: &str, shards: u32, version: u64) -> String {
    let mut text = String::new();
    for service in topology.services.iter().filter(|candidate| candidate.name == service) {
        assign_shards(topology, service, shards, &mut |statement| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{statement};");
        });
    }
    let _ = writeln!(text, "PUBLISH VERSION {version} OF {service};");
    text
}

fn define_service(service: &ServiceTopology, line: &mut impl FnMut(String)) {
    line(format!("DEFINE SERVICE {} CONCURRENCY {}", service.name, service.concurrency));
    for (priority, class) in service.classes.iter().enumerate() {
        let answer = match class.answer {
            AnswerTopology::Full => "FULL".to_owned(),
            AnswerTopology::PartialAfterMs(span) => format!("PARTIAL AFTER {span}ms"),
        };
        line(format!(
            "DEFINE CLASS {} OF {} PRIORITY {priority} QUEUE {} PRICE {} DEADLINE {}ms {answer}",
            class.name, service.name, class.queue, class.price, class.deadline_ms
        ));
    }
}

fn add_leaves(
    topology: &Topology,
    service: &ServiceTopology,
    leaves: &[SocketAddr],
    line: &mut impl FnMut(String),
) {
    for leaf in topology.leaves_of(service) {
        let index = leaf as usize - 1;
        let zone = topology.zone(index % topology.leaf_processes);
        line(format!(
            "ADD LEAF {leaf} AT {} REGION {} ZONE {} SLOTS {} CONNECTIONS {}",
            leaves[index], zone.region, zone.name, service.slots, service.connections
        ));
    }
}

fn assign_shards(
    topology: &Topology,
    service: &ServiceTopology,
    shards: u32,
    line: &mut impl FnMut(String),
) {
    line(format!("REPARTITION {} INTO {shards} SHARDS", service.name));
    let first = topology.leaves_of(service).start;
    for shard in 0..shards {
        let replicas: Vec<String> = service
            .replicas_of(shard, shards)
            .into_iter()
            .map(|replica| (first + replica).to_string())
            .collect();
        line(format!("ASSIGN SHARD {shard} OF {} TO LEAF {}", service.name, replicas.join(", ")));
    }
}
