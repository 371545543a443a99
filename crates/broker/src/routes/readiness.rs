//! HTTP readiness endpoint of the broker.

use std::rc::Rc;

use bytes::Bytes;
use gingerkeel_domain::memory::CHECK_LIMITS;
use gingerkeel_transport::{
    ConnectionMemory, HttpRequest, HttpResponse, Limits, RequestHandler, RequestServer,
};
use http::StatusCode;
use monoio::net::TcpListener;

use super::state::RouteState;

/// Serves readiness checks; never returns.
pub async fn serve(listener: TcpListener, state: Rc<RouteState>) {
    let memory = ConnectionMemory::new("readiness", state.clock, CHECK_LIMITS);
    let server = RequestServer::new("readiness", Limits::default(), memory);
    server.serve(listener, ReadinessHandler { state }).await;
}

struct ReadinessHandler {
    state: Rc<RouteState>,
}

impl RequestHandler for ReadinessHandler {
    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let known = request.uri().path() == self.state.dialect.readiness_path;
        let status = match (known, self.state.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = HttpResponse::new(Bytes::new());
        *response.status_mut() = status;
        response
    }
}
