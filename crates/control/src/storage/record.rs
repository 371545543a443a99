//! Records of the log: a magic number, a sequence number, a length, a checksum, a document.

use gingerkeel_domain::consensus::{Entry, HardState, LogIndex};
use gingerkeel_protocol::{decode_document, encode_document};
use serde::{Deserialize, Serialize};

const MAGIC: [u8; 4] = [0xf1, b'g', b'k', 0x9e];
const SEQUENCE_AT: usize = 4;
const LENGTH_AT: usize = 12;
const CHECKSUM_AT: usize = 16;
/// Bytes before the document.
pub(super) const HEADER_BYTES: usize = 20;

/// A part of a batch, in the order in which the core gave it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LoggedWrite {
    /// Whether all entries before are void.
    pub resets_log: bool,
    pub hard_state: Option<HardState>,
    /// Entries from the first one's index on replace those before.
    pub entries: Vec<Entry>,
    /// The last entry that was known to be committed.
    pub commit: LogIndex,
}

/// A batch that was synced as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    pub sequence: u64,
    pub writes: Vec<LoggedWrite>,
}

/// What is found at some place of a file.
pub(super) enum Found {
    /// A whole record, and how many bytes it takes.
    Record(Record, usize),
    /// Something else.
    Nothing,
}

impl Record {
    /// Lays the record out; none when it cannot be.
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

    /// Reads what is at the start of `bytes`.
    pub fn decode(bytes: &[u8]) -> Found {
        Self::try_decode(bytes).unwrap_or(Found::Nothing)
    }

    /// Whether a whole record starts anywhere in `bytes`.
    pub fn is_in(bytes: &[u8]) -> bool {
        let starts = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
        starts.into_iter().any(|(at, _)| matches!(Self::decode(&bytes[at..]), Found::Record(..)))
    }

    fn try_decode(bytes: &[u8]) -> Option<Found> {
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
        Some(Found::Record(Self { sequence, writes }, end))
    }
}

fn checksum(sequence: u64, document: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_be_bytes());
    hasher.update(&(document.len() as u32).to_be_bytes());
    hasher.update(document);
    hasher.finalize()
}
