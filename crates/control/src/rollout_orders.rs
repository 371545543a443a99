//! Roll-out orders from the routes interface. They have no session, and operators resend them, also
//! to another control process, when no answer arrives.
//!
//! The replicated state recognizes a resent order. An order is therefore proposed unchanged, and
//! one that was accepted before is acknowledged again, whatever the state of its roll-out.

use std::time::Duration;

use gingerkeel_domain::catalog::{CatalogError, Change};
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRefusal};
use gingerkeel_domain::identifiers::{ServiceName, SoftwareVersion};
use gingerkeel_domain::rollout::{ExposureLimit, Rollout, RolloutError, RolloutOrder};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use quick_error::quick_error;

use crate::change_proposals::propose;
use crate::cluster_task::ClusterMessage;
use crate::replication::ReadError;
use crate::wall_clock::wall_time;

/// Time limit for an order or a read; after it the outcome is unknown.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Prefix of the session names of roll-out orders.
const SESSION_PREFIX: &str = "rollout-order";

quick_error! {
    /// Why an order was not acknowledged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RolloutOrderError {
        /// No route and no leaf names the service.
        UnknownService(service: ServiceName) {
            display("service {service} is not known to the routes or to the list of leaves: see SHOW ROUTES and SHOW DIRECTORY")
        }
        /// No service is known at all, for example right after a start.
        NoServiceYet(service: ServiceName) {
            display("no service is known yet, {service} neither: order again once there are routes")
        }
        /// All leaves of the service already run the target version.
        AlreadyRunning(service: ServiceName, target: SoftwareVersion) {
            display("all leaves of service {service} run version {target} already: there is nothing to roll out")
        }
        /// Another roll-out of the service is in progress.
        UnderWay(reason: String) {
            display("{reason}")
        }
        /// The catalog refuses the order.
        Refused(refusal: ChangeRefusal) {
            display("{refusal}")
        }
        /// It is unknown whether the order was accepted.
        Unknown {
            display("the outcome is unknown: send the order again")
        }
    }
}

/// What this process knows about the service of a roll-out order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// Whether a route or a leaf names the service.
    pub named: bool,
    /// Whether a route or a leaf names any service.
    pub names_any: bool,
    /// Whether the service has leaves and all of them run the target version.
    pub already_running: bool,
    /// Whether the same order was accepted before.
    pub accepted_before: bool,
}

/// Creates an order with the current wall-clock time.
pub fn order(
    service: ServiceName,
    target: SoftwareVersion,
    duration: Duration,
    limit: ExposureLimit,
) -> RolloutOrder {
    let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    RolloutOrder { service, target, duration_ms, limit, ordered_at_ms: wall_time().0 }
}

/// Checks an order against routes and leaves, to catch a mistyped service or a redundant version.
///
/// # Errors
/// A [`RolloutOrderError`] if the service is unknown or already runs the target version.
pub async fn check(
    order: &RolloutOrder,
    cluster: &Tx<ClusterMessage>,
) -> Result<(), RolloutOrderError> {
    let (reply, receiver) = oneshot::channel();
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::ReadService { order: order.clone(), reply });
    let view = receiver.await.map_err(|_| RolloutOrderError::Unknown)?;
    let service = order.service.clone();
    match view {
        ServiceView { accepted_before: true, .. } => Ok(()),
        ServiceView { named: false, names_any: false, .. } => {
            Err(RolloutOrderError::NoServiceYet(service))
        }
        ServiceView { named: false, .. } => Err(RolloutOrderError::UnknownService(service)),
        ServiceView { already_running: true, .. } => {
            Err(RolloutOrderError::AlreadyRunning(service, order.target.clone()))
        }
        ServiceView { .. } => Ok(()),
    }
}

/// Checks and proposes an order; after `Ok` it is durable.
///
/// # Errors
/// A [`RolloutOrderError`] if the order is refused or its outcome is unknown.
pub async fn carry_out(
    order: &RolloutOrder,
    cluster: &Tx<ClusterMessage>,
) -> Result<(), RolloutOrderError> {
    check(order, cluster).await?;
    let change = Change::BeginRollout(order.clone());
    let proposed = propose(change, None, SESSION_PREFIX, cluster);
    match timeout(ORDER_TIMEOUT, proposed).await {
        Ok(Ok(ChangeOutcome::Accepted { .. })) => Ok(()),
        Ok(Ok(ChangeOutcome::Refused(refusal))) => Err(match refusal {
            ChangeRefusal::Catalog(CatalogError::Rollout(error @ RolloutError::UnderWay(..))) => {
                RolloutOrderError::UnderWay(error.to_string())
            }
            refusal => RolloutOrderError::Refused(refusal),
        }),
        _ => Err(RolloutOrderError::Unknown),
    }
}

/// The newest roll-out of a service, confirmed by a quorum.
///
/// # Errors
/// A [`ReadError`] if no quorum confirmed it in time.
pub async fn read(
    service: ServiceName,
    cluster: &Tx<ClusterMessage>,
) -> Result<Option<Rollout>, ReadError> {
    let (reply, receiver) = oneshot::channel();
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::ReadRollout { service, reply });
    match timeout(ORDER_TIMEOUT, receiver).await {
        Ok(Ok(outcome)) => outcome,
        _ => Err(ReadError::NoQuorum),
    }
}
