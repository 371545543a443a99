//! Callers and an operator, each a thread.

use gingerkeel_domain::forwarding::ColdStart;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::{
    BackEndService, CallerLimits, Destination, PartsPerMillion, RegionPolicy, Route,
    RouteConfiguration, RouteVersion, ShardSet,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::Value;

use super::answer::{GREATEST, LEAST_SHARE, SHARDS, SINGLE, fault_of_merged, fault_of_single};
use super::extra_load::SentRequest;
use super::http::{NoResponse, Response, exchange};
use super::leaves::CRASHING;
use super::record::{Cut, Record, Seen};
use super::tenants::{self, GREEDY, PASSING, STEADY};

/// Rest of the path of ordinary requests.
const ORDINARY: &str = "x";
/// Share of the requests that crash every leaf which runs them.
const CRASHING_SHARE: f64 = 0.01;
/// Who the callers are, by turns.
const TENANTS: [&str; 3] = [STEADY, GREEDY, PASSING];
/// Pause between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Time that a caller waits; more than any request may be held.
const CALLER_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two acts of the operator.
const OPERATOR_PAUSE: Duration = Duration::from_millis(300);
/// Time that the operator waits.
const OPERATOR_LIMIT: Duration = Duration::from_secs(6);
/// Time that a request is held at most, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 3_000;

/// What a run's parties share.
#[derive(Clone)]
pub struct Scene {
    /// Where brokers take callers.
    pub callers: Vec<SocketAddr>,
    /// Where control processes take configurations.
    pub operators: Vec<SocketAddr>,
    /// What was seen.
    pub record: Arc<Record>,
    /// The end of the run.
    pub stop: Arc<AtomicBool>,
    /// Highest version sent.
    pub sent_version: Arc<AtomicU64>,
}

impl Scene {
    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// The configuration of a version: the routes of the callers, and one that only this version has.
pub fn configuration(version: u64) -> RouteConfiguration {
    let single = || Destination::Service(ServiceName::new(SINGLE));
    let shards = Destination::Shards(ShardSet {
        services: SHARDS.iter().map(ServiceName::new).collect(),
        greatest: GREATEST as u32,
        least_share: PartsPerMillion(LEAST_SHARE),
    });
    let route = |name: &str, repeatable, public, destination| Route {
        name: name.to_owned(),
        host: "soak".to_owned(),
        path_prefix: format!("/{name}/"),
        repeatable,
        timeout_ms: ROUTE_TIMEOUT_MS,
        target_latency_ms: 200,
        priority: 0,
        attempts: 2,
        destination,
        allowed_regions: RegionPolicy::default(),
        public,
    };
    let service = |name: &&str| BackEndService {
        name: ServiceName::new(name),
        health_path: "/health".to_owned(),
        connection_limit: 32,
        cold_start: ColdStart::default(),
    };
    RouteConfiguration {
        version: RouteVersion(version),
        routes: vec![
            route("all", true, false, shards),
            route("one", true, false, single()),
            route("once", false, false, single()),
            route(&format!("v{version}"), true, true, single()),
        ],
        services: SHARDS.iter().chain(&[SINGLE]).map(service).collect(),
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    }
}

/// The configuration of a version as an operator writes it, with the keys of its tenants.
pub fn document(version: u64) -> Value {
    let mut document = serde_json::to_value(configuration(version)).unwrap_or_default();
    document["tenants"] = tenants::document(version);
    document
}

/// Sends one request after the other until the run is over.
pub fn call(scene: &Scene, number: usize, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed ^ (number as u64 + 1));
    let mut sequence = 0;
    while !scene.is_over() {
        sequence += 1;
        let path = ["all", "all", "one", "once"][random.random_range(0..4usize)];
        let tenant = TENANTS[number % TENANTS.len()];
        let id = format!("c{number}-{tenant}-{sequence}-{path}");
        let broker = random.random_range(0..scene.callers.len());
        let crashes = random.random_bool(CRASHING_SHARE);
        match crashes {
            true => call_below(scene, broker, path, CRASHING, &id),
            false => call_once(scene, broker, path, &id),
        }
        sleep(CALLER_PAUSE);
    }
}

/// Sends one request to a broker and judges what comes.
pub fn call_once(scene: &Scene, broker: usize, path: &str, id: &str) {
    call_below(scene, broker, path, ORDINARY, id);
}

/// The same with this rest of the path.
fn call_below(scene: &Scene, broker: usize, path: &str, rest: &str, id: &str) {
    let acknowledged = scene.record.lock().acknowledged;
    let key = tenants::key(tenants::tenant_of(id).unwrap_or_default(), acknowledged);
    let request = format!(
        "GET /{path}/{rest} HTTP/1.1\r\nhost: soak\r\ngingerkeel-request-id: {id}\r\n\
         gingerkeel-tenant: forged\r\nauthorization: Bearer {key}\r\n\
         gingerkeel-deadline-ms: 4000\r\nconnection: close\r\n\r\n"
    );
    let sent = Instant::now();
    scene.record.lock().sent.push(SentRequest::new(sent, path));
    let outcome = exchange(scene.callers[broker], request.as_bytes(), CALLER_LIMIT);
    let mut seen = scene.record.lock();
    seen.counts.sent += 1;
    match outcome {
        Ok(response) => judge(&mut seen, &response, path, id),
        Err(reason) => {
            seen.counts.without_answer += 1;
            let cut = Cut { broker, id: id.to_owned(), sent, ended: Instant::now() };
            if reason != NoResponse::NotConnected {
                seen.cuts.push(cut);
            }
        }
    }
}

/// Judges a response.
pub fn judge(seen: &mut Seen, response: &Response, path: &str, id: &str) {
    match response.status {
        200 => {
            let merged = path == "all";
            let judged = if merged { fault_of_merged } else { fault_of_single };
            let whole = response.header("gingerkeel-missing-parts").unwrap_or("0") == "0";
            seen.counts.answered += u64::from(whole);
            seen.counts.partial += u64::from(!whole);
            seen.violations.extend(judged(response, id));
        }
        // The keys of the passing tenant may be older or newer than what the broker has.
        401 if tenants::tenant_of(id) == Some(PASSING) => seen.counts.unauthorized += 1,
        401 => {
            seen.violations.push(format!("{id} was refused though its key was never taken away"))
        }
        429 if tenants::tenant_of(id) != Some(GREEDY) => {
            seen.violations.push(format!("{id} was refused though its tenant keeps to its quota"));
        }
        429 | 503 => {
            seen.counts.not_run += u64::from(response.status == 503);
            seen.counts.over_quota += u64::from(response.status == 429);
            if response.header("retry-after").is_none() {
                seen.violations.push(format!("the refusal of {id} does not say when to come back"));
            }
            if path == "once" {
                seen.refused_once.push(id.to_owned());
            }
        }
        404 => seen.violations.push(format!("{id} was refused though its route was never removed")),
        _ => seen.counts.failed += 1,
    }
}

/// Replaces the configuration and reads it back until the run is over.
pub fn operate(scene: &Scene, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    while !scene.is_over() {
        let control = random.random_range(0..scene.operators.len());
        match random.random_bool(0.5) {
            true => replace(scene, control),
            false => {
                read(scene, control);
            }
        }
        sleep(OPERATOR_PAUSE);
    }
}

/// Sends the next version.
pub fn replace(scene: &Scene, control: usize) {
    let version = scene.sent_version.fetch_add(1, Ordering::Relaxed) + 1;
    let body = document(version).to_string();
    let request = format!(
        "PUT /v1/routes HTTP/1.1\r\nhost: soak\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let outcome = exchange(scene.operators[control], request.as_bytes(), OPERATOR_LIMIT);
    let mut seen = scene.record.lock();
    match outcome.map(|response| response.status) {
        Ok(200) => {
            seen.counts.acknowledged += 1;
            seen.acknowledged = seen.acknowledged.max(version);
        }
        Ok(503) | Err(_) => {}
        Ok(status) => seen.violations.push(format!("version {version} was refused with {status}")),
    }
}

/// Reads the configuration; gives its version.
pub fn read(scene: &Scene, control: usize) -> Option<u64> {
    let acknowledged = scene.record.lock().acknowledged;
    let request = b"GET /v1/routes HTTP/1.1\r\nhost: soak\r\n\r\n";
    let response = exchange(scene.operators[control], request, OPERATOR_LIMIT).ok()?;
    if response.status != 200 {
        return None;
    }
    let read: Value = serde_json::from_slice(&response.body).ok()?;
    judge_read(scene, control, acknowledged, &read)
}

/// Judges a configuration that was read from a control process after `acknowledged` was; gives its version.
pub fn judge_read(scene: &Scene, control: usize, acknowledged: u64, read: &Value) -> Option<u64> {
    let version = read["version"].as_u64()?;
    let mut seen = scene.record.lock();
    seen.counts.read += 1;
    if version < acknowledged {
        let text =
            format!("control-{control} gave {version} after {acknowledged} was acknowledged");
        seen.violations.push(text);
    }
    if *read != document(version) {
        seen.violations.push(format!("version {version} was read with other content"));
    }
    Some(version)
}
