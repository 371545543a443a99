//! Orders from the routes interface that evacuate or restore a zone. They have no session, and
//! operators resend them, also to another control process, when no answer arrives.
//!
//! A delayed order must not undo a later one. It is therefore based on the revision that this
//! process held when it arrived, and accepted only if no other order of the zone was accepted
//! since. As long as its sender is sure to wait here, a conflicting order is retried against the
//! newest revision; after that it fails as superseded.

use std::time::{Duration, Instant};

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRefusal};
use gingerkeel_domain::identifiers::{Revision, ZoneName};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use quick_error::quick_error;

use crate::change_proposals::{OutcomeUnknown, propose};
use crate::cluster_task::{ClusterMessage, ZoneView};
use crate::configured_zones::ConfiguredZones;

/// Time for which the sender of an order is sure to wait for its answer. Operators' tools turn to
/// another control process after 1 s.
const RETRY_WINDOW: Duration = Duration::from_millis(800);
/// Time limit for an order; after it the outcome is unknown.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Prefix of the session names of zone orders.
const SESSION_PREFIX: &str = "zone-order";

quick_error! {
    /// Why an order was not acknowledged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ZoneOrderError {
        /// No zone of this name is known.
        UnknownZone(zone: ZoneName) {
            display("zone {zone} is not known: list zones with SHOW ZONES")
        }
        /// No zone is known at all, for example right after a start.
        NoZoneYet(zone: ZoneName) {
            display("no zone is known yet, {zone} neither: list zones with SHOW ZONES, and order again once there are some")
        }
        /// The catalog refuses the change.
        Refused(refusal: ChangeRefusal) {
            display("{refusal}")
        }
        /// A later order of the zone was accepted first; this one changed nothing.
        Superseded(zone: ZoneName) {
            display("a later order of zone {zone} was accepted first: look at it, then order again")
        }
        /// It is unknown whether the order was accepted.
        Unknown {
            display("the outcome is unknown: send the order again")
        }
    }
}

/// An order to evacuate or to restore a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: ZoneName,
    /// True to stop new requests to the leaves of the zone, false to restore it.
    pub evacuate: bool,
}

impl ZoneOrder {
    fn change(&self) -> Change {
        match self.evacuate {
            true => Change::EvacuateZone(self.zone.clone()),
            false => Change::RestoreZone(self.zone.clone()),
        }
    }
}

/// Checks that the settings or the replicated state know the zone of an evacuation.
///
/// # Errors
/// [`ZoneOrderError::UnknownZone`], or [`ZoneOrderError::NoZoneYet`] if no zone is known at all: a
/// process that has just started must not refuse a valid order as final.
pub async fn check_zone(
    zone: &ZoneName,
    zones: &ConfiguredZones,
    cluster: &Tx<ClusterMessage>,
) -> Result<(), ZoneOrderError> {
    if zones.has_zone(zone) {
        return Ok(());
    }
    let view = read_zone(zone, cluster).await?;
    match view.named {
        true => Ok(()),
        false if zones.is_empty() && !view.names_any => {
            Err(ZoneOrderError::NoZoneYet(zone.clone()))
        }
        false => Err(ZoneOrderError::UnknownZone(zone.clone())),
    }
}

/// Proposes an order until it is settled; after `Ok` it is durable.
///
/// # Errors
/// A [`ZoneOrderError`]; only an unknown zone and a refusal are final, others may be retried.
pub async fn carry_out(
    order: &ZoneOrder,
    cluster: &Tx<ClusterMessage>,
) -> Result<(), ZoneOrderError> {
    match timeout(ORDER_TIMEOUT, propose_until_settled(order, cluster)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(ZoneOrderError::Unknown),
    }
}

async fn propose_until_settled(
    order: &ZoneOrder,
    cluster: &Tx<ClusterMessage>,
) -> Result<(), ZoneOrderError> {
    let received_at = Instant::now();
    loop {
        let based_on = read_zone(&order.zone, cluster).await?.revision;
        let refusal = match propose_at(order, based_on, cluster).await? {
            ChangeOutcome::Accepted { .. } => return Ok(()),
            ChangeOutcome::Refused(refusal) => refusal,
        };
        if !is_revision_conflict(&refusal) {
            return Err(ZoneOrderError::Refused(refusal));
        }
        if read_zone(&order.zone, cluster).await?.evacuated == order.evacuate {
            return Ok(());
        }
        if received_at.elapsed() >= RETRY_WINDOW {
            return Err(ZoneOrderError::Superseded(order.zone.clone()));
        }
    }
}

/// Proposes the order against one revision.
async fn propose_at(
    order: &ZoneOrder,
    based_on: Revision,
    cluster: &Tx<ClusterMessage>,
) -> Result<ChangeOutcome, ZoneOrderError> {
    let proposed = propose(order.change(), Some(based_on), SESSION_PREFIX, cluster).await;
    proposed.map_err(|OutcomeUnknown| ZoneOrderError::Unknown)
}

/// Whether an order failed only because of the revision that it was based on.
fn is_revision_conflict(refusal: &ChangeRefusal) -> bool {
    matches!(
        refusal,
        ChangeRefusal::Conflict(..)
            | ChangeRefusal::RevisionAhead(..)
            | ChangeRefusal::RevisionForgotten(..)
    )
}

async fn read_zone(
    zone: &ZoneName,
    cluster: &Tx<ClusterMessage>,
) -> Result<ZoneView, ZoneOrderError> {
    let (reply, receiver) = oneshot::channel();
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::ReadZone { zone: zone.clone(), reply });
    receiver.await.map_err(|_| ZoneOrderError::Unknown)
}
