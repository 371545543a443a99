//! The feed of the catalog from a control process to a broker.

use binrw::binrw;

/// Longest name that travels in a frame, in bytes.
const NAME_LIMIT: usize = 255;

/// A message from a broker to its control process.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberMessage {
    /// Opens the feed.
    #[brw(magic = 1u8)]
    Subscribe {
        /// Version of the frames that the broker speaks.
        protocol_version: u16,
        /// Revision of the catalog that the broker holds; 0 for none.
        revision: u64,
        #[br(temp)]
        #[bw(calc = broker.len().min(NAME_LIMIT) as u8)]
        name_length: u8,
        /// Name of the broker, UTF-8, at most 255 bytes.
        #[br(count = name_length)]
        #[bw(map = |name: &Vec<u8>| name[..name.len().min(NAME_LIMIT)].to_vec())]
        broker: Vec<u8>,
    },
    /// The broker has put a revision in force.
    #[brw(magic = 2u8)]
    Applied {
        /// The revision.
        revision: u64,
    },
}

/// A message from a control process to a broker.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedMessage {
    /// The whole catalog.
    #[brw(magic = 1u8)]
    FullCatalog {
        #[br(temp)]
        #[bw(calc = document.len() as u32)]
        length: u32,
        /// The catalog as a document.
        #[br(count = length)]
        document: Vec<u8>,
    },
    /// One change that takes the catalog from `revision - 1` to `revision`.
    #[brw(magic = 2u8)]
    Change {
        /// The revision that the change gives.
        revision: u64,
        #[br(temp)]
        #[bw(calc = document.len() as u32)]
        length: u32,
        /// The change as a document.
        #[br(count = length)]
        document: Vec<u8>,
    },
    /// The broker cannot be served.
    #[brw(magic = 3u8)]
    Refused {
        /// Version of the frames that the control process speaks.
        protocol_version: u16,
    },
}
