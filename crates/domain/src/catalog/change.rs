//! Changes that operators make to the catalog.

use serde::{Deserialize, Serialize};

use super::{CallerAccount, ClassPolicy, ControlMember, Leaf, LeafState, MemberState};
use crate::crash_suspects::RequestDigest;
use crate::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, ServiceName, ShardId,
    ZoneName,
};
use crate::rollout::{RolloutAdvance, RolloutOrder};

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
    /// Removes a service with its classes and maps; its queries are refused from then on.
    RemoveService(ServiceName),
    /// Removes a class of a service.
    RemoveClass {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
    },
    /// Sets what an answered request of a class costs.
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
    /// Admits a broker of this name, also one that was removed.
    AddBroker {
        /// The broker.
        broker: BrokerName,
    },
    /// Drains a broker or takes it back.
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
    /// Drains a control process or takes it back.
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
    /// Takes the evacuation of a zone back.
    RestoreZone(ZoneName),
    /// Begins to move the requests of a service to another software version.
    BeginRollout(RolloutOrder),
    /// A roll-out goes on to its next stage; control processes decide on it by themselves.
    AdvanceRollout(RolloutAdvance),
    /// Releases a request that is refused because leaves crash under it.
    ReleaseRequest(RequestDigest),
}
