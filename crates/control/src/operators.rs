//! Operators' HTTP interface: `POST /v1/statements` with a text of statements.

use bytes::Bytes;
use gingerkeel_transport::{HttpRequest, HttpResponse, Limits, ServerConnection, TransportError};
use http::{Method, StatusCode};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::{TcpListener, TcpStream};
use tracing::{debug, warn};

use crate::catalog_task::CatalogMessage;

/// Path on which statements are taken.
pub const STATEMENTS_PATH: &str = "/v1/statements";

/// Accepts operators' connections for ever.
pub async fn serve(listener: TcpListener, catalog: Tx<CatalogMessage>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(converse(stream, catalog.clone()));
            }
            Err(error) => warn!(event = "accept_failed", listener = "operators", %error),
        }
    }
}

async fn converse(stream: TcpStream, catalog: Tx<CatalogMessage>) {
    let mut connection = ServerConnection::new(stream, Limits::default());
    if let Err(error) = answer_requests(&mut connection, &catalog).await {
        debug!(event = "operator_connection_ended", %error);
        // The peer may be gone; then there is nobody to tell.
        let _ = connection.respond(plain(StatusCode::BAD_REQUEST, &error.to_string())).await;
    }
}

async fn answer_requests(
    connection: &mut ServerConnection,
    catalog: &Tx<CatalogMessage>,
) -> Result<(), TransportError> {
    while let Some(request) = connection.next_request().await? {
        let response = answer(request, catalog).await;
        connection.respond(response).await?;
    }
    Ok(())
}

async fn answer(request: HttpRequest, catalog: &Tx<CatalogMessage>) -> HttpResponse {
    if request.method() != Method::POST || request.uri().path() != STATEMENTS_PATH {
        return plain(StatusCode::NOT_FOUND, "unknown path: POST statements to /v1/statements");
    }
    let Ok(text) = String::from_utf8(request.into_body().to_vec()) else {
        return plain(StatusCode::BAD_REQUEST, "the text is not UTF-8: send statements as UTF-8");
    };
    let (reply, receiver) = oneshot::channel();
    if catalog.send(CatalogMessage::Execute { text, reply }).is_err() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "the process is stopping: ask another one");
    }
    match receiver.await {
        Ok(replies) => {
            let status = if replies.succeeded() { StatusCode::OK } else { StatusCode::BAD_REQUEST };
            let body = serde_json::to_vec(&replies).unwrap_or_default();
            respond(status, Bytes::from(body))
        }
        Err(_) => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "the process is stopping: ask another one")
        }
    }
}

fn plain(status: StatusCode, text: &str) -> HttpResponse {
    respond(status, Bytes::copy_from_slice(text.as_bytes()))
}

fn respond(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = HttpResponse::new(body);
    *response.status_mut() = status;
    response
}
