//! Native format of the directory of leaves: `GET /v1/leaves`, as JSON.

use bytes::Bytes;
use gingerkeel_domain::directory::{EntryFault, ListedLeaf};
use gingerkeel_domain::identifiers::LeafIdentity;

use crate::entries::{DirectoryEntry, PageFields, read_page};
use crate::ports::{DirectoryInterface, DirectoryPage, InterfaceError};

/// Path of the list of leaves.
const LEAVES_PATH: &str = "/v1/leaves";

/// Directory of leaves in the native format.
#[derive(Debug, Default)]
pub struct NativeDirectory;

const FIELDS: PageFields = PageFields { entries: "leaves", next: "next" };

impl DirectoryEntry for ListedLeaf {
    const IDENTITY_FIELD: &'static str = "identity";

    fn into_leaf(self) -> Result<ListedLeaf, EntryFault> {
        if self.identity.as_str().is_empty() {
            return Err(EntryFault::Malformed);
        }
        // The native directory gives each start of a leaf a new identity, so the start time is not
        // part of it.
        let identity = LeafIdentity::of_run(self.identity.as_str(), None);
        Ok(ListedLeaf { identity, ..self })
    }
}

impl DirectoryInterface for NativeDirectory {
    fn request_target(&self, page: Option<&str>) -> String {
        match page {
            Some(page) => format!("{LEAVES_PATH}?page={page}"),
            None => LEAVES_PATH.to_owned(),
        }
    }

    fn parse_page(&self, body: &Bytes) -> Result<DirectoryPage, InterfaceError> {
        read_page::<ListedLeaf>(body, FIELDS)
            .map_err(|error| InterfaceError::unreadable("list of leaves", &error))
    }
}
