//! Names and numbers that identify catalog entries, processes, queries and requests.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Defines a newtype for a name.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text` without validation.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

/// Defines a newtype for a number.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Debug,
            Clone,
            Copy,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

pub(crate) use number_type;

name_type!(
    /// Name of a service: a sharded index that callers query.
    ServiceName
);
name_type!(
    /// Name of a priority class within a service.
    ClassName
);
name_type!(
    /// Name of a caller's account.
    CallerName
);
name_type!(
    /// Name of a tenant: a group of callers that share keys, a priority and a quota.
    TenantName
);
name_type!(
    /// Name of a broker process, unique in the cluster.
    BrokerName
);
name_type!(
    /// Name of a control process, unique in the cluster and never reused.
    ControlName
);
name_type!(
    /// Name of an operator session, unique to one run of the command-line tool.
    SessionName
);
name_type!(
    /// Identity of one run of a leaf, never reused: the name of the leaf and, where the leaf
    /// reports it, the start time. A leaf that restarts under its name has another identity.
    LeafIdentity
);
name_type!(
    /// Name of a failure zone within a region.
    ZoneName
);
name_type!(
    /// Name of a region, which consists of zones.
    RegionName
);
name_type!(
    /// Software version of a leaf, as given in the list of leaves.
    SoftwareVersion
);

impl Default for SoftwareVersion {
    /// Empty: the list of leaves gives no version.
    fn default() -> Self {
        Self::new("")
    }
}

number_type!(
    /// Number of a leaf (back end) in the catalog.
    LeafId(u32)
);
number_type!(
    /// Number of a shard within a partition map.
    ShardId(u32)
);
number_type!(
    /// Version of the index of a service.
    IndexVersion(u64)
);
number_type!(
    /// Epoch of the partition map of a service; incremented by each repartitioning.
    PartitionEpoch(u64)
);
number_type!(
    /// Revision of the catalog; incremented by each accepted change.
    Revision(u64)
);
number_type!(
    /// Number of a query within one broker run.
    QueryId(u64)
);
number_type!(
    /// Number of one run of a broker process, drawn at random at the start.
    BrokerRun(u64)
);

/// State of an index that an answer is computed from.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Snapshot {
    /// Epoch of the partition map that defines the shards.
    pub epoch: PartitionEpoch,
    /// Version of the index that is read on every shard.
    pub version: IndexVersion,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.version)
    }
}

/// Identifies one request to a leaf within one broker run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafRequestId {
    /// The query that the request belongs to.
    pub query: QueryId,
    /// Shard that the request reads.
    pub shard: ShardId,
    /// Number of the attempt within the query, over all restarts, from 0.
    pub attempt: u16,
}

impl fmt::Display for LeafRequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}-{}", self.query, self.shard, self.attempt)
    }
}
