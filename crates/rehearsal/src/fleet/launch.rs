//! The launch of a fleet: leaves, control processes, catalog, brokers.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_transport::HttpRequest;
use http::{HeaderValue, Method, Uri};
use tracing::info;

use super::addresses::free_addresses;
use super::binaries::Binaries;
use super::operator::{Operator, exchange};
use super::peer_relays::PeerRelays;
use super::process::ManagedProcess;
use super::topology::{CALLER, ServiceTopology, Topology};
use super::wait::wait_until;
use super::{Broker, Fleet, LeafProcess, settings_files};
use crate::error::RehearsalError;
use crate::leaf::QueryBody;
use crate::record::{JOURNAL_PREFIX, ORDERS_FILE, RecordWriter};

/// Time that a process has to be ready; generous, as the machine may be busy.
const READY_TIME: Duration = Duration::from_secs(30);

/// Launches a fleet.
pub fn launch(topology: &Topology, folder: &Path) -> Result<Fleet, RehearsalError> {
    let launch = Launch { topology, folder, binaries: Binaries::find()? };
    launch.run()
}

struct Launch<'launch> {
    topology: &'launch Topology,
    folder: &'launch Path,
    binaries: Binaries,
}

/// Addresses of one control process.
pub struct ControlAddresses {
    /// For operators.
    pub operators: SocketAddr,
    /// For brokers.
    pub feed: SocketAddr,
    /// For other control processes.
    pub peers: SocketAddr,
}

impl Launch<'_> {
    fn run(self) -> Result<Fleet, RehearsalError> {
        let leaf_addresses = free_addresses(self.topology.leaf_count() as usize)?;
        let broker_names = self.broker_names();
        let leaf_processes = self.start_leaves(&leaf_addresses, &broker_names)?;
        let controls = self.control_addresses()?;
        let peer_relays = self.start_peer_relays(&controls)?;
        let mut control_processes = self.start_controls(&controls, peer_relays.as_ref())?;
        let operators = controls.iter().map(|control| control.operators).collect();
        let operator = Operator::new(&self.binaries, operators, self.folder.to_owned());
        self.await_controls(&operator, &mut control_processes)?;
        operator.execute(&settings_files::statements(self.topology, &leaf_addresses))?;
        let feeds: Vec<SocketAddr> = controls.iter().map(|control| control.feed).collect();
        let operators = controls.iter().map(|control| control.operators).collect();
        let brokers = self.start_brokers(&broker_names, &feeds)?;
        let mut fleet = Fleet {
            folder: self.folder.to_owned(),
            operator,
            topology: self.topology.clone(),
            controls: control_processes,
            peer_relays,
            feeds,
            operators,
            brokers,
            leaf_processes,
            orders: RecordWriter::open(&self.folder.join(ORDERS_FILE))?,
        };
        await_brokers(&mut fleet)?;
        info!(event = "fleet_ready", processes = fleet.process_count());
        Ok(fleet)
    }

    fn broker_names(&self) -> Vec<String> {
        let count: usize = self.topology.services.iter().map(|service| service.brokers).sum();
        (0..count).map(|number| format!("broker-{number}")).collect()
    }

    fn start_leaves(
        &self,
        addresses: &[SocketAddr],
        brokers: &[String],
    ) -> Result<Vec<LeafProcess>, RehearsalError> {
        let mut processes = Vec::new();
        for index in 0..self.topology.leaf_processes {
            let leaves: Vec<(u32, SocketAddr)> = (1..)
                .zip(addresses.iter().copied())
                .skip(index)
                .step_by(self.topology.leaf_processes)
                .collect();
            if leaves.is_empty() {
                continue;
            }
            let journal = self.folder.join(format!("{JOURNAL_PREFIX}{index}.jsonl"));
            let settings =
                settings_files::leaf_process(self.topology, index, &leaves, brokers, &journal);
            let text = toml::to_string(&settings).expect("settings can be written as TOML");
            let name = format!("leaves-{index}");
            let process = self.start(&name, self.binaries.rehearsal(), &["leaf"], &text)?;
            processes.push(LeafProcess { leaves, process });
        }
        await_leaves(&mut processes)?;
        Ok(processes)
    }

    fn control_addresses(&self) -> Result<Vec<ControlAddresses>, RehearsalError> {
        let addresses = free_addresses(self.topology.controls * 3)?;
        let of_one = |own: &[SocketAddr]| ControlAddresses {
            operators: own[0],
            feed: own[1],
            peers: own[2],
        };
        Ok(addresses.chunks_exact(3).map(of_one).collect())
    }

    fn start_peer_relays(
        &self,
        controls: &[ControlAddresses],
    ) -> Result<Option<PeerRelays>, RehearsalError> {
        let peers: Vec<SocketAddr> = controls.iter().map(|control| control.peers).collect();
        self.topology.relay_peers.then(|| PeerRelays::start(&peers)).transpose()
    }

    fn start_controls(
        &self,
        controls: &[ControlAddresses],
        relays: Option<&PeerRelays>,
    ) -> Result<Vec<ManagedProcess>, RehearsalError> {
        let mut processes = Vec::new();
        let peers: Vec<SocketAddr> = controls.iter().map(|control| control.peers).collect();
        for (number, control) in controls.iter().enumerate() {
            let name = format!("control-{number}");
            let data = self.folder.join(format!("{name}.data"));
            fs::create_dir_all(&data)
                .map_err(|error| RehearsalError::resource(data.display(), error))?;
            let zone = self.topology.zone(number);
            let seen = relays.map_or_else(|| peers.clone(), |all| all.addresses(number, &peers));
            let voters = self.topology.voters.unwrap_or(peers.len());
            let peers = settings_files::Peers { addresses: &seen, voters };
            let text = settings_files::control(number + 1, zone, control, &peers, &data);
            processes.push(self.start(&name, self.binaries.control(), &[], &text)?);
        }
        Ok(processes)
    }

    fn await_controls(
        &self,
        operator: &Operator,
        processes: &mut [ManagedProcess],
    ) -> Result<(), RehearsalError> {
        let mut ended = None;
        let ready = wait_until(READY_TIME, || {
            ended = processes.iter_mut().find_map(|process| process.check_running().err());
            ended.is_some() || operator.execute("SHOW STATUS").is_ok()
        });
        match ended {
            Some(error) => Err(error),
            None if ready => Ok(()),
            None => Err(RehearsalError::NotReady("control".into())),
        }
    }

    fn start_brokers(
        &self,
        names: &[String],
        feeds: &[SocketAddr],
    ) -> Result<Vec<Broker>, RehearsalError> {
        let addresses = free_addresses(names.len())?;
        let services = self
            .topology
            .services
            .iter()
            .flat_map(|service| std::iter::repeat_n(service.name.clone(), service.brokers));
        let mut brokers = Vec::new();
        for (number, ((name, address), service)) in
            names.iter().zip(addresses).zip(services).enumerate()
        {
            let zone = self.topology.zone(number);
            let seed = self.topology.seed + number as u64;
            let text = settings_files::broker(self.topology, name, zone, address, feeds, seed);
            let process = self.start(name, self.binaries.broker(), &[], &text)?;
            brokers.push(Broker { name: name.clone(), address, service, process });
        }
        Ok(brokers)
    }

    /// Starts a program with a settings file of its own.
    fn start(
        &self,
        name: &str,
        program: PathBuf,
        arguments: &[&str],
        settings: &str,
    ) -> Result<ManagedProcess, RehearsalError> {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)
            .map_err(|error| RehearsalError::resource(file.display(), error))?;
        let file = file.to_string_lossy();
        let log = self.folder.join(format!("{name}.log"));
        let arguments = [arguments, &["--settings", &file]].concat();
        ManagedProcess::start(name, &program, &arguments, &log)
    }
}

