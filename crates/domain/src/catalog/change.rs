//! Changes to the catalog.

use serde::{Deserialize, Serialize};

use super::{CallerAccount, ClassPolicy, ControlMember, Leaf, LeafState, MemberState};
use crate::crash_suspects::RequestDigest;
use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, ServiceName, ShardId,
    ZoneName,
};
use crate::rollout::{RolloutAdvance, RolloutOrder};

/// One change, applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a leaf.
    AddLeaf(Leaf),
    /// Drains or resumes a leaf.
    SetLeafState {
        /// The leaf.
        leaf: LeafId,
        /// The requested state.
        state: LeafState,
    },
    /// Removes a leaf from the catalog and from every partition map.
    RemoveLeaf(LeafId),
    /// Defines a service or changes its concurrency.
    DefineService {
        /// The service.
        service: ServiceName,
        /// Maximum number of queries that one broker runs concurrently.
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
        /// The complete list of replicas.
        leaves: Vec<LeafId>,
    },
    /// Creates a new partition map, used by queries after the next publication.
    Repartition {
        /// The service.
        service: ServiceName,
        /// Number of shards in the new map.
        shards: u32,
    },
    /// Publishes an index version on the newest partition map.
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
    /// Removes a service with its classes and partition maps; later queries for it are refused.
    RemoveService(ServiceName),
    /// Removes a class of a service.
    RemoveClass {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
    },
    /// Sets the price of an answered request of a class.
    SetPrice {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
        /// The price, in the operators' unit.
        price: u64,
    },
    /// Removes a caller's account.
    RemoveCaller(CallerName),
    /// Admits a broker; the name of a removed broker may be reused.
    AddBroker {
        /// The broker.
        broker: BrokerName,
    },
    /// Drains or resumes a broker.
    SetBrokerState {
        /// The broker.
        broker: BrokerName,
        /// Its new state, active or draining.
        state: MemberState,
    },
    /// Removes a broker: it gets no catalog until it is added again.
    RemoveBroker(BrokerName),
    /// Adds a control process.
    AddControl(ControlMember),
    /// Drains or resumes a control process.
    SetControlState {
        /// The control process.
        control: ControlName,
        /// Its new state, active or draining.
        state: MemberState,
    },
    /// Removes a control process.
    RemoveControl(ControlName),
    /// Evacuates a zone: its leaves get no new work until the zone is restored.
    EvacuateZone(ZoneName),
    /// Ends the evacuation of a zone.
    RestoreZone(ZoneName),
    /// Starts the roll-out of a software version of a service.
    BeginRollout(RolloutOrder),
    /// Advances a roll-out to its next stage; issued by control processes, not by operators.
    AdvanceRollout(RolloutAdvance),
    /// Releases a request that is refused because it crashes leaves.
    ReleaseRequest(RequestDigest),
}
