//! Bytes of the feeds by what they are for.

use serde::Serialize;

use crate::relay::RelayedBytes;

/// Kinds of frames from control to a broker, as the first byte of their body.
pub mod to_broker {
    /// A whole catalog.
    pub const FULL_CATALOG: u8 = 1;
    /// A change.
    pub const CHANGE: u8 = 2;
    /// A freshness lease.
    pub const LEASE: u8 = 4;
    /// What changed among the brokers.
    pub const BROKERS: u8 = 5;
    /// Leaves that are leaving.
    pub const LEAVING: u8 = 6;
    /// A receipt for charges.
    pub const CHARGES_RECORDED: u8 = 7;
    /// A settled run.
    pub const RUN_SETTLED: u8 = 8;
    /// The lowest class admitted.
    pub const THRESHOLD: u8 = 9;
}

/// Kinds of frames from a broker to control, as the first byte of their body.
pub mod from_broker {
    /// The subscription.
    pub const SUBSCRIBE: u8 = 1;
    /// A renewal of the lease.
    pub const RENEW: u8 = 2;
    /// A revision is in force.
    pub const IN_FORCE: u8 = 3;
    /// Charges.
    pub const CHARGES: u8 = 4;
    /// Load and refusals.
    pub const OVERLOAD: u8 = 5;
}

/// Bytes, or a rate of bytes, by purpose and direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct FeedBytes {
    /// Whole catalogs to brokers.
    pub full_copies: f64,
    /// Changes to brokers.
    pub deltas: f64,
    /// Leases to brokers.
    pub leases: f64,
    /// Lists of brokers to brokers.
    pub broker_list: f64,
    /// Leaves that are leaving, to brokers.
    pub leaving: f64,
    /// Receipts for charges to brokers.
    pub charge_receipts: f64,
    /// Lowest classes admitted, to brokers.
    pub thresholds: f64,
    /// Subscriptions from brokers.
    pub subscriptions: f64,
    /// Renewals of leases from brokers.
    pub renewals: f64,
    /// Revisions in force from brokers.
    pub in_force: f64,
    /// Charges from brokers.
    pub charges: f64,
    /// Load and refusals from brokers.
    pub overload: f64,
}

impl FeedBytes {
    /// What passed a relay.
    pub fn of(bytes: &RelayedBytes) -> Self {
        let down = |kind| bytes.kinds_from_target.of(kind) as f64;
        let up = |kind| bytes.kinds_to_target.of(kind) as f64;
        Self {
            full_copies: down(to_broker::FULL_CATALOG),
            deltas: down(to_broker::CHANGE),
            leases: down(to_broker::LEASE),
            broker_list: down(to_broker::BROKERS),
            leaving: down(to_broker::LEAVING),
            charge_receipts: down(to_broker::CHARGES_RECORDED) + down(to_broker::RUN_SETTLED),
            thresholds: down(to_broker::THRESHOLD),
            subscriptions: up(from_broker::SUBSCRIBE),
            renewals: up(from_broker::RENEW),
            in_force: up(from_broker::IN_FORCE),
            charges: up(from_broker::CHARGES),
            overload: up(from_broker::OVERLOAD),
        }
    }

    /// Combines two field by field.
    pub fn combine(&self, other: &Self, with: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            full_copies: with(self.full_copies, other.full_copies),
            deltas: with(self.deltas, other.deltas),
            leases: with(self.leases, other.leases),
            broker_list: with(self.broker_list, other.broker_list),
            leaving: with(self.leaving, other.leaving),
            charge_receipts: with(self.charge_receipts, other.charge_receipts),
            thresholds: with(self.thresholds, other.thresholds),
            subscriptions: with(self.subscriptions, other.subscriptions),
            renewals: with(self.renewals, other.renewals),
            in_force: with(self.in_force, other.in_force),
            charges: with(self.charges, other.charges),
            overload: with(self.overload, other.overload),
        }
    }

    /// What came since `before`, for each of `parts`: brokers, or brokers times seconds.
    pub fn since(&self, before: &Self, parts: f64) -> Self {
        self.combine(before, |after, before| (after - before) / parts)
    }
}
