//! The ground truth of a stand-in leaf: one line of JSON for each request that ran.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Identifier of the request.
    pub request: String,
    /// Shard that was searched.
    pub shard: u32,
    /// Index version that was read.
    pub version: u64,
    /// Partition epoch that named the shard.
    pub epoch: u64,
}

/// An append-only journal file.
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens the journal for appending.
    ///
    /// # Errors
    /// An [`io::Error`] when the file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(Self { file: OpenOptions::new().create(true).append(true).open(path)? })
    }

    /// Appends an entry; it is handed to the operating system before this returns.
    ///
    /// # Errors
    /// An [`io::Error`] when the file cannot be written.
    pub fn record(&mut self, entry: &JournalEntry) -> io::Result<()> {
        let mut line = serde_json::to_vec(entry)?;
        line.push(b'\n');
        self.file.write_all(&line)
    }
}
