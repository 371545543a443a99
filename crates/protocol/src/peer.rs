//! Frames between control processes.
//!
//! A connection carries messages in one direction: the process that opened it identifies itself, is
//! accepted or refused, and then sends. After the handshake the other end only answers probes.

use binrw::binrw;

use crate::text::{Document, ShortText};

/// Maximum length of a cluster name in bytes.
const CLUSTER_NAME_LIMIT: usize = 255;

/// Identity of a control process.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Node number of the control process.
    pub node: u32,
    /// Incarnation number of the node's data folder.
    pub incarnation: u64,
    /// 1 if the node's log has entries, 0 if it is empty.
    pub formed: u8,
    /// Checksum of the initial voters in the node's settings.
    pub planned_voters: u32,
}

/// Why a connection is refused.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRefusal {
    /// The protocol versions differ.
    ProtocolVersion = 1,
    /// The processes belong to different clusters.
    Cluster = 2,
    /// The node is not among the peers in the settings.
    UnknownPeer = 3,
    /// The node has been seen with a later incarnation. Sent by earlier releases, which do not say
    /// with which one.
    EarlierIncarnation = 4,
}

/// A message between control processes.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerFrame {
    /// Opens the connection.
    #[brw(magic = 1u8)]
    Hello {
        /// Protocol version of the sender.
        protocol_version: u16,
        /// Identity of the sender.
        identity: PeerIdentity,
        #[br(temp)]
        #[bw(calc = cluster.len().min(CLUSTER_NAME_LIMIT) as u8)]
        cluster_length: u8,
        /// Name of the sender's cluster in UTF-8, at most 255 bytes.
        #[br(count = cluster_length)]
        #[bw(map = |name: &Vec<u8>| name[..name.len().min(CLUSTER_NAME_LIMIT)].to_vec())]
        cluster: Vec<u8>,
    },
    /// Accepts the connection.
    #[brw(magic = 2u8)]
    Welcome {
        /// Identity of the accepting process.
        identity: PeerIdentity,
    },
    /// Refuses the connection.
    #[brw(magic = 3u8)]
    Refused {
        /// Why the connection is refused.
        reason: PeerRefusal,
    },
    /// Liveness probe.
    #[brw(magic = 4u8)]
    Probe,
    /// Reply to a probe. Repeats the sender's identity, since a process whose log was empty when
    /// the connection was opened may have entries by now.
    #[brw(magic = 5u8)]
    ProbeReply {
        /// Current identity of the sender.
        identity: PeerIdentity,
    },
    /// A message of the consensus protocol.
    #[brw(magic = 6u8)]
    Consensus {
        #[br(temp)]
        #[bw(calc = document.len() as u32)]
        length: u32,
        /// The message with its sender and receiver as a document.
        #[br(count = length)]
        document: Vec<u8>,
    },
    /// Tenants' use of their quotas at the brokers that the sender feeds. Not replicated through
    /// the log: only the newest report counts, and the next one makes up for a lost one.
    #[brw(magic = 7u8)]
    Usage {
        /// Name of the sender, under which the replicated state lists the brokers that it feeds.
        control: ShortText,
        /// The totals as a document.
        usage: Document,
    },
    /// Leaf warnings that the sender passed to its brokers. Not replicated through the log.
    #[brw(magic = 8u8)]
    LeafWarnings {
        /// The warnings as a document.
        warnings: Document,
    },
    /// Refuses the connection: the node has been seen with a later incarnation.
    #[brw(magic = 9u8)]
    Superseded {
        /// The later incarnation.
        incarnation: u64,
    },
}
