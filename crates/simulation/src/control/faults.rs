//! Fault injection.

use std::time::Duration;

use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;
use super::disk::Disk;
use super::fault::{Fault, Mutant};
use super::machine::MachineIndex;
use super::message::{Endpoint, FeedContent, LinkNumber, Message};
use super::world::{ControlWorld, Event};
use crate::virtual_clock::Schedule;

/// Downtime of a killed leader.
const LEADER_DOWN: Duration = Duration::from_secs(1);
/// Duration of a leader's pause.
const LEADER_FROZEN: Duration = Duration::from_secs(3);

impl ControlWorld {
    pub(super) fn fault(&mut self, now: Timestamp, fault: Fault, schedule: &mut Schedule<Event>) {
        match fault {
            Fault::Kill(machine) => self.kill(machine, schedule),
            Fault::Restart(machine) => self.restart(now, machine, schedule),
            Fault::LoseDisk(machine) => self.lose_disk(now, machine, schedule),
            Fault::KillAll => {
                let machines = (0..self.machines.len()).map(MachineIndex);
                machines.for_each(|machine| self.kill(machine, schedule));
            }
            Fault::KillLeader => {
                if let Some(leader) = self.leader() {
                    self.kill(leader, schedule);
                    schedule.after(LEADER_DOWN, Event::Fault(Fault::Restart(leader)));
                }
            }
            Fault::FreezeLeader => {
                if let Some(leader) = self.leader() {
                    self.machines[leader.0].frozen = true;
                    schedule.after(LEADER_FROZEN, Event::Fault(Fault::Thaw(leader)));
                }
            }
            Fault::Freeze(machine) => self.machines[machine.0].frozen = true,
            Fault::Thaw(machine) => self.thaw(now, machine, schedule),
            Fault::Isolate(machine) => self.network.isolate(Endpoint::Machine(machine)),
            Fault::Mute(machine) => {
                self.network.mute.insert(Endpoint::Machine(machine));
            }
            Fault::Deafen(machine) => {
                self.network.deaf.insert(Endpoint::Machine(machine));
            }
            Fault::CutFromPeers(machine) => {
                self.network.without_peers.insert(machine);
            }
            Fault::Rejoin(machine) => self.network.rejoin(Endpoint::Machine(machine)),
            Fault::CutRegions => self.network.regions_cut = true,
            Fault::HealRegions => self.network.regions_cut = false,
            Fault::FreezeBroker(broker) => self.brokers[broker.0].frozen = true,
            Fault::ThawBroker(broker) => self.thaw_broker(now, broker, schedule),
            Fault::RestartBroker(broker) => self.restart_broker(broker, schedule),
            Fault::LoseAnswers(share) => self.network.answer_loss = share,
            Fault::LoseMessages(share) => self.network.loss = share,
        }
    }

    pub(super) fn heal_all(&mut self, now: Timestamp, schedule: &mut Schedule<Event>) {
        self.network = Default::default();
        for machine in (0..self.machines.len()).map(MachineIndex) {
            self.thaw(now, machine, schedule);
            self.restart(now, machine, schedule);
        }
        for broker in (0..self.brokers.len()).map(BrokerIndex) {
            self.thaw_broker(now, broker, schedule);
        }
    }

    fn leader(&self) -> Option<MachineIndex> {
        let leads = |machine: &&super::machine::Machine| machine.leads() && !machine.frozen;
        let highest = self.machines.iter().filter(leads).max_by_key(|machine| {
            machine.process.as_ref().map(|process| process.node.status().term)
        })?;
        self.machines
            .iter()
            .position(|machine| machine.identity == highest.identity)
            .map(MachineIndex)
    }

    fn kill(&mut self, index: MachineIndex, schedule: &mut Schedule<Event>) {
        let links = self.machines[index.0].kill();
        for (broker, link) in links {
            let message = Message::Feed(link, FeedContent::Broken);
            self.send(Endpoint::Machine(index), Endpoint::Broker(broker), message, schedule);
        }
    }

    fn restart(&mut self, now: Timestamp, index: MachineIndex, schedule: &mut Schedule<Event>) {
        if self.machines[index.0].process.is_none() {
            self.start(now, index, schedule);
        }
    }

    /// Erases the disk of a machine, unless an earlier loss has not been repaired: all machines
    /// must be voters.
    fn lose_disk(&mut self, now: Timestamp, index: MachineIndex, schedule: &mut Schedule<Event>) {
        if !self.all_machines_vote() {
            return;
        }
        self.kill(index, schedule);
        let kept = self.mutant == Some(Mutant::IdentityKept);
        let machine = &mut self.machines[index.0];
        machine.disk = Disk::default();
        if !kept {
            machine.identity.incarnation.0 += 1;
        }
        self.start(now, index, schedule);
    }

    /// Whether all machines are voters in the leader's configuration.
    fn all_machines_vote(&self) -> bool {
        let leader = self.leader().and_then(|leader| self.machines[leader.0].process.as_ref());
        let identities = self.machines.iter().map(|machine| machine.identity);
        leader.is_some_and(|process| {
            let voters = &process.node.configuration().voters;
            identities.clone().all(|identity| voters.contains(&identity))
        })
    }

    fn thaw(&mut self, now: Timestamp, index: MachineIndex, schedule: &mut Schedule<Event>) {
        let machine = &mut self.machines[index.0];
        if !machine.frozen {
            return;
        }
        machine.frozen = false;
        let backlog = std::mem::take(&mut machine.backlog);
        let synced = machine.synced_in_freeze.take();
        if let Some(process) = machine.process.as_mut() {
            process.timer = None;
            if let Some(number) = synced {
                process.node.persisted(now, number);
            }
        }
        for message in backlog {
            self.machine_told(now, index, message, schedule);
        }
        self.settle(now, index, schedule);
    }

    fn thaw_broker(&mut self, now: Timestamp, index: BrokerIndex, schedule: &mut Schedule<Event>) {
        let broker = &mut self.brokers[index.0];
        if !broker.frozen {
            return;
        }
        broker.frozen = false;
        let run = broker.run;
        for (link, content) in std::mem::take(&mut broker.backlog) {
            self.broker_told(now, index, link, content, schedule);
        }
        schedule.after(Duration::ZERO, Event::BrokerTimer(index, run));
    }

    fn restart_broker(&mut self, index: BrokerIndex, schedule: &mut Schedule<Event>) {
        let broker = &mut self.brokers[index.0];
        broker.restart();
        broker.link = LinkNumber(broker.link.0 + 1);
        let event = Event::Reconnect(index, broker.run, broker.link);
        schedule.after(Duration::from_millis(200), event);
    }
}
