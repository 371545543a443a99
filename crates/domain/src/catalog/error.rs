//! Reasons why a change is not accepted.

use quick_error::quick_error;

use crate::identifiers::{ClassName, IndexVersion, LeafId, ServiceName};

quick_error! {
    /// A change that the catalog refuses; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CatalogError {
        /// The service is not defined.
        UnknownService(service: ServiceName) {
            display("service {service} is not defined: list services with SHOW SERVICES, or DEFINE SERVICE first")
        }
        /// The leaf is not in the catalog.
        UnknownLeaf(leaf: LeafId) {
            display("leaf {leaf} is not known: list leaves with SHOW LEAVES, or ADD LEAF first")
        }
        /// A leaf of this number exists.
        LeafExists(leaf: LeafId) {
            display("leaf {leaf} exists: choose another number, or REMOVE LEAF {leaf} first")
        }
        /// Two classes of a service may not share a priority.
        PriorityTaken(priority: u8, holder: ClassName) {
            display("priority {priority} is held by class {holder}: choose another priority")
        }
        /// Index versions only grow.
        VersionNotNewer(offered: IndexVersion, published: IndexVersion) {
            display("version {offered} is not newer than the published {published}: publish a greater number")
        }
        /// A snapshot is published only when every shard has a replica.
        ShardsUnassigned(shards: String) {
            display("shards without a leaf: [{shards}], or no shards at all: ASSIGN SHARD for each before PUBLISH")
        }
    }
}
