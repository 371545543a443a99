//! Control processes on simulated machines of their own, whose settings name seeds.

use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::forwarding::ColdStart;
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::routes::{
    BackEndService, CallerLimits, Destination, RegionPolicy, Route, RouteConfiguration,
    RouteVersion,
};
use gingerkeel_statement::StatementReply;
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, block_on};
use http::{Method, Uri};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use super::{Control, free_addresses, wait_until};

/// Time in which a process that has the state becomes a voter.
const JOIN_TIME: Duration = Duration::from_secs(1);
/// Number of ports per host for each test process.
const PORTS_PER_PROCESS: u16 = 16;

/// A simulated machine: a loopback host, a data folder and a process.
pub struct Machine {
    pub host: Ipv4Addr,
    /// Address of the HTTP interface for routes.
    pub routes: SocketAddr,
    data: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// Whether the process runs: it was neither ended nor frozen.
    runs: bool,
}

/// Size of a cluster and its rules for members.
#[derive(Clone, Copy)]
pub struct ClusterShape {
    /// Machines that the settings of the first start name as seeds; the first of all machines.
    pub seeds: usize,
    /// Machines that the test may start.
    pub machines: usize,
    /// Maximum number of voters.
    pub voters: usize,
    /// Voters that must be reachable before a lost one is removed.
    pub least_voters: usize,
}

/// Three seeds that tolerate one loss, and room for three more machines.
const THREE_SEEDS: ClusterShape =
    ClusterShape { seeds: 3, machines: 6, voters: 5, least_voters: 3 };

/// Control processes on simulated machines, whose settings name seeds.
pub struct Cluster {
    folder: TempDir,
    pub machines: Vec<Machine>,
    shape: ClusterShape,
    /// Ports of peers, feed, statements and routes, the same everywhere.
    ports: [u16; 4],
    hosts: Vec<Ipv4Addr>,
}

impl Cluster {
    /// Starts the seeds, with permission to form a cluster.
    pub fn start() -> Self {
        let mut cluster = Self::prepare();
        for _ in 0..cluster.shape.seeds {
            cluster.add(true);
        }
        cluster
    }

    /// Reserves hosts and ports; starts no machine.
    pub fn prepare() -> Self {
        Self::prepare_shape(THREE_SEEDS)
    }

    /// The same for a cluster of this size.
    pub fn prepare_shape(shape: ClusterShape) -> Self {
        let addresses = free_addresses(shape.machines);
        let hosts = (0..shape.machines as u8).map(|last| host(addresses[0], last)).collect();
        let ports = [0, 1, 2, 3].map(|place: usize| port(addresses[place]));
        let folder = tempfile::tempdir().unwrap();
        Self { folder, machines: Vec::new(), shape, ports, hosts }
    }

    /// Names other machines as seeds in the settings of a machine that runs.
    pub fn change_seeds(&self, index: usize, from: &[usize], to: &[usize]) {
        let settings = &self.machines[index].settings;
        let mut text = std::fs::read_to_string(settings).unwrap();
        for (former, seed) in from.iter().zip(to) {
            let [former, seed] = [former, seed].map(|place| format!("\"{}:", self.hosts[*place]));
            text = text.replace(&former, &seed);
        }
        std::fs::write(settings, text).unwrap();
    }

    /// Starts the seeds with settings that name no zone.
    pub fn start_without_zones() -> Self {
        let mut cluster = Self::prepare();
        for _ in 0..cluster.shape.seeds {
            let index = cluster.prepare_machine(true);
            let settings = &cluster.machines[index].settings;
            let text = std::fs::read_to_string(settings).unwrap();
            let zones = text.lines().find(|line| line.starts_with("zone_regions")).unwrap();
            std::fs::write(settings, text.replace(zones, "")).unwrap();
            cluster.run(index);
        }
        cluster
    }

    /// Starts one more machine on a new host, with an empty data folder.
    pub fn add(&mut self, form: bool) -> usize {
        let index = self.prepare_machine(form);
        self.run(index);
        index
    }

    /// Starts one more machine on a new host, with an empty data folder, whose settings name these
    /// machines as seeds.
    pub fn add_with_seeds(&mut self, seeds: &[usize]) -> usize {
        let index = self.prepare_with_seeds(seeds, false);
        self.run(index);
        index
    }

