//! The product's own interface of routes: `PUT` and `GET` of `/v1/routes`, as JSON.

use bytes::Bytes;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteConfiguration};
use gingerkeel_transport::{HttpRequest, HttpResponse, json_answer, text_answer};
use http::{Method, StatusCode};

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
                json_answer(StatusCode::OK, format!("{{\"accepted\":{}}}", version.0))
            }
            RouteAnswer::Current(routes) => json_answer(StatusCode::OK, routes.document.clone()),
            RouteAnswer::Empty => text_answer(StatusCode::NOT_FOUND, "no routes were accepted yet"),
            RouteAnswer::Invalid(reason) => text_answer(StatusCode::BAD_REQUEST, &reason),
            RouteAnswer::Unavailable(reason) => {
                text_answer(StatusCode::SERVICE_UNAVAILABLE, &reason)
            }
            RouteAnswer::Unknown => {
                text_answer(StatusCode::NOT_FOUND, "unknown call: use GET or PUT of /v1/routes")
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
