//! Fleets of separate processes on one machine: launched, disturbed and stopped.

mod addresses;
mod binaries;
mod launch;
mod operator;
mod peer_relays;
mod process;
mod settings_files;
mod topology;
mod wait;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tracing::info;

pub use addresses::free_addresses;
pub use binaries::Binaries;
pub use process::{ManagedProcess, Signal, end_processes_on_interrupt};
pub use topology::{
    AnswerTopology, CatalogLeaves, ClassTopology, PolicyTopology, ServiceTopology, Topology,
    ZoneTopology,
};
pub use wait::wait_until;

use crate::clock;
use crate::error::RehearsalError;
use crate::leaf::AdminCommand;
use crate::load::{LoadPlan, ServiceLoad};
use crate::process_usage::ProcessUsage;
use crate::record::{Order, OrderKind, RecordWriter};
use operator::Operator;
use peer_relays::PeerRelays;

/// Time that brokers have to finish what is in flight.
const BROKER_STOP_TIME: Duration = Duration::from_secs(15);
/// Time that other processes have to end.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Marks a line of a control process's log that tells its role.
const ROLE_EVENT: &str = "event=role_changed";
/// Marks the role of the leader on such a line.
const LEADER_ROLE: &str = "role=Leader";

/// A broker of a fleet.
pub struct Broker {
    /// Name within the cluster.
    pub name: String,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Service that it is asked for.
    pub service: String,
    process: ManagedProcess,
}

/// A process of leaves of a fleet.
pub struct LeafProcess {
    /// The leaves, by number and address.
    pub leaves: Vec<(u32, SocketAddr)>,
    process: ManagedProcess,
}

/// A fleet of separate processes; whatever still runs is killed when it is dropped.
pub struct Fleet {
    folder: PathBuf,
    operator: Operator,
    topology: Topology,
    controls: Vec<ManagedProcess>,
    peer_relays: Option<PeerRelays>,
    feeds: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    brokers: Vec<Broker>,
    leaf_processes: Vec<LeafProcess>,
    orders: RecordWriter<Order>,
}

impl Fleet {
    /// Launches a fleet and waits until every broker answers.
    ///
    /// # Errors
    /// A [`RehearsalError`] when a process cannot be started or is not ready in time; then none is
    /// left behind.
    pub fn launch(topology: &Topology, folder: &Path) -> Result<Self, RehearsalError> {
        launch::launch(topology, folder)
    }

    /// Folder that holds settings, logs and records.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Processes that were started.
    pub fn process_count(&self) -> usize {
        self.controls.len() + self.brokers.len() + self.leaf_processes.len()
    }

    /// The brokers.
    pub fn brokers(&self) -> &[Broker] {
        &self.brokers
    }

    /// The processes of leaves.
    pub fn leaf_processes(&self) -> &[LeafProcess] {
        &self.leaf_processes
    }