    /// Prepares one more machine without starting it.
    pub fn prepare_machine(&mut self, form: bool) -> usize {
        let seeds: Vec<usize> = (0..self.shape.seeds).collect();
        self.prepare_with_seeds(&seeds, form)
    }

    fn prepare_with_seeds(&mut self, seeds: &[usize], form: bool) -> usize {
        let index = self.machines.len();
        let host = self.hosts[index];
        let [peers, feed, statements, routes] = self.ports;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}:{peers}\"", self.hosts[*seed])).collect();
        let ClusterShape { voters, least_voters, .. } = self.shape;
        let data = self.folder.path().join(format!("data-{index}"));
        let text = format!(
            "name = \"control-{index}\"\noperators = \"{host}:{statements}\"\n\
             feed = \"{host}:{feed}\"\nroutes = \"{host}:{routes}\"\ndata_folder = {data:?}\n\
             election_ms = 300\nzone_regions = {{ hall-a = \"south\" }}\n[seeds]\nown = \"{host}:{peers}\"\nseeds = [{}]\nform = {form}\n\
             voters = {voters}\nleast_voters = {least_voters}\nreplace_after_ms = 1500\n",
            seeds.join(", ")
        );
        let settings = self.folder.path().join(format!("control-{index}.toml"));
        std::fs::write(&settings, text).unwrap();
        let routes = SocketAddr::from((host, routes));
        let log = self.folder.path().join(format!("control-{index}.log"));
        self.machines.push(Machine {
            host,
            routes,
            data,
            settings,
            log,
            process: None,
            runs: false,
        });
        index
    }

    pub fn run(&mut self, index: usize) {
        let settings = self.machines[index].settings.display().to_string();
        let log = OpenOptions::new().create(true).append(true).open(&self.machines[index].log);
        let process = Command::new(env!("CARGO_BIN_EXE_gingerkeel-control"))
            .args(["--settings", &settings])
            .stdout(Stdio::null())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        self.machines[index].process = Some(process);
        self.machines[index].runs = true;
    }

    /// Asks a process to stop and waits until it has ended.
    pub fn stop(&mut self, index: usize) {
        self.signal(index, Signal::TERM);
        let mut process = self.machines[index].process.take().unwrap();
        assert!(process.wait().unwrap().success());
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let process = self.machines[index].process.as_ref().unwrap();
        kill_process(Pid::from_child(process), signal).unwrap();
    }

    /// Freezes a process until it is told to go on.
    pub fn freeze(&mut self, index: usize) {
        self.signal(index, Signal::STOP);
        self.machines[index].runs = false;
    }

    /// Has a frozen process go on.
    pub fn thaw(&mut self, index: usize) {
        self.signal(index, Signal::CONT);
        self.machines[index].runs = true;
    }

    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        std::fs::remove_dir_all(&self.machines[index].data).unwrap();
    }

    /// Waits until a process is a member that applies the log as the others do.
    pub fn wait_joined(&self, index: usize, version: u64) {
        wait_until(|| self.version(index) == Some(version));
        thread::sleep(JOIN_TIME);
    }

    pub fn kill(&mut self, index: usize) {
        self.machines[index].runs = false;
        if let Some(mut process) = self.machines[index].process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// The log lines of a machine's processes so far.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.machines[index].log).unwrap_or_default()
    }

    /// The running machine that was the last to report that it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|index| {
            let log = self.log(*index);
            let last = log.lines().rfind(|line| line.contains("event=role_changed"));
            let leads = last.is_some_and(|line| line.contains("role=Leader"));
            leads && self.machines[*index].runs
        })
    }

    /// Client of a process for statements and its feed.
    pub fn statements(&self, index: usize) -> Control {
        let host = self.machines[index].host;
        Control::at((host, self.ports[2]).into(), (host, self.ports[1]).into())
    }

    pub fn replace(&self, index: usize, version: u64) -> Option<u16> {
        self.answer_to_replace(index, version).map(|(status, _)| status)
    }

    pub fn answer_to_replace(&self, index: usize, version: u64) -> Option<(u16, Bytes)> {
        let body = serde_json::to_vec(&configuration(version)).unwrap();
        self.call(index, Method::PUT, body)
    }

    pub fn version(&self, index: usize) -> Option<u64> {
        let (status, body) = self.call(index, Method::GET, Vec::new())?;
        let read: RouteConfiguration = serde_json::from_slice(&body).ok()?;
        (status == 200).then_some(read.version.0)
    }

    pub fn call(&self, index: usize, method: Method, body: Vec<u8>) -> Option<(u16, Bytes)> {
        self.call_at(index, "/v1/routes", method, body)
    }

    /// Orders a zone evacuated (`PUT`) or restored (`DELETE`); returns the status.
    pub fn order_zone(&self, index: usize, method: Method, zone: &str) -> Option<u16> {
        let path = format!("/v1/evacuations/{zone}");
        self.call_at(index, &path, method, Vec::new()).map(|(status, _)| status)
    }

    /// The rows of `SHOW ZONES`; `None` while no leader confirms the read, as during an election.
    pub fn zones(&self, index: usize) -> Option<Vec<Vec<String>>> {
        match self.statements(index).post("SHOW ZONES", None).1.pop() {
            Some(StatementReply::Table { rows, .. }) => Some(rows),
            _ => None,
        }
    }

    /// The state of the first zone; `None` while the read fails or names no zone.
    pub fn zone_state(&self, index: usize) -> Option<String> {
        let rows = self.zones(index)?;
        rows.first().map(|row| row[1].clone())
    }

    pub fn call_at(
        &self,
        index: usize,
        path: &str,
        method: Method,
        body: Vec<u8>,
    ) -> Option<(u16, Bytes)> {
        call(self.machines[index].routes, path, method, body)
    }

    /// Waits until a process accepts the configuration of this version.
    pub fn wait_accepted(&self, index: usize, version: u64) {
        wait_until(|| self.replace(index, version) == Some(200));
    }
}

