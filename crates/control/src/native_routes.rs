//! The product's own interface of routes: `PUT` and `GET` of `/v1/routes`, as JSON, and `PUT` and
//! `DELETE` of `/v1/evacuations/ZONE`.

mod document;

use bytes::Bytes;
use gingerkeel_domain::identifiers::ZoneName;
use gingerkeel_domain::routes::AcceptedRoutes;
use gingerkeel_transport::{HttpRequest, HttpResponse, json_answer, text_answer};
use http::{Method, StatusCode};

use self::document::ConfigurationDocument;
use crate::ports::{InterfaceError, RouteAnswer, RouteCall, RouteInterface};

/// Path of the configuration.
const ROUTES_PATH: &str = "/v1/routes";
/// Beginning of the path of a zone's evacuation; its name follows.
const EVACUATIONS_PATH: &str = "/v1/evacuations/";

/// The product's own interface.
#[derive(Debug, Default)]
pub struct NativeRoutes;

impl RouteInterface for NativeRoutes {
    fn understand(&self, request: &HttpRequest) -> Result<RouteCall, InterfaceError> {
        if let Some(zone) = request.uri().path().strip_prefix(EVACUATIONS_PATH) {
            return Ok(evacuation(request.method(), zone));
        }
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
            RouteAnswer::ZoneOrdered => json_answer(StatusCode::OK, "{\"accepted\":true}"),
            RouteAnswer::Invalid(reason) => text_answer(StatusCode::BAD_REQUEST, &reason),
            RouteAnswer::Unavailable(reason) => {
                text_answer(StatusCode::SERVICE_UNAVAILABLE, &reason)
            }
            RouteAnswer::Unknown => text_answer(
                StatusCode::NOT_FOUND,
                "unknown call: use GET or PUT of /v1/routes, or PUT or DELETE of /v1/evacuations/ZONE",
            ),
        }
    }
}

fn evacuation(method: &Method, zone: &str) -> RouteCall {
    match *method {
        Method::PUT => RouteCall::Evacuate(ZoneName::new(zone)),
        Method::DELETE => RouteCall::Restore(ZoneName::new(zone)),
        _ => RouteCall::Unknown,
    }
}

fn read(body: &Bytes) -> Result<AcceptedRoutes, InterfaceError> {
    let document: ConfigurationDocument = serde_json::from_slice(body)
        .map_err(|error| InterfaceError::unreadable("configuration", &error))?;
    Ok(AcceptedRoutes { configuration: document.configuration()?, document: body.to_vec() })
}
