//! Records that stand-ins write and the checker reads: one JSON document a line.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::marker::PhantomData;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Microseconds;
use crate::error::RehearsalError;

/// Name of the records of leaves within a run's folder.
pub const JOURNAL_PREFIX: &str = "journal-";
/// Name of the records of callers within a run's folder.
pub const CALLER_LOG_PREFIX: &str = "callers-";
/// Name of the record of what was ordered within a run's folder.
pub const ORDERS_FILE: &str = "orders.jsonl";

/// What a leaf did; written before its reply leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// When.
    pub at: Microseconds,
    /// Number of the leaf.
    pub leaf: u32,
    /// What it did with the request.
    pub step: JournalStep,
    /// Identifier of the leaf request, as the broker gave it.
    pub request: String,
    /// The caller's identifier of the query, from the body.
    pub query: String,
    /// Shard that was searched.
    pub shard: u32,
    /// Index version that was read.
    pub version: u64,
    /// Partition epoch that named the shard.
    pub epoch: u64,
    /// Whether the leaf had said before that it is leaving.
    pub drain_announced: bool,
}

/// What a leaf did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalStep {
    /// It began to run it.
    Started,
    /// It ran it to its end.
    Finished,
    /// It stopped early because the request was cancelled.
    Stopped,
}

/// What the launcher or an operator ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// When the order was accepted.
    pub at: Microseconds,
    /// What was ordered.
    pub kind: OrderKind,
}

/// What was ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// A leaf takes no new work.
    DrainLeaf {
        /// Number of the leaf.
        leaf: u32,
    },
    /// A leaf takes new work again.
    ResumeLeaf {
        /// Number of the leaf.
        leaf: u32,
    },
    /// A leaf was killed or frozen.
    DisturbLeaf {
        /// Number of the leaf.
        leaf: u32,
    },
    /// A broker was killed, frozen or cut off: answers that it owes may be lost.
    DisturbBroker {
        /// Address on which callers reach it.
        broker: String,
    },
    /// A broker was told to finish what is in flight and end.
    StopBroker {
        /// Address on which callers reach it.
        broker: String,
    },
}

/// What became of a caller's query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerOutcome {
    /// An answer came.
    Answered,
    /// The broker said that nothing was run.
    NotRun,
    /// The broker said that a leaf may have run it.
    OutcomeUnknown,
    /// The connection ended before a whole answer came.
    Cut,
    /// No answer came within the deadline and the grace time.
    NeverAnswered,
    /// The caller gave the query up before any byte of it was written.
    NotSent,
    /// A response that is none of the broker's documents.
    NotUnderstood,
}

/// One query as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerRecord {
    /// The caller's identifier of the query; part of the body.
    pub query: String,
    /// Service that was asked.
    pub service: String,
    /// Class that was paid for.
    pub class: String,
    /// Rank of the class, 0 first.
    pub priority: u8,
    /// Whether a leaf may run it more than once.
    pub repeatable: bool,
    /// Broker that was asked.
    pub broker: String,
    /// When it should have been sent.
    pub intended: Microseconds,
    /// When it was sent.
    pub sent: Option<Microseconds>,
    /// When its outcome was known.
    pub ended: Microseconds,
    /// What became of it.
    pub outcome: CallerOutcome,
    /// Reason that the broker gave.
    pub reason: Option<String>,
    /// When asking again is worth while, by the broker.
    pub retry_after_ms: Option<u64>,
    /// Snapshot that the broker reported.
    pub snapshot: Option<String>,
    /// Shards of the partition map, by the broker.
    pub shards: Option<u32>,
    /// Coverage that the broker reported.
    pub coverage: Option<f64>,
    /// Charge for the answer.
    pub charge: Option<u64>,
    /// Shards that the broker named as missing.
    #[serde(default)]
    pub missing: Vec<MissingShard>,
    /// Parts of the answer.
    #[serde(default)]
    pub parts: Vec<AnswerPart>,
}

/// A shard that is not part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: u32,
    /// Why, by the broker: `not_run` or `unknown`.
    pub reason: String,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// Shard that the broker names.
    pub shard: u32,
    /// What the leaf sent.
    pub body: String,
}

/// An append-only file of records.
pub struct RecordWriter<T> {
    file: File,
    records: PhantomData<T>,
}

impl<T: Serialize> RecordWriter<T> {
    /// Opens the file for appending.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when the file cannot be opened.
    pub fn open(path: &Path) -> Result<Self, RehearsalError> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|error| RehearsalError::resource(path.display(), error))?;
        Ok(Self { file, records: PhantomData })
    }

    /// Appends a record; the operating system has it before this returns, so that it outlives a
    /// killed process.
    ///
    /// # Panics
    /// When the file cannot be written: a run without its ground truth proves nothing.
    pub fn append(&mut self, record: &T) {
        let mut line = serde_json::to_vec(record).expect("records have string keys only");
        line.push(b'\n');
        if let Err(error) = self.file.write_all(&line) {
            panic!("a record cannot be written ({error}): check the free space");
        }
    }
}

/// Reads the records of a file; a last line that was cut by a kill is left out.
///
/// # Errors
/// [`RehearsalError::Resource`] when the file cannot be read and [`RehearsalError::BadRecord`] when
/// a line is not a record.
pub fn read_records<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, RehearsalError> {
    let resource = |error| RehearsalError::resource(path.display(), error);
    let mut reader = BufReader::new(File::open(path).map_err(resource)?);
    let mut records = Vec::new();
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line).map_err(resource)?;
        if !line.ends_with('\n') {
            return Ok(records);
        }
        let record = serde_json::from_str(&line).map_err(|error| {
            let file = path.display().to_string();
            RehearsalError::BadRecord(file, records.len() + 1, error.to_string())
        })?;
        records.push(record);
    }
}
