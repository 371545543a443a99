//! Records of the log: magic number, sequence number, length, checksum and document.

use gingerkeel_domain::consensus::{Entry, HardState, LogIndex, Write};
use gingerkeel_protocol::{decode_document, encode_document};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 4] = [0xf1, b'g', b'k', 0x9e];
const SEQUENCE_AT: usize = 4;
const LENGTH_AT: usize = 12;
const CHECKSUM_AT: usize = 16;
/// Length of the header before the document.
pub(super) const HEADER_BYTES: usize = 20;

/// One write of a batch, in the order in which the consensus core issued it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LoggedWrite {
    /// Whether all earlier entries are discarded.
    pub resets_log: bool,
    pub hard_state: Option<HardState>,
    /// These entries replace all earlier ones from the index of the first of them on.
    pub entries: Vec<Entry>,
    /// The commit index known at the time of the write.
    pub commit: LogIndex,
}

/// A batch that was synced as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    pub sequence: u64,
    pub writes: Vec<LoggedWrite>,
}

/// Result of decoding at an offset of a segment.
pub(super) enum Decoded {
    /// A valid record and its length in bytes.
    Record(Record, usize),
    /// No valid record.
    Invalid,
}

impl LoggedWrite {
    /// The part of a write that goes into the log: everything but its snapshot.
    pub fn of(write: &Write) -> Self {
        Self {
            resets_log: false,
            hard_state: write.hard_state,
            entries: write.entries.clone(),
            commit: write.commit,
        }
    }
}

impl Record {
    /// Encodes the record; none if it exceeds the limits of the format.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let document = encode_document(&self.writes).ok()?;
        let length = u32::try_from(document.len()).ok()?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&checksum(self.sequence, &document).to_be_bytes());
        bytes.extend_from_slice(&document);
        Some(bytes)
    }

    /// Decodes the record at the start of `bytes`.
    pub fn decode(bytes: &[u8]) -> Decoded {
        Self::try_decode(bytes).unwrap_or(Decoded::Invalid)
    }

    /// Whether a valid record starts anywhere in `bytes`.
    pub fn occurs_in(bytes: &[u8]) -> bool {
        let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
        starts.into_iter().any(|(at, _)| matches!(Self::decode(&bytes[at..]), Decoded::Record(..)))
    }

    fn try_decode(bytes: &[u8]) -> Option<Decoded> {
        let header = bytes.get(..HEADER_BYTES)?;
        if header[..SEQUENCE_AT] != MAGIC {
            return None;
        }
        let sequence = u64::from_be_bytes(header[SEQUENCE_AT..LENGTH_AT].try_into().ok()?);
        let length = u32::from_be_bytes(header[LENGTH_AT..CHECKSUM_AT].try_into().ok()?);
        let expected = u32::from_be_bytes(header[CHECKSUM_AT..].try_into().ok()?);
        let end = HEADER_BYTES + length as usize;
        let document = bytes.get(HEADER_BYTES..end)?;
        if checksum(sequence, document) != expected {
            return None;
        }
        let writes = decode_document(document).ok()?;
        Some(Decoded::Record(Self { sequence, writes }, end))
    }
}

fn checksum(sequence: u64, document: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_be_bytes());
    hasher.update(&(document.len() as u32).to_be_bytes());
    hasher.update(document);
    hasher.finalize()
}
