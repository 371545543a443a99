//! HTTP readiness endpoint of the broker.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_transport::{HttpResponse, Limits, ServerConnection};
use http::StatusCode;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use tracing::warn;

use super::state::RouteState;

/// Pause after a failed accept, such as without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves readiness checks; never returns.
pub async fn serve(listener: TcpListener, state: Rc<RouteState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(serve_connection(stream, state.clone()));
            }
            Err(error) => {
                warn!(event = "accept_failed", listener = "readiness", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
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
