//! Checks and completes orders with settings that are not part of the replicated state.

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::rollout::ExposureLimit;
use local_sync::mpsc::unbounded::Tx;

use crate::cluster_task::ClusterMessage;
use crate::configured_zones::ConfiguredZones;
use crate::rollout_orders;
use crate::zone_orders::check_zone;

/// Settings of this process that apply to orders.
pub struct OrderChecks {
    /// The configured zones with their regions.
    pub zones: ConfiguredZones,
    /// Maximum exposure of requests to a version on trial.
    pub limit: ExposureLimit,
}

impl OrderChecks {
    /// Refuses an order that names an unknown zone or service, and adds the fields that its
    /// statement leaves out, such as the exposure limit.
    ///
    /// # Errors
    /// Why the change is refused, with the remedy.
    pub async fn complete(
        &self,
        change: Change,
        cluster: &Tx<ClusterMessage>,
    ) -> Result<Change, String> {
        match change {
            Change::EvacuateZone(zone) => {
                let known = check_zone(&zone, &self.zones, cluster).await;
                known.map(|()| Change::EvacuateZone(zone)).map_err(|error| error.to_string())
            }
            Change::BeginRollout(stated) => {
                let within = stated.duration();
                let order =
                    rollout_orders::order(stated.service, stated.target, within, self.limit);
                let checked = rollout_orders::check(&order, cluster).await;
                checked.map(|()| Change::BeginRollout(order)).map_err(|error| error.to_string())
            }
            change => Ok(change),
        }
    }
}
