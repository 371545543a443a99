//! Event handling of simulated operators: independent changes, concurrent changes of the same
//! target, and retries.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gingerkeel_domain::catalog::{Change, Leaf, LeafState, Placement};
use gingerkeel_domain::cluster::ChangeRequest;
use gingerkeel_domain::identifiers::{LeafId, RegionName, ZoneName};
use gingerkeel_domain::time::Timestamp;
use rand::Rng;

use super::fault::Mutant;
use super::history::CommandRecord;
use super::machine::MachineIndex;
use super::message::{Endpoint, Message};
use super::operator::OperatorIndex;
use super::world::{ControlWorld, Event, RACE_INTERVAL};
use crate::virtual_clock::Schedule;

/// Request timeout, after which an operator retries its command at the next machine.
const RESEND_AFTER: Duration = Duration::from_millis(900);
/// Time between the lookup of the accepted revision and the concurrent changes.
const RACE_LOOKUP: Duration = Duration::from_millis(300);
/// Leaf that all operators change concurrently.
const RACED_LEAF: LeafId = LeafId(1);
/// Zone that all operators change concurrently.
const RACED_ZONE: &str = "raced";

/// Drains the contended leaf, or reactivates it.
fn leaf_order(drain: bool) -> Change {
    let state = if drain { LeafState::Draining } else { LeafState::Active };
    Change::SetLeafState { leaf: RACED_LEAF, state }
}

/// Evacuates the contended zone, or restores it.
fn zone_order(evacuate: bool) -> Change {
    let zone = ZoneName::new(RACED_ZONE);
    if evacuate { Change::EvacuateZone(zone) } else { Change::RestoreZone(zone) }
}

impl ControlWorld {
    /// Submits the addition of the contended leaf by the first operator.
    pub(super) fn add_raced_leaf(&mut self, schedule: &mut Schedule<Event>) {
        let request = self.operators[0].addition(raced_leaf());
        self.submit(OperatorIndex(0), request, schedule);
    }

    pub(super) fn own_change(
        &mut self,
        now: Timestamp,
        index: OperatorIndex,
        schedule: &mut Schedule<Event>,
    ) {
        if now >= self.changes_end {
            return;
        }
        let mean = self.change_interval.as_micros() as u64;
        let pause = Duration::from_micros(self.random.random_range(mean / 2..mean * 3 / 2));
        schedule.after(pause, Event::OwnChange(index));
        if self.operators[index.0].outstanding.is_none() {
            let request = self.operators[index.0].own_change();
            self.submit(index, request, schedule);
        }
    }

    pub(super) fn race_lookup(&mut self, now: Timestamp, schedule: &mut Schedule<Event>) {
        if now >= self.changes_end {
            return;
        }
        schedule.after(RACE_LOOKUP, Event::Race);
        for operator in (0..self.operators.len()).map(OperatorIndex) {
            let to = Endpoint::Machine(self.operators[operator.0].machine);
            let message = Message::AskRevision(operator);
            self.send(Endpoint::Operator(operator), to, message, schedule);
        }
    }

    pub(super) fn race(&mut self, schedule: &mut Schedule<Event>) {
        schedule.after(RACE_INTERVAL, Event::RaceLookup);
        // Alternates between the leaf and the zone.
        self.races += 1;
        let zones = self.races.is_multiple_of(2);
        for operator in (0..self.operators.len()).map(OperatorIndex) {
            if self.operators[operator.0].outstanding.is_some() {
                continue;
            }
            let wanted = operator.0.is_multiple_of(2);
            let change = if zones { zone_order(wanted) } else { leaf_order(wanted) };
            let request = self.operators[operator.0].racing_change(change);
            self.submit(operator, request, schedule);
        }
    }

    pub(super) fn submit(
        &mut self,
        index: OperatorIndex,
        request: ChangeRequest,
        schedule: &mut Schedule<Event>,
    ) {
        let operator = &mut self.operators[index.0];
        operator.outstanding = Some(request.clone());
        let to = Endpoint::Machine(operator.machine);
        let record = CommandRecord { request: request.clone(), outcomes: Vec::new() };
        self.history.commands.entry(request.id.clone()).or_insert(record);
        let message = Message::Request(index, request.clone());
        self.send(Endpoint::Operator(index), to, message, schedule);
        schedule.after(RESEND_AFTER, Event::ResendDue(index, request));
    }

    /// Retries the command at the next machine if it is still outstanding.
    pub(super) fn resend(
        &mut self,
        index: OperatorIndex,
        request: &ChangeRequest,
        schedule: &mut Schedule<Event>,
    ) {
        let machines = self.machines.len();
        let operator = &mut self.operators[index.0];
        if operator.outstanding.as_ref() != Some(request) {
            return;
        }
        operator.machine = MachineIndex((operator.machine.0 + 1) % machines);
        if self.mutant == Some(Mutant::ResendsRenumbered) {
            operator.renumber();
        }
        if let Some(outstanding) = operator.outstanding.clone() {
            self.submit(index, outstanding, schedule);
        }
    }

    pub(super) fn operator_told(&mut self, now: Timestamp, index: OperatorIndex, message: Message) {
        let operator = &mut self.operators[index.0];
        match message {
            Message::Reply(request, outcome) => {
                operator.told(&request, &outcome);
                if let Some(record) = self.history.commands.get_mut(&request.id) {
                    record.outcomes.push((now, outcome));
                }
            }
            Message::RevisionIs(revision) => operator.known = operator.known.max(revision),
            _ => {}
        }
    }
}

fn raced_leaf() -> Leaf {
    Leaf {
        id: RACED_LEAF,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9001)),
        placement: Placement { region: RegionName::new("south"), zone: ZoneName::new("zone-0") },
        slots: 5,
        connection_limit: 75,
        state: LeafState::Active,
    }
}
