//! Reasons why a change is not accepted.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::crash_suspects::RequestDigest;
use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, ServiceName, ShardId,
};
use crate::rollout::RolloutError;

quick_error! {
    /// A change that the catalog refuses; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
        /// The service has no class of this name.
        UnknownClass(service: ServiceName, class: ClassName) {
            display("service {service} has no class {class}: list classes with SHOW CLASSES, or DEFINE CLASS first")
        }
        /// No account has this name.
        UnknownCaller(caller: CallerName) {
            display("caller {caller} has no account: list accounts with SHOW CALLERS, or DEFINE CALLER first")
        }
        /// A shard names a leaf twice.
        DuplicateReplica(shard: ShardId, leaf: LeafId) {
            display("shard {shard} names leaf {leaf} twice: name each leaf once")
        }
        /// A broker of this name is admitted.
        BrokerExists(broker: BrokerName) {
            display("broker {broker} exists: choose another name, or RESUME BROKER {broker}")
        }
        /// The broker is not known, or removed.
        UnknownBroker(broker: BrokerName) {
            display("broker {broker} is not known: list brokers with SHOW BROKERS, or ADD BROKER first")
        }
        /// A control process of this name is a member.
        ControlExists(control: ControlName) {
            display("control process {control} exists: choose another name; a machine whose disk was lost joins under a new one")
        }
        /// The control process is not a member.
        UnknownControl(control: ControlName) {
            display("control process {control} is not known: list them with SHOW CONTROLS, or ADD CONTROL first")
        }
        /// No further zone can be evacuated.
        TooManyEvacuations(limit: u64) {
            display("{limit} zones are evacuated: list them with SHOW ZONES, and RESTORE ZONE those that serve again")
        }
        /// An order or a step of a roll-out.
        Rollout(error: RolloutError) {
            from()
            display("{error}")
        }
        /// Too small or large a number.
        BadNumber(field: String, value: u64, remedy: String) {
            display("{field} {value} is not usable: {remedy}")
        }
        /// The request is not refused, or was released before.
        RequestNotRefused(digest: RequestDigest) {
            display("request {digest} is not refused: list those that are with SHOW REFUSED REQUESTS")
        }
    }
}