fn await_leaves(processes: &mut [LeafProcess]) -> Result<(), RehearsalError> {
    for process in processes {
        let LeafProcess { leaves, process } = process;
        let mut listening =
            || leaves.iter().all(|(_, address)| TcpStream::connect(address).is_ok());
        await_process("a process of leaves", process, &mut listening)?;
    }
    Ok(())
}

fn await_brokers(fleet: &mut Fleet) -> Result<(), RehearsalError> {
    let topology = fleet.topology.clone();
    for broker in &mut fleet.brokers {
        let service = topology.services.iter().find(|service| service.name == broker.service);
        let Some(service) = service else {
            continue;
        };
        let address = broker.address;
        let mut answers = || probe(address, service);
        await_process(&broker.name, &mut broker.process, &mut answers)?;
    }
    Ok(())
}

fn await_process(
    name: &str,
    process: &mut ManagedProcess,
    ready: &mut impl FnMut() -> bool,
) -> Result<(), RehearsalError> {
    let mut ended = None;
    let became_ready = wait_until(READY_TIME, || {
        ended = process.check_running().err();
        ended.is_some() || ready()
    });
    match ended {
        Some(error) => Err(error),
        None if became_ready => Ok(()),
        None => Err(RehearsalError::NotReady(name.to_owned())),
    }
}

/// Whether a broker answers a query of the service.
fn probe(broker: SocketAddr, service: &ServiceTopology) -> bool {
    let Some(class) = service.classes.first() else {
        return true;
    };
    let body = serde_json::to_vec(&QueryBody { query: format!("probe-{broker}") });
    let mut request = HttpRequest::new(Bytes::from(body.expect("string keys only")));
    *request.method_mut() = Method::POST;
    let path = format!("/v1/services/{}/query", service.name);
    *request.uri_mut() = Uri::try_from(path).expect("names are valid in a path");
    let headers = request.headers_mut();
    headers.insert("x-class", HeaderValue::try_from(&class.name).expect("a name"));
    headers.insert("x-caller", HeaderValue::from_static(CALLER));
    headers.insert("x-deadline-ms", HeaderValue::from_static("2000"));
    exchange(broker, request).is_ok_and(|response| response.status().is_success())
}
