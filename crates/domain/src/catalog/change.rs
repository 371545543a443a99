//! Changes that operators make to the catalog.

use serde::{Deserialize, Serialize};

use super::{CallerAccount, ClassPolicy, Leaf, LeafState};
use crate::identifiers::{CallerName, IndexVersion, LeafId, ServiceName, ShardId};

/// One change; applied whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a leaf.
    AddLeaf(Leaf),
    /// Drains a leaf or takes it back.
    SetLeafState {
        /// The leaf.
        leaf: LeafId,
        /// Its new state.
        state: LeafState,
    },
    /// Removes a leaf from the catalog and from every partition map.
    RemoveLeaf(LeafId),
    /// Defines a service, or changes its concurrency.
    DefineService {
        /// The service.
        service: ServiceName,
        /// Queries that one broker runs at the same time.
        concurrency: u32,
    },
    /// Defines or replaces a class of a service.
    DefineClass {
        /// The service.
        service: ServiceName,
        /// The class.
        policy: ClassPolicy,
    },
    /// Sets the replicas of a shard in the newest partition map.
    AssignShard {
        /// The service.
        service: ServiceName,
        /// The shard.
        shard: ShardId,
        /// All its replicas.
        leaves: Vec<LeafId>,
    },
    /// Starts a new partition map; queries use it from the next publication on.
    Repartition {
        /// The service.
        service: ServiceName,
        /// How many shards the new map has.
        shards: u32,
    },
    /// Publishes an index version over the newest partition map.
    PublishVersion {
        /// The service.
        service: ServiceName,
        /// The version that new queries read.
        version: IndexVersion,
    },
    /// Defines or replaces a caller's account.
    DefineCaller {
        /// The caller.
        caller: CallerName,
        /// The account.
        account: CallerAccount,
    },
}
