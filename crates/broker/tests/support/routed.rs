//! A broker process that serves routes, with a scripted control process and scripted leaves.

use std::net::SocketAddr;

use gingerkeel_domain::catalog::{Change, Placement};
use gingerkeel_domain::directory::{LeafAvailability, LeafDirectory, ListedLeaf};
use gingerkeel_domain::feed::{BrokerList, KnownBroker};
use gingerkeel_domain::forwarding::ColdStart;
use gingerkeel_domain::identifiers::{
    BrokerName, LeafIdentity, RegionName, ServiceName, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::routes::{
    BackEndService, CallerLimits, Destination, PartsPerMillion, RegionPolicy, Route,
    RouteConfiguration, RouteVersion, ShardSet,
};
use gingerkeel_domain::routing::subset::BrokerEntry;
use gingerkeel_protocol::{FeedMessage, pack_document};

use super::broker::Broker;
use super::caller::{Caller, Response};
use super::control::{ControlScript, ScriptedControl};
use super::leaf::{LeafAction, LeafRequest, ScriptedLeaf, response};
use super::wait_until;

/// Name of the unsharded service; those of the shards are `s0`, `s1` and so on.
pub const SINGLE: &str = "single";

/// A broker that serves routes of host `h`: `/one/` and the non-repeatable `/once/` to service
/// `single`, and `/all/` to the shards.
pub struct RoutedBroker {
    pub broker: Broker,
    pub routes: SocketAddr,
    pub readiness: SocketAddr,
}

impl RoutedBroker {
    /// Starts a broker with these leaves of `single` and of each shard.
    pub fn start(single: &[SocketAddr], shards: &[&[SocketAddr]]) -> Self {
        Self::start_with(&configuration(shards.len()), &directory(single, shards))
    }

    /// Starts a broker with this configuration and leaf directory.
    pub fn start_with(configuration: &RouteConfiguration, directory: &LeafDirectory) -> Self {
        let feed_messages = feed_messages(configuration, directory);
        Self::start_on(ControlScript { feed_messages, ..ControlScript::default() }, "")
    }

    /// Starts a broker whose control process follows a script.
    pub fn start_on(script: ControlScript, further_settings: &str) -> Self {
        let ready = !script.feed_messages.is_empty() && script.feed_messages_lease == 0;
        let query_leaf = script.query_leaf.unwrap_or_else(super::closed_address);
        let mut catalog = super::control::catalog(&[&[query_leaf]]);
        for zone in &script.evacuated {
            let change = Change::EvacuateZone(ZoneName::new(zone));
            catalog.apply(&change).expect("a zone");
        }
        for change in &script.changes {
            catalog.apply(change).expect("a valid change");
        }
        let control = ScriptedControl::serve_with(&catalog, script);
        let settings = format!(
            "[routes]\nlisten = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n\
                        extra_ratio = 1.0\nextra_slack = 100.0\nextra_window_ms = 100\nstop_ms = 2000\n\
                        zone_regions = {{ a = \"south\" }}\n{further_settings}"
        );
        let broker = Broker::start_on(control, &settings);
        let log = broker.log();
        let started = log.lines().find(|line| line.contains("event=routes_started"));
        let address = |key: &str| {
            let value = started.and_then(|line| line.split(&format!(" {key}=")).nth(1));
            let value = value.and_then(|rest| rest.split(' ').next()).expect("an address");
            value.parse().expect("an address")
        };
        let routed = Self { routes: address("routes"), readiness: address("readiness"), broker };
        if ready {
            wait_until("the broker is ready", || routed.ready() == 200);
        }
        routed
    }

    /// Status of the readiness check; 0 without a response.
    pub fn ready(&self) -> u16 {
        let mut caller = Caller::connect(self.readiness);
        caller.send(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n");
        caller.receive().map_or(0, |response| response.status)
    }

    /// A new connection of a caller.
    pub fn caller(&self) -> Caller {
        Caller::connect(self.routes)
    }

    /// Sends one request on a new connection.
    pub fn get(&self, path: &str) -> Response {
        let mut caller = self.caller();
        caller.send(request(path, "5000").as_bytes());
        caller.receive().expect("an answer")
    }
}

/// Feed messages with the list of brokers, this configuration and this leaf directory.
pub fn feed_messages(
    configuration: &RouteConfiguration,
    directory: &LeafDirectory,
) -> Vec<FeedMessage> {
    vec![
        FeedMessage::Brokers { delta: only_broker() },
        FeedMessage::Routes { configuration: document(configuration) },
        FeedMessage::WholeDirectory { directory: document(directory) },
    ]
}

/// Document with a list of one broker.
fn only_broker() -> gingerkeel_protocol::Document {
    let placement = Placement { region: RegionName::new("south"), zone: ZoneName::new("a") };
    let entry = BrokerEntry { name: BrokerName::new("broker"), placement };
    let list = BrokerList::new([KnownBroker { entry, live: true }]);
    document(&list.whole())
}

/// Encodes a request to host `h`.
pub fn request(path: &str, deadline: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\ngingerkeel-request-id: r1\r\n\
         gingerkeel-deadline-ms: {deadline}\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: dropped\r\n\r\n"
    )
}

/// Encodes a correct reply of a leaf.
pub fn reply(request: &LeafRequest, attestation: &str, body: &[u8]) -> Vec<u8> {
    let id = request.header("gingerkeel-request-id");
    let headers =
        format!("gingerkeel-request-id: {id}\r\ngingerkeel-attestation: {attestation}\r\n");
    response(200, &headers, body)
}

/// A leaf that answers every request with `body` and its attestation.
pub fn honest(attestation: &'static str, body: &'static [u8]) -> ScriptedLeaf {
    ScriptedLeaf::for_all(move |request| LeafAction::Send(reply(request, attestation, body)))
}

/// Reply of a leaf that did not run the request.
pub fn rejection() -> Vec<u8> {
    response(503, "gingerkeel-not-executed: 1\r\n", b"full")
}

fn document<T: serde::Serialize>(value: &T) -> gingerkeel_protocol::Document {
    pack_document(value).expect("a document").into()
}

fn route(name: &str, repeatable: bool, destination: Destination) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        repeatable,
        timeout_ms: 3_000,
        target_latency_ms: 400,
        priority: 0,
        attempts: 2,
        destination,
        allowed_regions: RegionPolicy::default(),
        public: false,
    }
}

