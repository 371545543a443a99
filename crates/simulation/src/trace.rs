//! What happened in a run: key=value lines and a hash over all of them.

use std::fmt;

use gingerkeel_domain::time::Timestamp;
use xxhash_rust::xxh3::Xxh3Default;

/// Collects a hash of every line, and the lines themselves if they are wanted.
pub struct Trace {
    hasher: Xxh3Default,
    print: bool,
}

impl Trace {
    /// A trace; `print` writes each line to standard output.
    pub fn new(print: bool) -> Self {
        Self { hasher: Xxh3Default::new(), print }
    }

    /// Records one line.
    pub fn record(&mut self, now: Timestamp, line: fmt::Arguments<'_>) {
        let line = format!("t={} {line}\n", now.as_micros());
        self.hasher.update(line.as_bytes());
        if self.print {
            print!("{line}");
        }
    }

    /// Hash over all lines so far.
    pub fn hash(&self) -> u64 {
        self.hasher.digest()
    }
}
