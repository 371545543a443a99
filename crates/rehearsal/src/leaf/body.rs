//! Bodies of leaf replies, from which a checker can tell whose they are.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::microseconds;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What a leaf found: a shard, a snapshot and the query that asked, sealed by a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafBody {
    /// The caller's identifier of the query.
    pub query: String,
    /// The shard.
    pub shard: u32,
    /// Partition epoch that named the shard.
    pub epoch: u64,
    /// Index version that was read.
    pub version: u64,
    digest: String,
    /// Microseconds from the arrival of the request to the departure of the reply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub elapsed_us: Option<u64>,
}

impl LeafBody {
    /// A sealed body.
    pub fn new(query: String, shard: u32, epoch: u64, version: u64) -> Self {
        let digest = digest(&query, shard, epoch, version);
        Self { query, shard, epoch, version, digest, elapsed_us: None }
    }

    /// The body with the time that the leaf took; not part of the seal.
    pub fn with_elapsed(self, elapsed: Duration) -> Self {
        Self { elapsed_us: Some(microseconds(elapsed)), ..self }
    }

    /// Whether no field was changed since it was sealed.
    pub fn is_whole(&self) -> bool {
        self.digest == digest(&self.query, self.shard, self.epoch, self.version)
    }

    /// The body as text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("the body has string keys only")
    }

    /// Reads a body.
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

fn digest(query: &str, shard: u32, epoch: u64, version: u64) -> String {
    let text = format!("{query}/{shard}/{epoch}/{version}");
    let hash = text
        .bytes()
        .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    format!("{hash:016x}")
}

/// A query as callers send it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryBody {
    /// The caller's identifier of the query.
    pub query: String,
}