impl Drop for Cluster {
    /// Ends all processes; prints their logs if the test has failed.
    fn drop(&mut self) {
        if thread::panicking() {
            (0..self.machines.len())
                .for_each(|index| eprintln!("log of {index}:\n{}", self.log(index)));
        }
        for index in 0..self.machines.len() {
            self.kill(index);
        }
    }
}

/// Makes one HTTP call; none without an answer.
pub fn call(
    address: SocketAddr,
    path: &str,
    method: Method,
    body: Vec<u8>,
) -> Option<(u16, Bytes)> {
    let mut request = HttpRequest::new(Bytes::from(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse::<Uri>().unwrap();
    let exchanging = async move {
        let mut connection = ClientConnection::connect(address, Limits::default()).await?;
        connection.exchange(request).await
    };
    let response = block_on(exchanging).unwrap().ok()?;
    Some((response.status().as_u16(), response.into_body()))
}

/// A host next to that of the address, so that all machines can use the same ports.
fn host(address: SocketAddr, last: u8) -> Ipv4Addr {
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address");
    };
    let [first, second, third, _] = address.ip().octets();
    Ipv4Addr::new(first, second, third, 1 + last)
}

/// A port that no concurrent test process uses. Elsewhere the last byte of the host separates test
/// processes; here it numbers the hosts of a cluster, so the port separates them instead.
fn port(address: SocketAddr) -> u16 {
    let SocketAddr::V4(host) = address else {
        panic!("an IPv4 address");
    };
    address.port() + PORTS_PER_PROCESS * u16::from(host.ip().octets()[3])
}

/// A configuration with one route.
pub fn configuration(version: u64) -> RouteConfiguration {
    let service = ServiceName::new("s");
    RouteConfiguration {
        version: RouteVersion(version),
        routes: vec![Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path_prefix: "/".to_owned(),
            repeatable: true,
            timeout_ms: 1_000,
            target_latency_ms: 100,
            priority: 0,
            attempts: 1,
            destination: Destination::Service(service.clone()),
            allowed_regions: RegionPolicy::default(),
            public: false,
        }],
        services: vec![BackEndService {
            name: service,
            health_path: "/health".to_owned(),
            connection_limit: 4,
            cold_start: ColdStart::default(),
        }],
        limits: CallerLimits::default(),
        tenants: Vec::new(),
    }
}
