//! Connections that are answered once, with a refusal, and closed.

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::admission::{Refusal, RefusalReason};
use gingerkeel_transport::{HttpResponse, Limits, ServerConnection};
use local_sync::semaphore::Semaphore;
use monoio::net::TcpStream;
use monoio::time::timeout;

use super::response;

/// Connections that are refused at the same time; more are closed without a word.
const REFUSED_AT_ONCE: usize = 256;
/// Time for which a request is awaited on a connection that is refused.
const REQUEST_TIME: Duration = Duration::from_secs(1);
/// Advice to a caller whose broker stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a connection is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRefusal {
    /// Callers hold as many connections as they may.
    TooMany,
    /// The broker is stopping.
    Stopping,
}

/// Answers connections that are not served.
pub struct RefusalResponder {
    limits: Limits,
    places: Rc<Semaphore>,
}

impl RefusalResponder {
    /// A refusal_responder with these bounds on requests.
    pub fn new(limits: Limits) -> Self {
        Self { limits, places: Rc::new(Semaphore::new(REFUSED_AT_ONCE)) }
    }

    /// Answers the first request on a connection with the reason, then closes it.
    pub fn refuse(&self, stream: TcpStream, reason: ConnectionRefusal) {
        let Ok(place) = self.places.clone().try_acquire_owned() else {
            return;
        };
        let limits = self.limits;
        monoio::spawn(async move {
            let connection = ServerConnection::new(stream, limits);
            // Times out when the caller sends or reads too slowly; it is closed all the same.
            let _ = timeout(2 * REQUEST_TIME, answer_once(connection, reason)).await;
            drop(place);
        });
    }
}

/// Reads the request before it answers: closing a connection with unread bytes would reset it
/// and take the answer away from the caller.
async fn answer_once(mut connection: ServerConnection, reason: ConnectionRefusal) {
    // Whatever comes is refused, also nothing.
    let _ = timeout(REQUEST_TIME, connection.next_request()).await;
    // The caller may be gone; then there is nobody to tell.
    let _ = connection.respond(response::with_close(response_for(reason))).await;
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
