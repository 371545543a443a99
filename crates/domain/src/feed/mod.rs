//! The broker's side of its feed: the catalog in force and the lease that bounds its use.

mod back_off;
mod brokers;
mod charge_reporter;
mod control_health;
mod follower;
mod nearest;
mod overload_reporter;

pub use back_off::BackOff;
pub use brokers::{BrokerList, BrokerListDelta, KnownBroker};
pub use charge_reporter::{ChargeReporter, ChargeTotals, RunReport};
pub use control_health::ControlHealth;
pub use follower::{
    FeedFault, FollowerEffect, FollowerEvent, FollowerSettings, FollowerState, LeaseGrant,
};
pub use nearest::{Acceptance, NearestControl};
pub use overload_reporter::OverloadReporter;
