//! Rate-limited, non-blocking writer of log lines.
//!
//! A dedicated thread writes the lines, so that a stalled reader blocks only that thread. Lines
//! that exceed the rate limit or do not fit into the queue of the thread are dropped. A warning
//! reports the number of lines dropped by the rate limit.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;

/// Rate limit and queue size of logging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Average number of lines per second. Warnings and errors are exempt.
    pub lines_per_second: u32,
    /// Maximum number of lines in a burst.
    pub burst: u32,
    /// Maximum number of lines in the queue of the writer thread.
    pub queued_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { lines_per_second: 200, burst: 2_000, queued_lines: 1_024 }
    }
}

/// Flushes the queued lines and stops the writer thread when dropped.
pub struct LogGuard(#[allow(dead_code)] WorkerGuard);

/// Token bucket with a count of dropped lines.
struct LineBudget {
    tokens: f64,
    refilled: Instant,
    dropped: u64,
}

/// Creates a [`LineWriter`] for each log line.
#[derive(Clone)]
pub(super) struct BoundedWriter {
    settings: LogSettings,
    budget: Arc<Mutex<LineBudget>>,
    lines: NonBlocking,
}

/// Queues one line, or discards it if the rate limit has been exceeded.
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
    let budget = LineBudget { tokens, refilled: Instant::now(), dropped: 0 };
    (BoundedWriter { settings, budget: Arc::new(Mutex::new(budget)), lines }, LogGuard(guard))
}

impl BoundedWriter {
    /// Takes a token for a line and returns whether the line may be written. Urgent lines are
    /// always admitted. Reports the lines dropped since the last admitted line.
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
            // If the queue is full, this line is dropped as well.
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
