//! The metrics endpoint, `GET /metrics`.

use bytes::Bytes;
use gingerkeel_domain::memory::CHECK_LIMITS;
use gingerkeel_transport::{
    Clock, ConnectionMemory, HttpRequest, HttpResponse, Limits, RequestHandler, RequestServer,
};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpListener;

use crate::engine::EngineMessage;

/// Path of the endpoint.
const PATH: &str = "/metrics";
/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves metrics until the process ends.
pub async fn serve(listener: TcpListener, clock: Clock, engine: Tx<EngineMessage>) {
    let memory = ConnectionMemory::new("metrics", clock, CHECK_LIMITS);
    let server = RequestServer::new("metrics", Limits::default(), memory);
    server.serve(listener, MetricsHandler { engine }).await;
}

struct MetricsHandler {
    engine: Tx<EngineMessage>,
}

impl RequestHandler for MetricsHandler {
    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        if request.uri().path() != PATH {
            return plain(StatusCode::NOT_FOUND, "unknown path: GET /metrics\n");
        }
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
        }
        let (reply, text) = oneshot::channel();
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::RenderMetrics { reply });
        match text.await {
            Ok(text) => with_type(HttpResponse::new(Bytes::from(text)), OPEN_METRICS),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE, "the broker has stopped\n"),
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::from_static(text.as_bytes()));
    *response.status_mut() = status;
    with_type(response, "text/plain; charset=utf-8")
}

fn with_type(mut response: HttpResponse, content_type: &'static str) -> HttpResponse {
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
