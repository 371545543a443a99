//! Counts messages and bytes sent to brokers, by kind of message.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use tracing::info;

/// Interval between log lines about sent messages.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Messages of one kind and their total size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// Messages sent to all brokers since the last log line, by kind.
#[derive(Clone, Default)]
pub struct FeedTraffic {
    sent: Rc<RefCell<BTreeMap<&'static str, Sent>>>,
}

impl FeedTraffic {
    /// Counts one message of a kind with its size in bytes.
    pub fn record(&self, kind: &'static str, bytes: usize) {
        let mut all = self.sent.borrow_mut();
        let of_kind = all.entry(kind).or_default();
        of_kind.messages += 1;
        of_kind.bytes += bytes as u64;
    }

    /// Logs the traffic periodically. Full copies for restarting brokers can take up much of a
    /// machine's bandwidth.
    pub async fn log_periodically(self) {
        loop {
            sleep(LOG_INTERVAL).await;
            for (kind, Sent { messages, bytes }) in self.sent.take() {
                info!(event = "feed_sent", kind, messages, bytes);
            }
        }
    }
}