    /// What a broker has used so far.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn broker_usage(&self, index: usize) -> Result<ProcessUsage, RehearsalError> {
        self.brokers[index].process.usage()
    }

    /// Addresses on which control processes feed brokers.
    pub fn feeds(&self) -> &[SocketAddr] {
        &self.feeds
    }

    /// Addresses on which control processes take operators' statements.
    pub fn operators(&self) -> &[SocketAddr] {
        &self.operators
    }

    /// What a control process has used so far.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn control_usage(&self, index: usize) -> Result<ProcessUsage, RehearsalError> {
        self.controls[index].usage()
    }

    /// Cuts a control process off from the others; without relays between them, nothing happens.
    pub fn cut_control(&self, index: usize) {
        self.peer_relays.iter().for_each(|relays| relays.cut(index));
    }

    /// Ends the cut of a control process.
    pub fn heal_control(&self, index: usize) {
        self.peer_relays.iter().for_each(|relays| relays.heal(index));
    }

    /// The control process that leads, by the logs of all; none when none says so.
    pub fn leading_control(&self) -> Option<usize> {
        (0..self.controls.len()).find(|index| {
            let log = fs::read_to_string(self.folder.join(format!("control-{index}.log")));
            let mut lines = log.iter().flat_map(|log| log.lines());
            let last = lines.rfind(|line| line.contains(ROLE_EVENT));
            last.is_some_and(|line| line.contains(LEADER_ROLE))
        })
    }

    /// Sends a signal to a control process.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn signal_control(&self, index: usize, signal: Signal) -> Result<(), RehearsalError> {
        self.controls[index].signal(signal)
    }

    /// Has operators ask this control process from now on.
    pub fn ask_control(&mut self, index: usize) {
        self.operator.ask(index);
    }

    /// Fails when a process has ended by itself.
    ///
    /// # Errors
    /// [`RehearsalError::EndedEarly`] with the log that tells why.
    pub fn check_running(&mut self) -> Result<(), RehearsalError> {
        let brokers = self.brokers.iter_mut().map(|broker| &mut broker.process);
        let leaves = self.leaf_processes.iter_mut().map(|leaves| &mut leaves.process);
        let mut processes = self.controls.iter_mut().chain(brokers).chain(leaves);
        processes.try_for_each(ManagedProcess::check_running)
    }

    /// Requests that all leaves began to run.
    ///
    /// # Errors
    /// [`RehearsalError::Exchange`] when a process does not answer.
    pub fn leaf_requests_started(&self) -> Result<u64, RehearsalError> {
        let started = |process: &LeafProcess| operator::count_started(process.leaves[0].1);
        self.leaf_processes.iter().map(started).sum()
    }

    /// The load that the topology states, for so many seconds.
    pub fn load_plan(&self, seconds: f64, seed: u64) -> LoadPlan {
        let brokers = |service: &ServiceTopology| {
            let of_service = |broker: &&Broker| broker.service == service.name;
            self.brokers.iter().filter(of_service).map(|broker| broker.address).collect()
        };
        let client_delay_ms = self.topology.client_delay_ms;
        let services = self
            .topology
            .services
            .iter()
            .map(|service| ServiceLoad { client_delay_ms, ..service.load(brokers(service)) });
        LoadPlan { seed, seconds, services: services.collect() }
    }

    /// Carries out operators' statements through the command line.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] when one was refused.
    pub fn execute(&mut self, statements: &str) -> Result<(), RehearsalError> {
        self.operator.execute(statements)
    }

    /// Drains a leaf by the operators' command.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] when the command was refused.
    pub fn drain_leaf(&mut self, leaf: u32) -> Result<(), RehearsalError> {
        self.execute(&format!("DRAIN LEAF {leaf}"))?;
        self.order(OrderKind::DrainLeaf { leaf });
        Ok(())
    }

    /// Takes a drained leaf back by the operators' command.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] when the command was refused.
    pub fn resume_leaf(&mut self, leaf: u32) -> Result<(), RehearsalError> {
        // Recorded first, so that the leaf's new work does not seem to come before it.
        self.order(OrderKind::ResumeLeaf { leaf });
        self.execute(&format!("RESUME LEAF {leaf}"))
    }

    /// Publishes an index version of a service.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] when the command was refused.
    pub fn publish(&mut self, service: &str, version: u64) -> Result<(), RehearsalError> {
        self.execute(&format!("PUBLISH VERSION {version} OF {service}"))
    }

    /// Gives a service another number of shards and publishes an index version on them.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] when a command was refused.
    pub fn repartition(
        &mut self,
        service: &str,
        shards: u32,
        version: u64,
    ) -> Result<(), RehearsalError> {
        let statements = settings_files::repartition(&self.topology, service, shards, version);
        self.execute(&statements)
    }

    /// Sends a signal to the process of some leaves.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn signal_leaves(&mut self, index: usize, signal: Signal) -> Result<(), RehearsalError> {
        let process = &self.leaf_processes[index];
        let leaves: Vec<u32> = process.leaves.iter().map(|(leaf, _)| *leaf).collect();
        process.process.signal(signal)?;
        for leaf in leaves {
            self.order(OrderKind::DisturbLeaf { leaf });
        }
        Ok(())
    }

    /// Sends a signal to a broker.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the process is gone.
    pub fn signal_broker(&mut self, index: usize, signal: Signal) -> Result<(), RehearsalError> {
        let broker = self.brokers[index].address.to_string();
        let order = match signal {
            Signal::TERM => OrderKind::StopBroker { broker },
            _ => OrderKind::DisturbBroker { broker },
        };
        // Recorded first, so that no effect comes before its cause.
        self.order(order);
        self.brokers[index].process.signal(signal)
    }

    /// Whether a broker has ended by itself, and with success.
    pub fn broker_ended_well(&mut self, index: usize) -> Option<bool> {
        self.brokers[index].process.ended().map(|status| status.success())
    }

    /// Changes stand-in leaves while they run.
    ///
    /// # Errors
    /// [`RehearsalError::Exchange`] when the process does not answer.
    pub fn administer_leaves(
        &self,
        index: usize,
        command: &AdminCommand,
    ) -> Result<(), RehearsalError> {
        let (leaf, address) = self.leaf_processes[index].leaves[0];
        operator::administer(leaf, address, command)
    }

    /// Stops brokers first, then the others, as planned; kills what does not end.
    ///
    /// Gives the names of brokers that did not end by themselves in time.
    pub fn stop(mut self) -> Vec<String> {
        let mut killed = Vec::new();
        for index in 0..self.brokers.len() {
            // A broker that is gone needs no signal.
            let _ = self.signal_broker(index, Signal::TERM);
        }
        for broker in &mut self.brokers {
            if !broker.process.wait_or_kill(BROKER_STOP_TIME) {
                killed.push(broker.name.clone());
            }
        }
        let others = self.leaf_processes.iter_mut().map(|leaves| &mut leaves.process);
        for process in others.chain(&mut self.controls) {
            // As above.
            let _ = process.signal(Signal::TERM);
            process.wait_or_kill(STOP_TIME);
        }
        info!(event = "fleet_stopped", brokers_killed = killed.len());
        killed
    }

    fn order(&mut self, kind: OrderKind) {
        self.orders.append(&Order { at: clock::now(), kind });
    }
}
