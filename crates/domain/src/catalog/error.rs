//! Why a change is rejected.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::crash_suspects::RequestDigest;
use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, ServiceName, ShardId,
};
use crate::rollout::RolloutError;

quick_error! {
    /// Why the catalog rejects a change; each message names the remedy.
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
        /// The catalog has a leaf with this number.
        LeafExists(leaf: LeafId) {
            display("leaf {leaf} exists: choose another number, or REMOVE LEAF {leaf} first")
        }
        /// Another class of the service has this priority.
        PriorityTaken(priority: u8, holder: ClassName) {
            display("priority {priority} is held by class {holder}: choose another priority")
        }
        /// The index version is not higher than the published one.
        VersionNotNewer(offered: IndexVersion, published: IndexVersion) {
            display("version {offered} is not newer than the published {published}: publish a greater number")
        }
        /// A version cannot be published while a shard has no replica.
        ShardsUnassigned(shards: String) {
            display("shards without a leaf: [{shards}], or no shards at all: ASSIGN SHARD for each before PUBLISH")
        }
        /// The service has no class of this name.
        UnknownClass(service: ServiceName, class: ClassName) {
            display("service {service} has no class {class}: list classes with SHOW CLASSES, or DEFINE CLASS first")
        }
        /// No caller of this name has an account.
        UnknownCaller(caller: CallerName) {
            display("caller {caller} has no account: list accounts with SHOW CALLERS, or DEFINE CALLER first")
        }
        /// A leaf is listed more than once for a shard.
        DuplicateReplica(shard: ShardId, leaf: LeafId) {
            display("shard {shard} names leaf {leaf} twice: name each leaf once")
        }
        /// A broker of this name is already admitted.
        BrokerExists(broker: BrokerName) {
            display("broker {broker} exists: choose another name, or RESUME BROKER {broker}")
        }
        /// The broker is unknown or was removed.
        UnknownBroker(broker: BrokerName) {
            display("broker {broker} is not known: list brokers with SHOW BROKERS, or ADD BROKER first")
        }
        /// A control process of this name is or was a member.
        ControlExists(control: ControlName) {
            display("control process {control} exists: choose another name; a machine whose disk was lost joins under a new one")
        }
        /// The control process is not a member.
        UnknownControl(control: ControlName) {
            display("control process {control} is not known: list them with SHOW CONTROLS, or ADD CONTROL first")
        }
        /// The limit on evacuated zones is reached.
        TooManyEvacuations(limit: u64) {
            display("{limit} zones are evacuated: list them with SHOW ZONES, and RESTORE ZONE those that serve again")
        }
        /// A roll-out order or advance is not valid.
        Rollout(error: RolloutError) {
            from()
            display("{error}")
        }
        /// A number is out of range.
        BadNumber(field: String, value: u64, remedy: String) {
            display("{field} {value} is not usable: {remedy}")
        }
        /// The request is not refused, or was released before.
        RequestNotRefused(digest: RequestDigest) {
            display("request {digest} is not refused: list those that are with SHOW REFUSED REQUESTS")
        }
    }
}
