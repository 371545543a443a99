//! Snapshots of routes and directory for brokers, each encoded once and shared.
//!
//! These snapshots are large, and hundreds of brokers need the same one within a second after a
//! control process or a region recovers.

use gingerkeel_domain::cluster::ClusterState;
use gingerkeel_domain::directory::DirectoryVersion;
use gingerkeel_domain::routes::RouteVersion;
use gingerkeel_protocol::{Document, FeedMessage, pack_document};
use serde::Serialize;
use tracing::error;

/// The newest encoded snapshot of each kind.
#[derive(Default)]
pub struct SnapshotCache {
    routes: Option<EncodedSnapshot<RouteVersion>>,
    directory: Option<EncodedSnapshot<DirectoryVersion>>,
}

struct EncodedSnapshot<Version> {
    version: Version,
    document: Document,
}

impl SnapshotCache {
    /// The full route configuration; none if no configuration was accepted yet.
    pub fn routes(&mut self, state: &ClusterState) -> Option<FeedMessage> {
        let accepted = state.routes().current()?;
        let version = accepted.configuration.version;
        let configuration = cached(&mut self.routes, version, &accepted.configuration)?;
        Some(FeedMessage::Routes { configuration })
    }

    /// The full directory of leaves.
    pub fn directory(&mut self, state: &ClusterState) -> Option<FeedMessage> {
        let directory = state.directory();
        let directory = cached(&mut self.directory, directory.version(), directory)?;
        Some(FeedMessage::WholeDirectory { directory })
    }
}

/// The cached snapshot if it has this version; otherwise a newly encoded one.
fn cached<Version: PartialEq>(
    held: &mut Option<EncodedSnapshot<Version>>,
    version: Version,
    document: &impl Serialize,
) -> Option<Document> {
    if let Some(cached) = held.as_ref().filter(|cached| cached.version == version) {
        return Some(cached.document.clone());
    }
    let document = pack(document)?;
    *held = Some(EncodedSnapshot { version, document: document.clone() });
    Some(document)
}

/// Packs a document that may be large and is shared by all its receivers; none on an error, which
/// is logged.
pub fn pack(document: &impl Serialize) -> Option<Document> {
    match pack_document(document) {
        Ok(bytes) => Some(Document::from(bytes)),
        Err(error) => {
            error!(event = "document_not_encoded", %error);
            None
        }
    }
}
