//! Native HTTP interface for routes: `PUT` and `GET` of `/v1/routes`, as JSON, `PUT` and `DELETE`
//! of `/v1/evacuations/ZONE`, and `PUT` and `GET` of `/v1/rollouts/SERVICE`.

mod document;

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::identifiers::{ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::routes::AcceptedRoutes;
use gingerkeel_transport::{HttpRequest, HttpResponse, json_response, text_response};
use http::{Method, StatusCode};
use serde::Deserialize;

use self::document::ConfigurationDocument;
use crate::ports::{InterfaceError, RouteAnswer, RouteCall, RouteInterface};

/// Path of the route configuration.
const ROUTES_PATH: &str = "/v1/routes";
/// Prefix of the path of a zone's evacuation, followed by the name of the zone.
const EVACUATIONS_PATH: &str = "/v1/evacuations/";

/// Prefix of the path of a service's roll-out, followed by the name of the service.
const ROLLOUTS_PATH: &str = "/v1/rollouts/";

/// JSON body of a roll-out order.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutDocument {
    version: String,
    within_ms: u64,
}

/// Native JSON format of the calls.
#[derive(Debug, Default)]
pub struct NativeRoutes;

impl RouteInterface for NativeRoutes {
    fn takes_body(&self, method: &Method, path: &str) -> bool {
        method == Method::PUT && (path == ROUTES_PATH || path.starts_with(ROLLOUTS_PATH))
    }

    fn parse_call(&self, request: &HttpRequest) -> Result<RouteCall, InterfaceError> {
        if let Some(zone) = request.uri().path().strip_prefix(EVACUATIONS_PATH) {
            return Ok(parse_evacuation(request.method(), zone));
        }
        if let Some(service) = request.uri().path().strip_prefix(ROLLOUTS_PATH) {
            return parse_rollout(request, ServiceName::new(service));
        }
        if request.uri().path() != ROUTES_PATH {
            return Ok(RouteCall::Unknown);
        }
        match *request.method() {
            Method::GET => Ok(RouteCall::Read),
            Method::PUT => parse_configuration(request.body())
                .map(|routes| RouteCall::Replace(Box::new(routes))),
            _ => Ok(RouteCall::Unknown),
        }
    }

    fn answer(&self, answer: RouteAnswer<'_>) -> HttpResponse {
        match answer {
            RouteAnswer::Accepted(version) => {
                json_response(StatusCode::OK, format!("{{\"accepted\":{}}}", version.0))
            }
            RouteAnswer::Current(routes) => json_response(StatusCode::OK, routes.document.clone()),
            RouteAnswer::Empty => {
                text_response(StatusCode::NOT_FOUND, "no routes were accepted yet")
            }
            RouteAnswer::ZoneOrdered | RouteAnswer::RolloutOrdered => {
                json_response(StatusCode::OK, "{\"accepted\":true}")
            }
            RouteAnswer::Rollout(rollout) => json_response(
                StatusCode::OK,
                serde_json::json!({
                    "version": rollout.order.target.as_str(),
                    "stage": rollout.stage.as_str(),
                })
                .to_string(),
            ),
            RouteAnswer::NoRollout => {
                text_response(StatusCode::NOT_FOUND, "the service was never rolled out")
            }
            RouteAnswer::Conflict(reason) => text_response(StatusCode::CONFLICT, &reason),
            RouteAnswer::Invalid(reason) => text_response(StatusCode::BAD_REQUEST, &reason),
            RouteAnswer::Unavailable(reason) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, &reason)
            }
            RouteAnswer::Unknown => text_response(
                StatusCode::NOT_FOUND,
                "unknown call: use GET or PUT of /v1/routes, PUT or DELETE of /v1/evacuations/ZONE, \
                 or GET or PUT of /v1/rollouts/SERVICE",
            ),
        }
    }
}

fn parse_evacuation(method: &Method, zone: &str) -> RouteCall {
    match *method {
        Method::PUT => RouteCall::Evacuate(ZoneName::new(zone)),
        Method::DELETE => RouteCall::Restore(ZoneName::new(zone)),
        _ => RouteCall::Unknown,
    }
}

fn parse_rollout(request: &HttpRequest, service: ServiceName) -> Result<RouteCall, InterfaceError> {
    match *request.method() {
        Method::GET => Ok(RouteCall::ReadRollout(service)),
        Method::PUT => {
            let document: RolloutDocument = serde_json::from_slice(request.body())
                .map_err(|error| InterfaceError::unreadable("order of a roll-out", &error))?;
            let target = SoftwareVersion::new(document.version);
            let within = Duration::from_millis(document.within_ms);
            Ok(RouteCall::BeginRollout { service, target, within })
        }
        _ => Ok(RouteCall::Unknown),
    }
}

fn parse_configuration(body: &Bytes) -> Result<AcceptedRoutes, InterfaceError> {
    let document: ConfigurationDocument = serde_json::from_slice(body)
        .map_err(|error| InterfaceError::unreadable("configuration", &error))?;
    Ok(AcceptedRoutes { configuration: document.configuration()?, document: body.to_vec() })
}
