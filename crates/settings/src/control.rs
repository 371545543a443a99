//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::{Check, SettingsError, Validate};

/// Settings of a control process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the process, unique in the cluster.
    pub name: String,
    /// Address on which operators connect.
    pub operators: SocketAddr,
    /// Address on which brokers connect for their feed.
    pub feed: SocketAddr,
    /// Folder under which all files are kept.
    pub data_folder: PathBuf,
}

impl Validate for ControlSettings {
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError> {
        check.name("name", &self.name)?;
        let distinct = self.operators != self.feed;
        check.field("feed", self.feed, distinct, "use another address than that of operators")
    }
}
