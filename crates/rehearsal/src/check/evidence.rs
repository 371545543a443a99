//! What a run left behind.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use crate::error::RehearsalError;
use crate::record::{
    CALLER_LOG_PREFIX, CallerRecord, JOURNAL_PREFIX, JournalEntry, JournalStep, ORDERS_FILE, Order,
    read_records,
};

/// The records of a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What callers saw.
    pub callers: Vec<CallerRecord>,
    /// What leaves did.
    pub journal: Vec<JournalEntry>,
    /// What was ordered.
    pub orders: Vec<Order>,
}

impl Evidence {
    /// Reads all records of a run's folder.
    ///
    /// # Errors
    /// A [`RehearsalError`] when a file cannot be read or a record is not understood.
    pub fn read(folder: &Path) -> Result<Self, RehearsalError> {
        let orders = folder.join(ORDERS_FILE);
        let orders = if orders.exists() { read_records(&orders)? } else { Vec::new() };
        Ok(Self {
            callers: read_all(folder, CALLER_LOG_PREFIX)?,
            journal: read_all(folder, JOURNAL_PREFIX)?,
            orders,
        })
    }

    /// Requests that leaves started, by the caller's identifier of the query.
    pub fn started_by_query(&self) -> BTreeMap<&str, Vec<&JournalEntry>> {
        let mut by_query: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
        for entry in self.started() {
            by_query.entry(entry.query.as_str()).or_default().push(entry);
        }
        by_query
    }

    /// Requests that leaves started.
    pub fn started(&self) -> impl Iterator<Item = &JournalEntry> {
        self.journal.iter().filter(|entry| entry.step == JournalStep::Started)
    }
}

fn read_all<T: DeserializeOwned>(folder: &Path, prefix: &str) -> Result<Vec<T>, RehearsalError> {
    let mut records = Vec::new();
    for path in files(folder, prefix)? {
        records.extend(read_records(&path)?);
    }
    Ok(records)
}

fn files(folder: &Path, prefix: &str) -> Result<Vec<PathBuf>, RehearsalError> {
    let resource = |error| RehearsalError::resource(folder.display(), error);
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(resource)? {
        let entry = entry.map_err(resource)?;
        if entry.file_name().to_string_lossy().starts_with(prefix) {
            files.push(entry.path());
        }
    }
    files.sort();
    Ok(files)
}
