//! Live control processes and brokers: leases, placements and revisions in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::catalog::{Change, Placement};
use crate::identifiers::{BrokerName, ControlName, Revision};

/// Lease of a control process, counted from its last renewal; renewed every one or two seconds.
pub const CONTROL_LEASE: Duration = Duration::from_secs(10);

/// Time for which a departed broker counts as possibly still serving. A partitioned broker goes on
/// serving with its last state, and partitions between regions last for minutes.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(3_600);

/// Lease renewal of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRenewal {
    /// Name of the control process.
    pub control: ControlName,
    /// Identifier of the process's run, drawn at start.
    pub run: u64,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for broker feeds.
    pub feed: SocketAddr,
}

/// A control process that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Last renewal.
    pub renewal: ControlRenewal,
    /// End of the lease.
    pub lease_until: WallTime,
}

/// A change of a broker, as seen by the control process that feeds the broker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BrokerChange {
    /// The broker subscribed, or put another revision in force.
    Follows {
        /// Name of the broker.
        broker: BrokerName,
        /// Identifier of the broker's run, drawn at start.
        run: u64,
        /// Region and zone of the broker.
        placement: Placement,
        /// Catalog revision in force at the broker.
        in_force: Revision,
    },
    /// The broker's link was lost, and the broker did not reconnect within its lease.
    Left {
        /// Name of the broker.
        broker: BrokerName,
        /// Identifier of the run that left.
        run: u64,
    },
}

/// A broker that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerRecord {
    /// Identifier of the broker's run.
    pub run: u64,
    /// Region and zone of the broker.
    pub placement: Placement,
    /// Control process that feeds the broker.
    pub control: ControlName,
    /// Catalog revision in force at the broker.
    pub in_force: Revision,
    /// End of the lease, extended by each renewal of the broker's control process.
    pub lease_until: WallTime,
}

/// A broker whose lease ended; it may be partitioned and still serve its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedBroker {
    /// Last known region and zone.
    pub placement: Placement,
    /// Time at which the record is dropped.
    pub until: WallTime,
}

/// All control processes and brokers that hold a lease, and recently departed brokers.
///
/// A broker's lease is renewed together with that of its control process, so that 1,600 brokers
/// add no renewals to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    controls: BTreeMap<ControlName, ControlRecord>,
    brokers: BTreeMap<BrokerName, BrokerRecord>,
    departed: BTreeMap<BrokerName, DepartedBroker>,
}

impl Members {
    /// Control processes that hold a lease, by name.
    pub fn controls(&self) -> &BTreeMap<ControlName, ControlRecord> {
        &self.controls
    }

    /// Brokers that hold a lease, by name.
    pub fn brokers(&self) -> &BTreeMap<BrokerName, BrokerRecord> {
        &self.brokers
    }

    /// Departed brokers that may still be serving, by name.
    pub fn departed(&self) -> &BTreeMap<BrokerName, DepartedBroker> {
        &self.departed
    }

    /// Lowest revision in force at any live broker; `accepted` when no broker is live.
    pub fn in_force_everywhere(&self, accepted: Revision) -> Revision {
        self.brokers.values().map(|broker| broker.in_force).min().unwrap_or(accepted)
    }

    /// Live brokers that have not put `accepted` in force yet.
    pub fn lagging(
        &self,
        accepted: Revision,
    ) -> impl Iterator<Item = (&BrokerName, &BrokerRecord)> {
        self.brokers.iter().filter(move |(_, broker)| broker.in_force < accepted)
    }

    pub(super) fn renew_control(&mut self, now: WallTime, renewal: &ControlRenewal) {
        let lease_until = now.after(CONTROL_LEASE);
        let record = ControlRecord { renewal: renewal.clone(), lease_until };
        let previous = self.controls.insert(renewal.control.clone(), record);
        let same_run = previous.is_none_or(|previous| previous.renewal.run == renewal.run);
        let fed = self.brokers.values_mut().filter(|broker| broker.control == renewal.control);
        // A restarted control process feeds no broker yet: its brokers reconnect or expire.
        if same_run {
            fed.for_each(|broker| broker.lease_until = lease_until);
        }
    }

    pub(super) fn report_brokers(
        &mut self,
        now: WallTime,
        control: &ControlName,
        changes: &[BrokerChange],
    ) {
        changes.iter().for_each(|change| self.report_broker(now, control, change));
    }

    fn report_broker(&mut self, now: WallTime, control: &ControlName, change: &BrokerChange) {
        match change {
            BrokerChange::Follows { broker, run, placement, in_force } => {
                let known = self.brokers.get(broker).filter(|known| known.run == *run);
                let known = known.map_or(Revision(0), |known| known.in_force);
                let record = BrokerRecord {
                    run: *run,
                    placement: placement.clone(),
                    control: control.clone(),
                    in_force: known.max(*in_force),
                    lease_until: now.after(CONTROL_LEASE),
                };
                self.departed.remove(broker);
                self.brokers.insert(broker.clone(), record);
            }
            BrokerChange::Left { broker, run } => {
                let left = |known: &BrokerRecord| known.run == *run && known.control == *control;
                if self.brokers.get(broker).is_some_and(left) {
                    self.mark_departed(now, broker);
                }
            }
        }
    }

    pub(super) fn expire(&mut self, now: WallTime) {
        self.controls.retain(|_, control| control.lease_until > now);
        let is_expired = |(_, broker): &(&BrokerName, &BrokerRecord)| broker.lease_until <= now;
        let expired: Vec<BrokerName> =
            self.brokers.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        expired.iter().for_each(|broker| self.mark_departed(now, broker));
        self.departed.retain(|_, broker| broker.until > now);
    }

    fn mark_departed(&mut self, now: WallTime, broker: &BrokerName) {
        if let Some(record) = self.brokers.remove(broker) {
            let until = now.after(DEPARTED_RETENTION);
            let departed = DepartedBroker { placement: record.placement, until };
            self.departed.insert(broker.clone(), departed);
        }
    }

    pub(super) fn forget_removed(&mut self, now: WallTime, change: &Change) {
        match change {
            Change::RemoveBroker(broker) => self.mark_departed(now, broker),
            Change::RemoveControl(control) => {
                self.controls.remove(control);
            }
            _ => {}
        }
    }
}
