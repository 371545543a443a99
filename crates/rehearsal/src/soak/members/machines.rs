//! Control machines on loopback hosts of their own that find each other by seeds, and brokers.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

use tracing::info;

use super::group_record::Disturbance;
use super::parties::{Stage, Target};
use super::plan::{Group, SEEDS, Step};
use crate::error::RehearsalError;
use crate::fleet::{Binaries, free_addresses};
use crate::soak::fleet::{Node, neighbours};

/// Machines that one run may start.
const MACHINE_LIMIT: usize = 250;
/// Voters at most.
const VOTERS: usize = 7;
/// Voters that are kept, so that two may be lost.
const LEAST_VOTERS: usize = 5;

/// A control machine.
struct Machine {
    node: Node,
    seeds: Vec<usize>,
    is_frozen: bool,
}

/// The processes of a run.
pub struct MemberFleet {
    machines: Vec<Machine>,
    brokers: Vec<Node>,
    /// Where each broker takes callers of routes.
    pub callers: Vec<SocketAddr>,
    /// Where each broker tells whether it is ready.
    pub readiness: Vec<SocketAddr>,
    folder: PathBuf,
    directory: SocketAddr,
    replace_after_ms: u32,
    hosts: Vec<IpAddr>,
    /// Ports of peers, feed, statements and routes, the same on each host.
    ports: [u16; 4],
    program: PathBuf,
    stage: Arc<Stage>,
}

impl MemberFleet {
    /// Starts `controls` control machines, which form a group, and `brokers` brokers.
    ///
    /// # Errors
    /// A [`RehearsalError`] when a process cannot be started.
    pub fn start(
        folder: &Path,
        directory: SocketAddr,
        [controls, brokers]: [usize; 2],
        replace_after_ms: u32,
        stage: Arc<Stage>,
    ) -> Result<Self, RehearsalError> {
        let addresses = free_addresses(4)?;
        let programs = Binaries::find()?;
        let mut fleet = Self {
            machines: Vec::new(),
            brokers: Vec::new(),
            callers: Vec::new(),
            readiness: Vec::new(),
            folder: folder.to_owned(),
            directory,
            replace_after_ms,
            hosts: neighbours(addresses[0].ip(), MACHINE_LIMIT),
            ports: [0, 1, 2, 3].map(|place: usize| addresses[place].port()),
            program: programs.control(),
            stage,
        };
        for machine in 0..controls {
            fleet.start_machine((0..SEEDS).collect(), machine < SEEDS)?;
        }
        for broker in 0..brokers {
            fleet.start_broker(broker, controls, programs.broker())?;
        }
        fleet.publish_targets();
        Ok(fleet)
    }

    /// The group as it stands, when all faults are over.
    pub fn group(&self) -> Group {
        let all = 0..self.machines.len();
        let (standing, gone) = all.partition(|machine| self.machines[*machine].node.is_running());
        Group { standing, gone }
    }

    /// Whether another round can be played without a machine at an address that was used before.
    pub fn has_room(&self) -> bool {
        self.machines.len() + 2 <= MACHINE_LIMIT
    }

    /// Does one step of a fault.
    ///
    /// # Errors
    /// A [`RehearsalError`] when a process cannot be started or signalled.
    pub fn play(&mut self, step: &Step) -> Result<(), RehearsalError> {
        info!(event = "step", ?step, leader = ?self.leader());
        match step {
            Step::Kill(machine) => {
                self.disturb(*machine);
                self.machines[*machine].node.kill();
                self.calm(*machine);
            }
            Step::Wipe(machine) => self.machines[*machine].node.wipe(),
            Step::Reseed(machine, seeds) => self.reseed(*machine, seeds)?,
            Step::Run(machine) => self.run(*machine)?,
            Step::StartSuccessor(seeds) => {
                self.start_machine(seeds.clone(), false)?;
                self.stage.counts().successors += 1;
            }
            Step::Freeze(machine) => {
                self.disturb(*machine);
                self.machines[*machine].node.freeze()?;
                self.machines[*machine].is_frozen = true;
            }
            Step::Stop(machine) => self.stop(*machine)?,
        }
        self.publish_targets();
        Ok(())
    }

    /// How a machine is named where a promise of it was broken.
    pub fn describe(&self, machine: usize) -> String {
        let seeds = self.machines[machine].seeds.iter().map(|seed| {
            let gone = !self.machines[*seed].node.is_running();
            format!("control-{seed}{}", if gone { " (gone)" } else { "" })
        });
        let seeds: Vec<String> = seeds.collect();
        let leader = self.leader().map_or("none".to_owned(), |leader| format!("control-{leader}"));
        format!("seeds {}; leader {leader}", seeds.join(", "))
    }

