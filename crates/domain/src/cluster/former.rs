//! The replicated state as former releases laid it out: before refused requests, before roll-outs, and before tenants.
//!
//! Documents of the log do not describe themselves, so that what was written by other types has to be
//! read by them. Nothing is written by these any more.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    Charges, ClusterState, History, LeafHints, LogIndex, Members, OverloadAggregator,
    RefusedRequests, RolloutEvidence, Sessions, Thresholds, WallTime,
};
use crate::catalog::{FormerCatalog, NoRollouts};
use crate::directory::{FormerLeafDirectory, LeafDirectory};
use crate::rollout::{FormerRollouts, Rollouts};
use crate::routes::{
    AcceptedRoutes, BackEndService, CallerLimits, Destination, RegionPolicy, Route,
    RouteConfiguration, RouteState, RouteVersion,
};

/// A configuration with the operator's own text of it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerAcceptedRoutes {
    configuration: FormerConfiguration,
    document: Vec<u8>,
}

impl fmt::Debug for FormerAcceptedRoutes {
    /// Without the document, which may tell keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FormerAcceptedRoutes")
            .field("configuration", &self.configuration)
            .field("document_bytes", &self.document.len())
            .finish()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FormerConfiguration {
    version: RouteVersion,
    routes: Vec<FormerRoute>,
    services: Vec<BackEndService>,
    limits: CallerLimits,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FormerRoute {
    name: String,
    host: String,
    path_prefix: String,
    repeatable: bool,
    timeout_ms: u64,
    target_latency_ms: u64,
    priority: u32,
    attempts: u32,
    destination: Destination,
    allowed_regions: RegionPolicy,
}

/// The routes of releases that knew no tenants.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerRouteState {
    current: Option<FormerAcceptedRoutes>,
}

/// The state of the control tier of releases that knew no tenants.
pub type StateWithoutTenants =
    FormerClusterState<NoRollouts, FormerRouteState, FormerLeafDirectory, NoRollouts>;
/// The state of the control tier of releases that knew no roll-outs.
pub type StateWithoutRollouts =
    FormerClusterState<NoRollouts, RouteState, FormerLeafDirectory, NoRollouts>;
/// The state of the control tier of releases that kept no refused requests.
pub type StateWithoutRefusedRequests =
    FormerClusterState<FormerRollouts, RouteState, LeafDirectory, RolloutEvidence>;

/// The state of the control tier of a former release, by how it laid out roll-outs, routes, the list of leaves and what
/// was reported of roll-outs.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerClusterState<Rollouts, Routes, Directory, Evidence> {
    applied: LogIndex,
    now: WallTime,
    catalog: FormerCatalog<Rollouts>,
    history: History,
    sessions: Sessions,
    members: Members,
    leaf_hints: LeafHints,
    charges: Charges,
    thresholds: Thresholds,
    overload: OverloadAggregator,
    routes: Routes,
    directory: Directory,
    rollout_evidence: Evidence,
}

impl FormerAcceptedRoutes {
    /// Its version.
    pub fn version(&self) -> RouteVersion {
        self.configuration.version
    }
}

impl From<FormerRoute> for Route {
    fn from(former: FormerRoute) -> Self {
        Self {
            name: former.name,
            host: former.host,
            path_prefix: former.path_prefix,
            repeatable: former.repeatable,
            timeout_ms: former.timeout_ms,
            target_latency_ms: former.target_latency_ms,
            priority: former.priority,
            attempts: former.attempts,
            destination: former.destination,
            allowed_regions: former.allowed_regions,
            public: false,
        }
    }
}

impl From<FormerAcceptedRoutes> for AcceptedRoutes {
    fn from(former: FormerAcceptedRoutes) -> Self {
        let configuration = RouteConfiguration {
            version: former.configuration.version,
            routes: former.configuration.routes.into_iter().map(Route::from).collect(),
            services: former.configuration.services,
            limits: former.configuration.limits,
            tenants: Vec::new(),
        };
        Self { configuration, document: former.document }
    }
}

impl From<FormerRouteState> for RouteState {
    fn from(former: FormerRouteState) -> Self {
        Self::of(former.current.map(|routes| Arc::new(routes.into())))
    }
}

impl From<NoRollouts> for RolloutEvidence {
    fn from(_: NoRollouts) -> Self {
        Self::default()
    }
}

impl<Former, Routes, Directory, Evidence>
    From<FormerClusterState<Former, Routes, Directory, Evidence>> for ClusterState
where
    Former: Into<Rollouts>,
    Routes: Into<RouteState>,
    Directory: Into<LeafDirectory>,
    Evidence: Into<RolloutEvidence>,
{
    fn from(former: FormerClusterState<Former, Routes, Directory, Evidence>) -> Self {
        Self {
            applied: former.applied,
            now: former.now,
            catalog: former.catalog.into(),
            history: former.history,
            sessions: former.sessions,
            members: former.members,
            leaf_hints: former.leaf_hints,
            charges: former.charges,
            thresholds: former.thresholds,
            overload: former.overload,
            routes: former.routes.into(),
            directory: former.directory.into(),
            rollout_evidence: former.rollout_evidence.into(),
            refused_requests: RefusedRequests::default(),
        }
    }
}
