//! The product's own form of a directory of leaves: `GET /v1/leaves`, as JSON.

use bytes::Bytes;
use serde::Deserialize;

use gingerkeel_domain::directory::ListedLeaf;

use crate::ports::{DirectoryInterface, DirectoryPage, InterfaceError};

/// Path of the list.
const LEAVES_PATH: &str = "/v1/leaves";

/// The product's own directory.
#[derive(Debug, Default)]
pub struct NativeDirectory;

#[derive(Deserialize)]
struct Page {
    leaves: Vec<ListedLeaf>,
    #[serde(default)]
    next: Option<String>,
}

impl DirectoryInterface for NativeDirectory {
    fn request_target(&self, page: Option<&str>) -> String {
        match page {
            Some(page) => format!("{LEAVES_PATH}?page={page}"),
            None => LEAVES_PATH.to_owned(),
        }
    }

    fn understand(&self, body: &Bytes) -> Result<DirectoryPage, InterfaceError> {
        let page: Page = serde_json::from_slice(body).map_err(|error| {
            InterfaceError::Malformed(format!("the list of leaves is not readable: {error}"))
        })?;
        Ok(DirectoryPage { leaves: page.leaves, next: page.next })
    }
}
