//! Refuses a connection with a single HTTP response and closes it.

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::admission::{Refusal, RefusalReason};
use gingerkeel_transport::{HttpResponse, Limits, MemoryShare, ServerConnection, with_close};
use local_sync::semaphore::Semaphore;
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::response;

/// Maximum number of connections being refused at a time; further ones are closed without a
/// response.
const MAX_CONCURRENT_REFUSALS: usize = 256;
/// Time limit for reading the request of a refused connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry-after of a request refused during a planned stop.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a connection is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRefusal {
    /// The limit of caller connections is reached.
    TooMany,
    /// The broker is in a planned stop.
    Stopping,
}

/// Sends refusals and closes the connections.
pub struct RefusalResponder {
    limits: Limits,
    permits: Rc<Semaphore>,
}

impl RefusalResponder {
    /// Creates a responder that reads requests within `limits`.
    pub fn new(limits: Limits) -> Self {
        Self { limits, permits: Rc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS)) }
    }

    /// Waits until the refusals in progress are sent.
    pub async fn finish(&self) {
        // The semaphore is never closed.
        let _ = self.permits.acquire_many(MAX_CONCURRENT_REFUSALS as u32).await;
    }

    /// Answers the first request of a connection with a refusal, then closes the connection.
    pub fn refuse(&self, stream: TcpStream, share: Rc<MemoryShare>, reason: ConnectionRefusal) {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return;
        };
        let limits = self.limits;
        monoio::spawn(async move {
            let connection = ServerConnection::accounted(stream, limits, share);
            // On a timeout the connection is closed without a response.
            let _ = timeout(2 * REQUEST_TIMEOUT, respond_once(connection, reason)).await;
            drop(permit);
        });
    }
}

/// Reads the request before responding: closing a connection with unread bytes resets it, and the
/// caller would lose the response.
async fn respond_once(mut connection: ServerConnection, reason: ConnectionRefusal) {
    // The refusal is sent whatever was read, and also after a timeout.
    let _ = timeout(REQUEST_TIMEOUT, connection.next_request()).await;
    // Fails if the caller has disconnected.
    let _ = connection.respond(with_close(response_for(reason))).await;
}

fn response_for(reason: ConnectionRefusal) -> HttpResponse {
    match reason {
        ConnectionRefusal::TooMany => response::too_many_connections(),
        ConnectionRefusal::Stopping => response::refused(Refusal {
            reason: RefusalReason::Stopping,
            retry_after: STOPPING_RETRY_AFTER,
        }),
    }
}
