//! Replicated state in the layouts of earlier releases: without refused requests, roll-outs or
//! tenants.
//!
//! The storage format is not self-describing, so documents have to be decoded with the types that
//! wrote them. These types are only read, never written.

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

/// An accepted route configuration in the earlier layout, with the operator's document.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerAcceptedRoutes {
    configuration: FormerConfiguration,
    document: Vec<u8>,
}

impl fmt::Debug for FormerAcceptedRoutes {
    /// Omits the document, which may contain keys.
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

/// Route state of releases without tenants.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerRouteState {
    current: Option<FormerAcceptedRoutes>,
}

/// Replicated state of releases without tenants.
pub type StateWithoutTenants =
    FormerClusterState<NoRollouts, FormerRouteState, FormerLeafDirectory, NoRollouts>;
/// Replicated state of releases without roll-outs.
pub type StateWithoutRollouts =
    FormerClusterState<NoRollouts, RouteState, FormerLeafDirectory, NoRollouts>;
/// Replicated state of releases without refused requests.
pub type StateWithoutRefusedRequests =
    FormerClusterState<FormerRollouts, RouteState, LeafDirectory, RolloutEvidence>;

/// Replicated state of an earlier release, generic over its layouts of roll-outs, routes, the list
/// of leaves and the roll-out evidence.
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
    /// Version of the route configuration.
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
