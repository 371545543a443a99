//! The last accepted changes: for conflicts, for the feeds of brokers and for operators.

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

/// Changes that are kept: more than a day of them at the size to design for.
pub const HISTORY_LIMIT: usize = 1024;

/// A change as accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The revision that it gave.
    pub revision: Revision,
    /// When it was proposed.
    pub at: WallTime,
    /// The session that proposed it.
    pub session: SessionName,
    /// The change.
    pub change: Change,
}

/// A thing that a change concerns. Two changes conflict when they share one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A leaf.
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
    /// A broker.
    Broker(BrokerName),
    /// A control process.
    Control(ControlName),
    /// A zone.
    Zone(ZoneName),
    /// The roll-out of a service.
    Rollout(ServiceName),
    /// A request that is refused.
    Request(RequestDigest),
}

impl Target {
    /// What a change concerns.
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

    /// Whether a change of one leaves a change of the other without its ground.
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
    /// The changes after `revision`; none when some of them are not kept any more.
    pub fn since(
        &self,
        newest: Revision,
        revision: Revision,
    ) -> Option<impl Iterator<Item = &AcceptedChange>> {
        let missing = usize::try_from(newest.0.checked_sub(revision.0)?).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        Some(self.changes.range(first..))
    }

    /// The changes that are kept, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedChange> {
        self.changes.iter().rev()
    }

    /// Checks a change that was made against `based_on`.
    ///
    /// # Errors
    /// [`ChangeRefusal::Conflict`] names the first change since that concerns the same; the
    /// others say that `based_on` cannot be compared with.
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
        let rival = since.find(|accepted| Target::of(&accepted.change).conflicts_with(&target));
        match rival {
            None => Ok(()),
            Some(first) => Err(ChangeRefusal::Conflict(
                target.to_string(),
                first.session.clone(),
                first.at,
                first.revision,
            )),
        }
    }

    /// The revision of the last change of `target`; none where none is kept.
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
