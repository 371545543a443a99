//! What the logs of hollow brokers tell of revisions that came into force.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Seek, SeekFrom};
use std::path::PathBuf;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::clock::Microseconds;
use crate::error::RehearsalError;
use crate::hollow_brokers::AppliedRecord;

/// Quantiles of the time until something was in force, in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct InForce {
    /// Half of them.
    pub p50: f64,
    /// 99 in 100.
    pub p99: f64,
    /// All.
    pub p100: f64,
}

impl InForce {
    /// Quantiles of times in microseconds.
    fn of(times: impl Iterator<Item = Microseconds>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("the number of digits is allowed");
        for time in times {
            histogram.record(time).expect("the histogram grows with what it is given");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { p50: at(0.5), p99: at(0.99), p100: histogram.max() as f64 / 1000.0 }
    }
}

/// A change that was ordered.
#[derive(Debug, Clone, Copy)]
pub struct OrderedChange {
    /// When the operator's command was started.
    pub at: Microseconds,
    /// The revision that it gave.
    pub revision: u64,
}

#[derive(Debug)]
struct Log {
    path: PathBuf,
    read: u64,
}

/// The logs of all processes of hollow brokers, as far as they were read.
#[derive(Debug)]
pub struct AppliedLogs {
    logs: Vec<Log>,
    by_broker: BTreeMap<u32, Vec<AppliedRecord>>,
}

impl AppliedLogs {
    /// Logs of which nothing was read.
    pub fn new(paths: Vec<PathBuf>) -> Self {
        let logs = paths.into_iter().map(|path| Log { path, read: 0 }).collect();
        Self { logs, by_broker: BTreeMap::new() }
    }

    /// Reads what was added; a log that is not there yet is empty.
    ///
    /// # Errors
    /// [`RehearsalError::BadRecord`] when a line is not a record.
    pub fn read(&mut self) -> Result<(), RehearsalError> {
        let mut records = Vec::new();
        for log in &mut self.logs {
            log.read_into(&mut records)?;
        }
        for record in records {
            self.by_broker.entry(record.broker).or_default().push(record);
        }
        Ok(())
    }

    /// The newest revision in force at any broker.
    pub fn newest_revision(&self) -> u64 {
        let records = self.by_broker.values().flatten();
        records.map(|record| record.revision).max().unwrap_or_default()
    }

    /// Brokers that have a revision, or a later one, in force.
    pub fn brokers_at(&self, revision: u64) -> u32 {
        let newest = self.by_broker.values().filter_map(|records| records.last());
        newest.filter(|record| record.revision >= revision).count() as u32
    }

    /// Brokers that had each of the changes in force.
    pub fn brokers_with_every(&self, changes: &[OrderedChange]) -> u32 {
        let had = |records: &Vec<AppliedRecord>, revision| {
            records.iter().any(|record| record.revision == revision)
        };
        let complete = |records: &&Vec<AppliedRecord>| {
            changes.iter().all(|change| had(records, change.revision))
        };
        self.by_broker.values().filter(complete).count() as u32
    }

    /// Times from the order of each change until it, or a later one, was in force at each broker.
    pub fn in_force(&self, changes: &[OrderedChange]) -> InForce {
        let times = self.by_broker.values().flat_map(|records| {
            changes.iter().filter_map(|change| {
                let first = records.iter().find(|record| record.revision >= change.revision);
                first.map(|record| record.at.saturating_sub(change.at))
            })
        });
        InForce::of(times)
    }
}

impl Log {
    fn read_into(&mut self, records: &mut Vec<AppliedRecord>) -> Result<(), RehearsalError> {
        let Ok(mut file) = File::open(&self.path) else {
            return Ok(());
        };
        let resource = |error| RehearsalError::resource(self.path.display(), error);
        file.seek(SeekFrom::Start(self.read)).map_err(resource)?;
        let mut reader = BufReader::new(file);
        let mut line = String::new();
        loop {
            line.clear();
            reader.read_line(&mut line).map_err(resource)?;
            if !line.ends_with('\n') {
                return Ok(());
            }
            self.read += line.len() as u64;
            let record = serde_json::from_str(&line).map_err(|error| {
                let file = self.path.display().to_string();
                RehearsalError::BadRecord(file, records.len() + 1, error.to_string())
            })?;
            records.push(record);
        }
    }
}
