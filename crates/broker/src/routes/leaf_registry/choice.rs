//! Selection of the leaf to which a request is sent.

use gingerkeel_domain::directory::ListedLeaf;
use gingerkeel_domain::forwarding::{Connectivity, Exclusion, NoLeafReason, Selection};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName};
use gingerkeel_domain::rollout::{VersionRule, VersionRules};
use gingerkeel_domain::routes::{Route, Tenant};

use super::LeafRegistry;
use crate::routes::known_leaves::{Leaves, ServiceLimits};

/// The request for which a leaf is selected.
pub struct RequestContext<'request> {
    /// The route of the request.
    pub route: &'request Route,
    /// The tenant that sent it, where that is known.
    pub tenant: Option<&'request Tenant>,
    /// The service whose leaves are considered.
    pub service: &'request ServiceName,
}

impl LeafRegistry {
    /// Selects a leaf that has not been tried, by the first version rule that leaves a candidate.
    pub fn choose(
        &self,
        context: &RequestContext<'_>,
        versions: &VersionRules,
        limits: ServiceLimits,
        tried: &[LeafIdentity],
    ) -> Selection {
        let mut selection = Selection::NoLeaf(NoLeafReason::NoneListed);
        for rule in versions.in_order() {
            selection = self.choose_of_versions(context, rule, limits, tried);
            if !matches!(selection, Selection::NoLeaf(_)) {
                break;
            }
        }
        selection
    }

    fn choose_of_versions(
        &self,
        context: &RequestContext<'_>,
        versions: &VersionRule,
        limits: ServiceLimits,
        tried: &[LeafIdentity],
    ) -> Selection {
        let leaves = self.leaves.borrow();
        let Some(state) = leaves.services.get(context.service) else {
            return Selection::NoLeaf(NoLeafReason::NoneListed);
        };
        let reach = |leaf: &LeafIdentity| match leaves.directory.leaves().get(leaf) {
            Some(leaf) if !versions.allows(&leaf.version) => Err(Exclusion::VersionHeldBack),
            Some(leaf) => self.reach(&leaves, context, limits, leaf),
            None => Ok(Connectivity::Exhausted),
        };
        let settings = &self.replica_settings;
        state.replicas.choose(self.clock.now(), settings, tried, reach, || self.draw())
    }

    /// How a leaf can be reached, or why the request must not be sent to it.
    fn reach(
        &self,
        leaves: &Leaves,
        context: &RequestContext<'_>,
        limits: ServiceLimits,
        leaf: &ListedLeaf,
    ) -> Result<Connectivity, Exclusion> {
        if !context.route.allows_region(context.tenant, self.region(leaf)) {
            return Err(Exclusion::RegionNotAllowed);
        }
        if self.evacuated.borrow().contains(&leaf.zone) {
            return Err(Exclusion::ZoneEvacuated);
        }
        if !self.is_within_cold_rate(leaves, limits, leaf) {
            return Err(Exclusion::ColdRateSpent);
        }
        Ok(self.connectivity(leaves, limits.connections, leaf))
    }
}
