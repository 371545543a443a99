//! Control processes and brokers: leases, places and revisions in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WallTime;
use crate::catalog::{Change, Placement};
use crate::identifiers::{BrokerName, ControlName, Revision};

/// How long a control process counts as live after its last renewal; renewed every second or two.
pub const CONTROL_LEASE: Duration = Duration::from_secs(10);

/// How long a broker that is gone counts among those that may still be serving: a broker that is only
/// cut off goes on with what it has, and cuts between regions last for minutes.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(3_600);

/// A control process says that it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRenewal {
    /// Its name.
    pub control: ControlName,
    /// Number of its run, drawn at start.
    pub run: u64,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where brokers reach it.
    pub feed: SocketAddr,
}

/// A control process that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Its last renewal.
    pub renewal: ControlRenewal,
    /// When the lease ends.
    pub lease_until: WallTime,
}

/// What changed about a broker, as the control process sees it that feeds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BrokerChange {
    /// It subscribed, or put another revision in force.
    Follows {
        /// The broker.
        broker: BrokerName,
        /// Number of its run, drawn at start.
        run: u64,
        /// Where it runs.
        placement: Placement,
        /// The revision that it has in force.
        in_force: Revision,
    },
    /// Its link is lost, and it has not come back within its lease.
    Left {
        /// The broker.
        broker: BrokerName,
        /// Number of the run that left.
        run: u64,
    },
}

/// A broker that follows the catalog.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokerRecord {
    /// Number of its run.
    pub run: u64,
    /// Where it runs.
    pub placement: Placement,
    /// The control process that feeds it.
    pub control: ControlName,
    /// The revision that it has in force.
    pub in_force: Revision,
    /// When it counts as gone unless its control process renews its own lease.
    pub lease_until: WallTime,
}

/// A broker whose lease is over. It may be cut off and still serve its callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedBroker {
    /// Where it ran.
    pub placement: Placement,
    /// When it is forgotten.
    pub until: WallTime,
}

/// All control processes and brokers that hold a lease, and the brokers that held one lately.
///
/// A broker's lease is that of the control process that feeds it: 1,600 brokers cost the log no
/// renewals of their own.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    controls: BTreeMap<ControlName, ControlRecord>,
    brokers: BTreeMap<BrokerName, BrokerRecord>,
    departed: BTreeMap<BrokerName, DepartedBroker>,
}

impl Members {
    /// Live control processes by name.
    pub fn controls(&self) -> &BTreeMap<ControlName, ControlRecord> {
        &self.controls
    }

    /// Live brokers by name.
    pub fn brokers(&self) -> &BTreeMap<BrokerName, BrokerRecord> {
        &self.brokers
    }

    /// Brokers that are gone and may still be serving, by name.
    pub fn departed(&self) -> &BTreeMap<BrokerName, DepartedBroker> {
        &self.departed
    }

    /// The revision that every live broker has in force; `accepted` when there is none.
    pub fn in_force_everywhere(&self, accepted: Revision) -> Revision {
        self.brokers.values().map(|broker| broker.in_force).min().unwrap_or(accepted)
    }

    /// Brokers that have not put `accepted` in force, by name.
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
        // A control process that restarted feeds nobody yet: its brokers come back or expire.
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
                    self.depart(now, broker);
                }
            }
        }
    }

    pub(super) fn expire(&mut self, now: WallTime) {
        self.controls.retain(|_, control| control.lease_until > now);
        let over = |(_, broker): &(&BrokerName, &BrokerRecord)| broker.lease_until <= now;
        let gone: Vec<BrokerName> =
            self.brokers.iter().filter(over).map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|broker| self.depart(now, broker));
        self.departed.retain(|_, broker| broker.until > now);
    }

    fn depart(&mut self, now: WallTime, broker: &BrokerName) {
        if let Some(record) = self.brokers.remove(broker) {
            let until = now.after(DEPARTED_RETENTION);
            let departed = DepartedBroker { placement: record.placement, until };
            self.departed.insert(broker.clone(), departed);
        }
    }

    pub(super) fn forget_removed(&mut self, now: WallTime, change: &Change) {
        match change {
            Change::RemoveBroker(broker) => self.depart(now, broker),
            Change::RemoveControl(control) => {
                self.controls.remove(control);
            }
            _ => {}
        }
    }
}
