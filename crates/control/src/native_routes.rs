//! The product's own interface of routes: `PUT` and `GET` of `/v1/routes`, as JSON.

use bytes::Bytes;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteConfiguration};
use gingerkeel_transport::{HttpRequest, HttpResponse};
use http::{HeaderValue, Method, StatusCode, header};

use crate::ports::{InterfaceError, RouteAnswer, RouteCall, RouteInterface};

/// Path of the configuration.
const ROUTES_PATH: &str = "/v1/routes";

/// The product's own interface.
#[derive(Debug, Default)]
pub struct NativeRoutes;

impl RouteInterface for NativeRoutes {
    fn understand(&self, request: &HttpRequest) -> Result<RouteCall, InterfaceError> {
        if request.uri().path() != ROUTES_PATH {
            return Ok(RouteCall::Unknown);
        }
        match *request.method() {
            Method::GET => Ok(RouteCall::Read),
            Method::PUT => read(request.body()).map(|routes| RouteCall::Replace(Box::new(routes))),
            _ => Ok(RouteCall::Unknown),
        }
    }

    fn answer(&self, answer: RouteAnswer<'_>) -> HttpResponse {
        match answer {
            RouteAnswer::Accepted(version) => {
                json(StatusCode::OK, format!("{{\"accepted\":{}}}", version.0))
            }
            RouteAnswer::Current(routes) => json(StatusCode::OK, routes.document.clone()),
            RouteAnswer::Empty => text(StatusCode::NOT_FOUND, "no routes were accepted yet"),
            RouteAnswer::Invalid(reason) => text(StatusCode::BAD_REQUEST, &reason),
            RouteAnswer::Unavailable(reason) => text(StatusCode::SERVICE_UNAVAILABLE, &reason),
            RouteAnswer::Unknown => {
                text(StatusCode::NOT_FOUND, "unknown call: use GET or PUT of /v1/routes")
            }
        }
    }
}

fn read(body: &Bytes) -> Result<AcceptedRoutes, InterfaceError> {
    let configuration: RouteConfiguration = serde_json::from_slice(body).map_err(|error| {
        InterfaceError::Malformed(format!("the configuration is not readable: {error}"))
    })?;
    Ok(AcceptedRoutes { configuration, document: body.to_vec() })
}

fn json(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = text(status, "");
    *response.body_mut() = body.into();
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn text(status: StatusCode, reason: &str) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::copy_from_slice(reason.as_bytes()));
    *response.status_mut() = status;
    response
}
