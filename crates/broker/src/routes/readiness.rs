//! HTTP readiness endpoint of the broker.

use std::rc::Rc;

use bytes::Bytes;
use gingerkeel_transport::{HttpResponse, Limits, ServerConnection, accept_connections};
use http::StatusCode;
use monoio::net::{TcpListener, TcpStream};

use super::state::RouteState;

/// Serves readiness checks; never returns.
pub async fn serve(listener: TcpListener, state: Rc<RouteState>) {
    accept_connections(listener, "readiness", |stream| {
        monoio::spawn(serve_connection(stream, state.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, state: Rc<RouteState>) {
    let mut connection = ServerConnection::new(stream, Limits::default());
    while let Ok(Some(request)) = connection.next_request().await {
        let known = request.uri().path() == state.dialect.readiness_path;
        let status = match (known, state.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = HttpResponse::new(Bytes::new());
        *response.status_mut() = status;
        if connection.respond(response).await.is_err() {
            return;
        }
    }
}
