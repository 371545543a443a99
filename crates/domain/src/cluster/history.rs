//! Bounded history of accepted changes, for conflict checks, broker feeds and operators.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ChangeRefusal, WallTime};
use crate::catalog::Change;
use crate::crash_suspects::RequestDigest;
use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, LeafId, Revision, ServiceName, SessionName,
    ShardId, ZoneName,
};

/// Maximum changes kept: more than one day of changes at the designed fleet size.
pub const HISTORY_LIMIT: usize = 1024;

/// An accepted catalog change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Catalog revision that the change created.
    pub revision: Revision,
    /// Proposal time of the change.
    pub at: WallTime,
    /// Session that proposed the change.
    pub session: SessionName,
    /// The applied change.
    pub change: Change,
}

/// Object that a change modifies; changes with equal or nested targets conflict.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A leaf by its id.
    Leaf(LeafId),
    /// A service as a whole.
    Service(ServiceName),
    /// A class of a service.
    Class(ServiceName, ClassName),
    /// The partition map of a service, with its published version.
    Partition(ServiceName),
    /// A shard of the newest partition map.
    Shard(ServiceName, ShardId),
    /// A caller's account.
    Caller(CallerName),
    /// A broker by its name.
    Broker(BrokerName),
    /// A control process by its name.
    Control(ControlName),
    /// A zone by its name.
    Zone(ZoneName),
    /// The roll-out of a service.
    Rollout(ServiceName),
    /// A refused request by its digest.
    Request(RequestDigest),
}

impl Target {
    /// The object that a change modifies.
    pub fn of(change: &Change) -> Self {
        match change {
            Change::AddLeaf(leaf) => Self::Leaf(leaf.id),
            Change::SetLeafState { leaf, .. } | Change::RemoveLeaf(leaf) => Self::Leaf(*leaf),
            Change::DefineService { service, .. } | Change::RemoveService(service) => {
                Self::Service(service.clone())
            }
            Change::DefineClass { service, policy } => {
                Self::Class(service.clone(), policy.name.clone())
            }
            Change::SetPrice { service, class, .. } | Change::RemoveClass { service, class } => {
                Self::Class(service.clone(), class.clone())
            }
            Change::AssignShard { service, shard, .. } => Self::Shard(service.clone(), *shard),
            Change::Repartition { service, .. } | Change::PublishVersion { service, .. } => {
                Self::Partition(service.clone())
            }
            Change::DefineCaller { caller, .. } | Change::RemoveCaller(caller) => {
                Self::Caller(caller.clone())
            }
            Change::AddBroker { broker, .. }
            | Change::SetBrokerState { broker, .. }
            | Change::RemoveBroker(broker) => Self::Broker(broker.clone()),
            Change::AddControl(control) => Self::Control(control.name.clone()),
            Change::SetControlState { control, .. } | Change::RemoveControl(control) => {
                Self::Control(control.clone())
            }
            Change::EvacuateZone(zone) | Change::RestoreZone(zone) => Self::Zone(zone.clone()),
            Change::BeginRollout(order) => Self::Rollout(order.service.clone()),
            Change::AdvanceRollout(step) => Self::Rollout(step.service.clone()),
            Change::ReleaseRequest(digest) => Self::Request(*digest),
        }
    }

    /// Whether concurrent changes of the two targets conflict.
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self == other || self.contains(other) || other.contains(self)
    }

    fn contains(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Service(whole), Self::Class(service, _))
            | (Self::Service(whole), Self::Partition(service))
            | (Self::Service(whole), Self::Shard(service, _))
            | (Self::Partition(whole), Self::Shard(service, _)) => whole == service,
            _ => false,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaf(leaf) => write!(formatter, "leaf {leaf}"),
            Self::Service(service) => write!(formatter, "service {service}"),
            Self::Class(service, class) => write!(formatter, "class {class} of {service}"),
            Self::Partition(service) => write!(formatter, "the partition map of {service}"),
            Self::Shard(service, shard) => write!(formatter, "shard {shard} of {service}"),
            Self::Caller(caller) => write!(formatter, "caller {caller}"),
            Self::Broker(broker) => write!(formatter, "broker {broker}"),
            Self::Control(control) => write!(formatter, "control process {control}"),
            Self::Zone(zone) => write!(formatter, "zone {zone}"),
            Self::Request(digest) => write!(formatter, "request {digest}"),
            Self::Rollout(service) => write!(formatter, "the roll-out of service {service}"),
        }
    }
}

/// The last accepted changes, oldest first, without gaps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    changes: VecDeque<AcceptedChange>,
}

impl History {
    /// The changes after `revision`; `None` when `revision` is ahead of `newest` or when some of
    /// the changes have been dropped.
    pub fn since(
        &self,
        newest: Revision,
        revision: Revision,
    ) -> Option<impl Iterator<Item = &AcceptedChange>> {
        let missing = usize::try_from(newest.0.checked_sub(revision.0)?).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(first..))
    }

    /// All retained changes, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter().rev()
    }

    /// Checks a change based on `based_on` for conflicts with later changes.
    ///
    /// # Errors
    /// [`ChangeRefusal::Conflict`] names the first conflicting change. The other errors mean that
    /// `based_on` is ahead of the newest revision or no longer covered by the history.
    pub fn check(
        &self,
        newest: Revision,
        based_on: Revision,
        change: &Change,
    ) -> Result<(), ChangeRefusal> {
        if based_on > newest {
            return Err(ChangeRefusal::RevisionAhead(based_on, newest));
        }
        let Some(mut since) = self.since(newest, based_on) else {
            let oldest = Revision(newest.0 - self.changes.len() as u64);
            return Err(ChangeRefusal::RevisionForgotten(based_on, oldest));
        };
        let target = Target::of(change);
        let conflicting =
            since.find(|accepted| Target::of(&accepted.change).conflicts_with(&target));
        match conflicting {
            None => Ok(()),
            Some(first) => Err(ChangeRefusal::Conflict(
                target.to_string(),
                first.session.clone(),
                first.at,
                first.revision,
            )),
        }
    }

    /// Revision of the last retained change of exactly this target, if any.
    pub fn last_change(&self, target: &Target) -> Option<Revision> {
        let same = |accepted: &&AcceptedChange| Target::of(&accepted.change) == *target;
        self.newest_first().find(same).map(|accepted| accepted.revision)
    }

    pub(super) fn push(&mut self, change: AcceptedChange) {
        self.changes.push_back(change);
        if self.changes.len() > HISTORY_LIMIT {
            self.changes.pop_front();
        }
    }
}
