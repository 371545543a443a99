//! Trace of a run: key=value lines and their hash.

use std::fmt;

use gingerkeel_domain::time::Timestamp;
use xxhash_rust::xxh3::Xxh3Default;

/// Hashes all lines, and prints them if enabled.
pub struct Trace {
    hasher: Xxh3Default,
    print: bool,
}

impl Trace {
    /// Creates a trace. `print` enables output of each line to standard output.
    pub fn new(print: bool) -> Self {
        Self { hasher: Xxh3Default::new(), print }
    }

    /// Adds a line with the time `now`.
    pub fn record(&mut self, now: Timestamp, line: fmt::Arguments<'_>) {
        let line = format!("t={} {line}\n", now.as_micros());
        self.hasher.update(line.as_bytes());
        if self.print {
            print!("{line}");
        }
    }

    /// Hash of all lines recorded so far.
    pub fn hash(&self) -> u64 {
        self.hasher.digest()
    }
}
