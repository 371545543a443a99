//! Types of parsed statements.

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::identifiers::{CallerName, Revision, ServiceName};

/// Subject of a `SHOW` statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// Services and their published snapshots.
    Services,
    /// Classes of one service or of all services.
    Classes(Option<ServiceName>),
    /// Leaves, their states and their health.
    Leaves,
    /// Callers and their accounts.
    Callers,
    /// Brokers and the revisions that they have in force.
    Brokers,
    /// Control processes and their states.
    Controls,
    /// Charges by caller and class, of one caller or of all callers.
    Charges(Option<CallerName>),
    /// Shards and their replicas in the newest partition map.
    Shards(Option<ServiceName>),
    /// Retained published index versions, of one service or of all services.
    Versions(Option<ServiceName>),
    /// Routes of the accepted configuration.
    Routes,
    /// Tenants of the accepted configuration.
    Tenants,
    /// Leaves of the external directory.
    Directory,
    /// Zones: whether they are evacuated, and how many brokers lag behind the latest order.
    Zones,
    /// Roll-outs and the replies that decided them.
    Rollouts,
    /// Requests that are refused because they crash leaves.
    RefusedRequests,
    /// Summary of the cluster's state.
    Status,
    /// The accepted revision, the revision in force at all brokers, and the brokers that lag.
    Revision,
    /// The most recently accepted changes.
    Changes,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A query that changes nothing.
    Show(Subject),
    /// A change of the catalog.
    Change {
        /// The change.
        change: Change,
        /// The revision that the change was made against, if stated; checked for conflicts.
        based_on: Option<Revision>,
    },
}

impl Statement {
    /// Creates a change without a base revision.
    pub fn change(change: Change) -> Self {
        Self::Change { change, based_on: None }
    }
}
