//! A writer of log lines that keeps to a budget and never waits.
//!
//! A thread of its own writes the lines, so that a reader that stalls stalls that thread alone.
//! What does not fit into the budget, or into the queue before the thread, is dropped and counted;
//! a line of its own tells how many were.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;

/// Bounds of logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Lines a second, on the average; warnings and errors are written beyond it.
    pub lines_per_second: u32,
    /// Lines that may come at once after a quiet time.
    pub burst: u32,
    /// Lines that may wait for the reader.
    pub queued_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { lines_per_second: 200, burst: 2_000, queued_lines: 1_024 }
    }
}

/// Writes what waits when it is dropped.
pub struct LogGuard(#[allow(dead_code)] WorkerGuard);

struct Budget {
    tokens: f64,
    refilled: Instant,
    dropped: u64,
}

/// Makes a writer for each line.
#[derive(Clone)]
pub(super) struct BoundedWriter {
    settings: LogSettings,
    budget: Arc<Mutex<Budget>>,
    lines: NonBlocking,
}

/// Writes one line, or drops it.
pub(super) struct LineWriter {
    lines: Option<NonBlocking>,
}

pub(super) fn writer(
    settings: LogSettings,
    output: impl Write + Send + 'static,
) -> (BoundedWriter, LogGuard) {
    let builder = NonBlockingBuilder::default().lossy(true);
    let (lines, guard) = builder.buffered_lines_limit(settings.queued_lines).finish(output);
    let tokens = f64::from(settings.burst);
    let budget = Budget { tokens, refilled: Instant::now(), dropped: 0 };
    (BoundedWriter { settings, budget: Arc::new(Mutex::new(budget)), lines }, LogGuard(guard))
}

impl BoundedWriter {
    /// Whether a line may be written now.
    fn admit(&self, urgent: bool) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let refill = now.duration_since(budget.refilled).as_secs_f64()
            * f64::from(self.settings.lines_per_second);
        budget.refilled = now;
        budget.tokens = (budget.tokens + refill).min(f64::from(self.settings.burst));
        if budget.tokens < 1.0 && !urgent {
            budget.dropped += 1;
            return false;
        }
        budget.tokens = (budget.tokens - 1.0).max(0.0);
        let dropped = std::mem::take(&mut budget.dropped);
        if dropped > 0 {
            let mut lines = self.lines.clone();
            // A queue that is full drops this line as any other.
            let _ = writeln!(lines, "level=warn event=log_lines_dropped count={dropped}");
        }
        true
    }

    fn line(&self, urgent: bool) -> LineWriter {
        LineWriter { lines: self.admit(urgent).then(|| self.lines.clone()) }
    }
}

impl<'writer> MakeWriter<'writer> for BoundedWriter {
    type Writer = LineWriter;

    fn make_writer(&'writer self) -> LineWriter {
        self.line(false)
    }

    fn make_writer_for(&'writer self, metadata: &Metadata<'_>) -> LineWriter {
        self.line(*metadata.level() <= Level::WARN)
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match &mut self.lines {
            Some(lines) => lines.write(bytes),
            None => Ok(bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
