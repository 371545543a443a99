//! Layouts of the catalog in former releases, for decoding their documents.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{CallerAccount, Catalog, ControlMember, LeafMap, MemberState, Service};
use crate::identifiers::{BrokerName, CallerName, ControlName, Revision, ServiceName, ZoneName};
use crate::rollout::Rollouts;

/// [`Catalog`] in a former layout; `Former` is the type of its roll-outs.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerCatalog<Former> {
    revision: Revision,
    services: BTreeMap<ServiceName, Arc<Service>>,
    leaves: LeafMap,
    callers: BTreeMap<CallerName, CallerAccount>,
    brokers: BTreeMap<BrokerName, MemberState>,
    controls: BTreeMap<ControlName, ControlMember>,
    evacuated: BTreeSet<ZoneName>,
    rollouts: Former,
}

/// The roll-outs of releases without them; occupies no bytes in a document.
#[derive(Debug, Serialize, Deserialize)]
pub struct NoRollouts;

impl From<NoRollouts> for Rollouts {
    fn from(_: NoRollouts) -> Self {
        Self::default()
    }
}

impl<Former: Into<Rollouts>> From<FormerCatalog<Former>> for Catalog {
    fn from(former: FormerCatalog<Former>) -> Self {
        Self {
            revision: former.revision,
            services: former.services,
            leaves: former.leaves,
            callers: former.callers,
            brokers: former.brokers,
            controls: former.controls,
            evacuated: former.evacuated,
            rollouts: former.rollouts.into(),
        }
    }
}