/// A configuration with `shards` shards; answers need at least half of them.
pub fn configuration(shards: usize) -> RouteConfiguration {
    let names: Vec<ServiceName> = (0..shards).map(shard).collect();
    let mut routes = vec![
        route("one", true, Destination::Service(ServiceName::new(SINGLE))),
        route("once", false, Destination::Service(ServiceName::new(SINGLE))),
    ];
    if !names.is_empty() {
        let set = ShardSet {
            services: names.clone(),
            greatest: 3,
            least_share: PartsPerMillion(500_000),
        };
        routes.push(route("all", true, Destination::Shards(set)));
    }
    let service = |name| BackEndService {
        name,
        health_path: "/health".to_owned(),
        connection_limit: 16,
        cold_start: ColdStart::default(),
    };
    RouteConfiguration {
        version: RouteVersion(1),
        routes,
        services: names.into_iter().chain([ServiceName::new(SINGLE)]).map(service).collect(),
        limits: CallerLimits { head_bytes: 2_048, body_bytes: 1_000, ..CallerLimits::default() },
        tenants: Vec::new(),
    }
}

fn shard(number: usize) -> ServiceName {
    ServiceName::new(format!("s{number}"))
}

/// A directory of these leaves; the first of each service is in zone `a`, the others in `b`.
pub fn directory(single: &[SocketAddr], shards: &[&[SocketAddr]]) -> LeafDirectory {
    let mut leaves = Vec::new();
    let mut add = |service: ServiceName, addresses: &[SocketAddr]| {
        for (number, address) in addresses.iter().enumerate() {
            leaves.push(ListedLeaf {
                identity: LeafIdentity::new(format!("{service}-{number}")),
                service: service.clone(),
                address: *address,
                zone: ZoneName::new(if number == 0 { "a" } else { "b" }),
                slots: 4,
                availability: LeafAvailability::Ready,
                cold_ms: 0,
                version: SoftwareVersion::default(),
            });
        }
    };
    add(ServiceName::new(SINGLE), single);
    shards.iter().enumerate().for_each(|(number, addresses)| add(shard(number), addresses));
    let mut directory = LeafDirectory::default();
    let delta = directory.delta_to(&leaves).expect("a first list");
    directory.apply(&delta);
    directory
}

/// Records that repeat each of these bytes sixteen times.
pub fn records(records: &[u8]) -> Vec<u8> {
    records.iter().flat_map(|byte| [*byte; 16]).collect()
}
