//! The identity file: format version, cluster and member of a data folder.

use std::path::Path;

use gingerkeel_domain::consensus::{Incarnation, MemberId, NodeNumber};
use gingerkeel_protocol::{decode_document, encode_document};
use serde::{Deserialize, Serialize};
use tracing::info;

use super::error::StorageError;
use super::files::{replace_file, with_checksum, without_checksum};
use super::io::StorageIo;

/// Version of the file formats that this release writes.
pub const FORMAT_VERSION: u16 = 6;
/// Oldest version that this release reads; opening such a folder converts it to the current
/// version.
const OLDEST_READABLE_VERSION: u16 = 3;
/// First bytes of the file; the version follows.
const MAGIC: &[u8; 8] = b"gkeelctl";
const IDENTITY_FILE: &str = "identity";

/// The cluster and node that a folder is opened for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FolderOwner {
    /// Name of the cluster.
    pub cluster: String,
    /// Number of the node.
    pub node: NodeNumber,
    /// Incarnation for an empty folder; should exceed that of any earlier folder of the node.
    pub new_incarnation: Incarnation,
}

#[derive(Debug, Serialize, Deserialize)]
struct IdentityDocument {
    cluster: String,
    member: MemberId,
}

/// Reads the identity of a folder, or writes one to an empty folder.
pub(super) fn read_or_create(
    io: &mut dyn StorageIo,
    folder: &Path,
    owner: &FolderOwner,
) -> Result<MemberId, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    match io.read(&path) {
        Ok(bytes) => {
            let (version, document) = check(&path, &bytes, owner)?;
            if version < FORMAT_VERSION {
                // Written first, so that an older release refuses the folder instead of misreading
                // it.
                write(io, folder, &document)?;
                info!(event = "folder_taken_over", format = version, now = FORMAT_VERSION);
            }
            Ok(document.member)
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => create(io, folder, owner),
        Err(error) => Err(StorageError::unusable(&path, error)),
    }
}

/// Writes the identity of a folder, in place of any earlier one.
pub(super) fn replace(
    io: &mut dyn StorageIo,
    folder: &Path,
    cluster: &str,
    member: MemberId,
) -> Result<(), StorageError> {
    write(io, folder, &IdentityDocument { cluster: cluster.to_owned(), member })
}

fn create(
    io: &mut dyn StorageIo,
    folder: &Path,
    owner: &FolderOwner,
) -> Result<MemberId, StorageError> {
    let member = MemberId { node: owner.node, incarnation: owner.new_incarnation };
    replace(io, folder, &owner.cluster, member)?;
    Ok(member)
}

fn write(
    io: &mut dyn StorageIo,
    folder: &Path,
    document: &IdentityDocument,
) -> Result<(), StorageError> {
    let path = folder.join(IDENTITY_FILE);
    let document = encode_document(document)
        .map_err(|_| StorageError::Corrupted(path.clone(), 0, "the identity cannot be written"))?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes.extend_from_slice(&with_checksum(&document));
    replace_file(io, folder, &path, &bytes)
}

/// Decodes an identity file and checks version, cluster and node.
fn check(
    path: &Path,
    bytes: &[u8],
    owner: &FolderOwner,
) -> Result<(u16, IdentityDocument), StorageError> {
    let damaged = |reason| StorageError::Corrupted(path.to_owned(), 0, reason);
    let rest = bytes.strip_prefix(MAGIC).ok_or(damaged("not an identity file"))?;
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(damaged("no format version"))?;
    let version = u16::from_be_bytes(*version);
    if !(OLDEST_READABLE_VERSION..=FORMAT_VERSION).contains(&version) {
        return Err(StorageError::UnsupportedFormat(path.to_owned(), version, FORMAT_VERSION));
    }
    let document = without_checksum(rest).ok_or(damaged("wrong checksum"))?;
    let document: IdentityDocument =
        decode_document(document).map_err(|_| damaged("not an identity"))?;
    if document.cluster != owner.cluster {
        let (found, expected) = (document.cluster, owner.cluster.clone());
        return Err(StorageError::ClusterMismatch(path.to_owned(), found, expected));
    }
    let (found, expected) = (document.member.node, owner.node);
    if found != expected {
        return Err(StorageError::NodeMismatch(path.to_owned(), found.0, expected.0));
    }
    Ok((version, document))
}
