//! How much of the quotas all brokers use together, as a control process knows it.

use std::collections::BTreeMap;

use super::usage::{PeerUsage, TenantLevel, UsageReport};
use crate::identifiers::{BrokerName, TenantName};
use crate::routes::TenantQuota;
use crate::time::Timestamp;

/// The use of quotas at one control process.
#[derive(Debug)]
pub struct UsageFold {
    run: u64,
    heard: BTreeMap<BrokerName, u64>,
}

impl UsageFold {
    /// A control process that has just started; `run` is drawn for each start.
    pub fn new(run: u64) -> Self {
        Self { run, heard: BTreeMap::new() }
    }

    /// Takes over the whole list of tenants. One that stays keeps its counts.
    pub fn configure(
        &mut self,
        now: Timestamp,
        tenants: impl Iterator<Item = (TenantName, TenantQuota)>,
    ) {
        let _ = (now, tenants);
    }

    /// A broker that this process feeds reports.
    pub fn report(&mut self, now: Timestamp, broker: &BrokerName, report: &UsageReport) {
        let _ = now;
        self.heard.insert(broker.clone(), report.sequence);
    }

    /// The control process on machine `control` tells its totals.
    pub fn peer(&mut self, now: Timestamp, control: u32, usage: &PeerUsage) {
        let _ = (now, control, usage);
    }

    /// The link to a broker is lost without a word (a time-out): it may be serving, and is presumed to
    /// go on.
    pub fn broker_gone(&mut self, now: Timestamp, broker: &BrokerName) {
        let _ = now;
        self.heard.remove(broker);
    }

    /// A broker has ended or turned to another control process: it said so, or its side closed the
    /// connection. Nothing is presumed of it.
    pub fn broker_stopped(&mut self, now: Timestamp, broker: &BrokerName) {
        self.broker_gone(now, broker);
    }

    /// The brokers of the replicated list of members, each with the machine number of the control process
    /// that feeds it; called whenever the list has changed.
    ///
    /// `serving` is the number of brokers alive and of those that left lately and may be cut off.
    pub fn members(
        &mut self,
        now: Timestamp,
        serving: usize,
        fed_by: impl Iterator<Item = (BrokerName, u32)>,
    ) {
        let _ = (now, serving, fed_by);
    }

    /// The other control processes, by machine number; called whenever they have changed.
    pub fn set_peers(&mut self, now: Timestamp, controls: impl Iterator<Item = u32>) {
        let _ = (now, controls);
    }

    /// What the other control processes are to be told, each 100 ms; an empty message tells them that
    /// this process is there.
    pub fn for_peers(&mut self, now: Timestamp) -> Option<PeerUsage> {
        let _ = (now, self.run);
        None
    }

    /// What the brokers that this process feeds are to be told, each 100 ms, the most pressing first.
    /// An empty list is sent as well: a broker that hears nothing takes itself for cut off. Nothing is
    /// sent to brokers before [`Self::is_informed`].
    pub fn for_brokers(&mut self, now: Timestamp) -> Vec<TenantLevel> {
        let _ = now;
        Vec::new()
    }

    /// The last report of `broker` that is contained; 0 for none.
    pub fn heard(&self, broker: &BrokerName) -> u64 {
        self.heard.get(broker).copied().unwrap_or(0)
    }

    /// Whether this process knows enough of the other brokers to tell levels.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        let _ = now;
        true
    }
}
