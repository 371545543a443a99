//! The configuration of routes as control processes agree on it.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::{RouteConfiguration, RouteVersion};
use crate::directory::{LeafDirectory, ListedLeaf};
use crate::identifiers::ServiceName;

/// A configuration with the operator's own text of it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRoutes {
    /// The configuration.
    pub configuration: RouteConfiguration,
    /// The document by which the operator sent it, given back to readers to the letter.
    pub document: Vec<u8>,
}

impl fmt::Debug for AcceptedRoutes {
    /// Without the document, which tells the keys of tenants.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AcceptedRoutes")
            .field("configuration", &self.configuration)
            .field("document_bytes", &self.document.len())
            .finish()
    }
}

impl AcceptedRoutes {
    /// Whether a route names a service of which a list has no leaf.
    pub fn names_unlisted_service(&self, directory: &LeafDirectory) -> bool {
        let listed: BTreeSet<&ServiceName> =
            directory.leaves().values().map(|leaf| &leaf.service).collect();
        let routes = self.configuration.routes.iter();
        let named = routes.flat_map(|route| route.destination.services());
        named.into_iter().any(|service| !listed.contains(service))
    }
}

/// What became of a replacement; both are acknowledged to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// It is the configuration now.
    Accepted,
    /// One of this or a higher version was accepted before; nothing changed.
    Superseded(RouteVersion),
    /// It is not valid; nothing changed.
    Invalid,
}

/// The configuration of the highest version accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteState {
    current: Option<Arc<AcceptedRoutes>>,
}

impl RouteState {
    /// With this configuration accepted, or none.
    pub(crate) fn of(current: Option<Arc<AcceptedRoutes>>) -> Self {
        Self { current }
    }

    /// The configuration, if one was accepted.
    pub fn current(&self) -> Option<&Arc<AcceptedRoutes>> {
        self.current.as_ref()
    }

    /// Its version; 0 when there is none.
    pub fn version(&self) -> RouteVersion {
        self.current.as_ref().map_or(RouteVersion(0), |routes| routes.configuration.version)
    }

    /// Takes out of a list that leaves are cold where their service does not limit what cold leaves get:
    /// nothing follows from it, and hundreds of leaves that turn warm together are a large change of the
    /// list for every broker. Over 291 brokers it cost 0.04 of the credit on a simulated day whose index was cut
    /// anew.
    pub fn clear_unlimited_cold_starts(&self, listed: &mut [ListedLeaf]) {
        let services = self.current.iter().flat_map(|routes| &routes.configuration.services);
        let limited: BTreeSet<&ServiceName> = services
            .filter(|service| service.cold_start.is_limited())
            .map(|service| &service.name)
            .collect();
        for leaf in listed.iter_mut().filter(|leaf| !limited.contains(&leaf.service)) {
            leaf.cold_ms = 0;
        }
    }

    /// Replaces the configuration by one of a higher version.
    pub fn replace(&mut self, newer: &Arc<AcceptedRoutes>) -> ReplaceOutcome {
        if self.current.is_some() && newer.configuration.version <= self.version() {
            return ReplaceOutcome::Superseded(self.version());
        }
        if newer.configuration.validate().is_err() {
            return ReplaceOutcome::Invalid;
        }
        self.current = Some(newer.clone());
        ReplaceOutcome::Accepted
    }
}