    /// Notes processes that ended though nobody ended them.
    pub fn note_own_ends(&mut self) {
        let nodes = self.machines.iter_mut().map(|machine| &mut machine.node);
        for node in nodes.chain(&mut self.brokers) {
            if node.ended_by_itself() {
                self.stage.violation(format!("{} ended by itself", node.name()));
            }
        }
    }

    fn run(&mut self, machine: usize) -> Result<(), RehearsalError> {
        if !self.machines[machine].is_frozen {
            self.disturb(machine);
        }
        self.machines[machine].node.run()?;
        self.machines[machine].is_frozen = false;
        self.calm(machine);
        Ok(())
    }

    fn stop(&mut self, machine: usize) -> Result<(), RehearsalError> {
        self.disturb(machine);
        if !self.machines[machine].node.stop()? {
            self.stage.violation(format!("control-{machine} did not end its planned stop"));
        }
        self.calm(machine);
        Ok(())
    }

    fn disturb(&self, machine: usize) {
        let began = Instant::now();
        self.stage.record().disturbances.push(Disturbance { machine, began, ended: None });
    }

    fn calm(&self, machine: usize) {
        let mut record = self.stage.record();
        let of_machine = record.disturbances.iter_mut().filter(|seen| seen.machine == machine);
        for seen in of_machine.filter(|seen| seen.ended.is_none()) {
            seen.ended = Some(Instant::now());
        }
    }

    fn publish_targets(&self) {
        let machines = self.machines.iter().enumerate();
        let taking = machines.filter(|(_, seen)| seen.node.is_running() && !seen.is_frozen);
        let targets = taking.map(|(machine, _)| Target { machine, address: self.at(machine, 3) });
        self.stage.set_targets(targets.collect());
    }

    /// The running machine that was the last to report that it leads.
    fn leader(&self) -> Option<usize> {
        self.group().standing.into_iter().find(|machine| {
            let log = fs::read_to_string(self.machines[*machine].node.log()).unwrap_or_default();
            let last = log.lines().rfind(|line| line.contains("event=role_changed"));
            last.is_some_and(|line| line.contains("role=Leader"))
        })
    }

    fn at(&self, machine: usize, place: usize) -> SocketAddr {
        SocketAddr::new(self.hosts[machine], self.ports[place])
    }

    fn reseed(&mut self, machine: usize, seeds: &[usize]) -> Result<(), RehearsalError> {
        self.machines[machine].seeds = seeds.to_vec();
        let text = self.control_settings(machine, seeds, false);
        self.machines[machine].node.rewrite_settings(&text)
    }

    fn start_machine(&mut self, seeds: Vec<usize>, form: bool) -> Result<(), RehearsalError> {
        let machine = self.machines.len();
        let text = self.control_settings(machine, &seeds, form);
        let name = format!("control-{machine}");
        let node = Node::new(name, self.program.clone(), &self.folder, &text)?;
        self.machines.push(Machine { node, seeds, is_frozen: false });
        self.run(machine)
    }

    fn control_settings(&self, machine: usize, seeds: &[usize], form: bool) -> String {
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", self.at(*seed, 0))).collect();
        let data = self.folder.join(format!("data-control-{machine}"));
        format!(
            "name = \"control-{machine}\"\nfeed = \"{}\"\noperators = \"{}\"\nroutes = \"{}\"\n\
             data_folder = {data:?}\nelection_ms = 300\n[seeds]\nown = \"{}\"\nseeds = [{}]\n\
             form = {form}\nvoters = {VOTERS}\nleast_voters = {LEAST_VOTERS}\n\
             replace_after_ms = {}\n[directory]\naddress = \"{}\"\npoll_interval_ms = 300\n",
            self.at(machine, 1),
            self.at(machine, 2),
            self.at(machine, 3),
            self.at(machine, 0),
            seeds.join(", "),
            self.replace_after_ms,
            self.directory
        )
    }

    fn start_broker(
        &mut self,
        broker: usize,
        controls: usize,
        program: PathBuf,
    ) -> Result<(), RehearsalError> {
        let addresses = free_addresses(3)?;
        let [listen, routes, readiness] = [0, 1, 2].map(|part: usize| addresses[part]);
        let control: Vec<String> =
            (0..controls).map(|machine| format!("\"{}\"", self.at(machine, 1))).collect();
        let name = format!("broker-{broker}");
        let text = format!(
            "name = \"{name}\"\nregion = \"r\"\nzone = \"a\"\nlisten = \"{listen}\"\n\
             control = [{}]\nlearn_controls = true\ncontrol_pause_ms = 200\n[routes]\nlisten = \"{routes}\"\n\
             readiness = \"{readiness}\"\nout_of_touch = \"serve\"\n",
            control.join(", ")
        );
        let mut node = Node::new(name, program, &self.folder, &text)?;
        node.run()?;
        self.brokers.push(node);
        self.callers.push(routes);
        self.readiness.push(readiness);
        Ok(())
    }
}
