//! Statements as types.

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::identifiers::{CallerName, Revision, ServiceName};

/// What a look-up shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// Services and their snapshots.
    Services,
    /// Classes, of one service or of all.
    Classes(Option<ServiceName>),
    /// Leaves, their states and their health.
    Leaves,
    /// Callers' accounts.
    Callers,
    /// Brokers and the revisions that they have in force.
    Brokers,
    /// Control processes.
    Controls,
    /// Charges by caller and class, of one caller or of all.
    Charges(Option<CallerName>),
    /// Shards and their replicas in the newest partition map.
    Shards(Option<ServiceName>),
    /// Published index versions that are retained.
    Versions(Option<ServiceName>),
    /// Routes of the configuration accepted.
    Routes,
    /// Tenants of the configuration accepted.
    Tenants,
    /// Leaves of the outside directory.
    Directory,
    /// Zones, whether they are evacuated, and who has that in force.
    Zones,
    /// Roll-outs, and the answers by which they were decided.
    Rollouts,
    /// Requests that are refused because leaves crash under them.
    RefusedRequests,
    /// The state of the cluster in short.
    Status,
    /// The revision accepted, that in force everywhere, and the brokers that lag.
    Revision,
    /// The last accepted changes.
    Changes,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A look-up.
    Show(Subject),
    /// A change of the catalog.
    Change {
        /// The change.
        change: Change,
        /// The revision that it was made against, if it names one.
        based_on: Option<Revision>,
    },
}

impl Statement {
    /// A change that names no revision.
    pub fn change(change: Change) -> Self {
        Self::Change { change, based_on: None }
    }
}
