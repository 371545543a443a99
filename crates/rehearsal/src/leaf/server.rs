//! The HTTP side of a stand-in leaf.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_transport::{HttpRequest, HttpResponse, Limits, ServerConnection, TransportError};
use http::{HeaderMap, Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};

use super::journal::{Journal, JournalEntry};

/// Headers that a reply repeats.
const REPEATED_HEADERS: [&str; 3] = ["x-request-id", "x-index-version", "x-partition-epoch"];

/// State that the connections of a stand-in leaf share.
pub struct LeafServer {
    journal: RefCell<Journal>,
    service_time: Duration,
}

impl LeafServer {
    /// A leaf whose requests all take `service_ms` milliseconds.
    pub fn new(journal: Journal, service_ms: u64) -> Self {
        Self { journal: RefCell::new(journal), service_time: Duration::from_millis(service_ms) }
    }

    /// Accepts connections for ever.
    ///
    /// # Errors
    /// An [`io::Error`] when a connection cannot be accepted.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let server = Rc::new(self);
        loop {
            let (stream, _) = listener.accept().await?;
            let server = server.clone();
            monoio::spawn(async move { server.converse(stream).await });
        }
    }

    async fn converse(&self, stream: TcpStream) -> Result<(), TransportError> {
        let mut connection = ServerConnection::new(stream, Limits::default());
        while let Some(request) = connection.next_request().await? {
            let response = self.answer(request).await;
            connection.respond(response).await?;
        }
        Ok(())
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        if request.method() == Method::DELETE {
            return HttpResponse::new(Bytes::new());
        }
        let Some(entry) = read_entry(&request) else {
            let mut response = HttpResponse::new(Bytes::new());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        monoio::time::sleep(self.service_time).await;
        if let Err(error) = self.journal.borrow_mut().record(&entry) {
            panic!("the journal cannot be written ({error}): check the disk");
        }
        let body = format!("shard {} at {}.{}", entry.shard, entry.epoch, entry.version);
        let mut response = HttpResponse::new(Bytes::from(body));
        for name in REPEATED_HEADERS {
            if let Some(value) = request.headers().get(name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        response
    }
}

fn read_entry(request: &HttpRequest) -> Option<JournalEntry> {
    let path = request.uri().path();
    let shard = path.strip_prefix("/v1/shards/")?.strip_suffix("/search")?.parse().ok()?;
    let headers = request.headers();
    Some(JournalEntry {
        request: text(headers, "x-request-id")?.to_owned(),
        shard,
        version: text(headers, "x-index-version")?.parse().ok()?,
        epoch: text(headers, "x-partition-epoch")?.parse().ok()?,
    })
}

fn text<'head>(headers: &'head HeaderMap, name: &str) -> Option<&'head str> {
    headers.get(name)?.to_str().ok()
}
