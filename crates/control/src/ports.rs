//! Traits for the interfaces to operators of routes and to the external directory of leaves.
//!
//! Implementations only translate between a wire format and these types; the control process makes
//! all decisions.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::directory::{ListedLeaf, RejectedEntry};
use gingerkeel_domain::identifiers::{ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::rollout::Rollout;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteVersion};
use gingerkeel_transport::{HttpRequest, HttpResponse};
use http::Method;
use quick_error::quick_error;
use serde_json::error::Category;

quick_error! {
    /// Why a request or a page was rejected by its parser.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InterfaceError {
        /// The message is malformed; the reason includes the remedy.
        Malformed(reason: String) {
            display("{reason}")
        }
    }
}

impl InterfaceError {
    /// Creates the error for a document that is not valid JSON or lacks a field. The message of the
    /// JSON parser is left out because it may quote the document, including a tenant's key.
    pub fn unreadable(document: &str, error: &serde_json::Error) -> Self {
        let fault = match error.classify() {
            Category::Io | Category::Syntax => "it is no valid JSON",
            Category::Eof => "it ends too early",
            Category::Data => "a field is missing or has a value of another kind",
        };
        let (line, column) = (error.line(), error.column());
        Self::Malformed(format!(
            "the {document} is not readable: {fault}: see line {line}, column {column}"
        ))
    }
}

/// A parsed call of an operator.
pub enum RouteCall {
    /// Replace the route configuration.
    Replace(Box<AcceptedRoutes>),
    /// Read the route configuration.
    Read,
    /// Evacuate a zone: send no more requests to its leaves.
    Evacuate(ZoneName),
    /// Restore an evacuated zone.
    Restore(ZoneName),
    /// Begin a roll-out: move the requests of a service to another software version.
    BeginRollout {
        /// The service.
        service: ServiceName,
        /// The version to roll out.
        target: SoftwareVersion,
        /// Time within which all requests are to be moved.
        within: Duration,
    },
    /// Read the newest roll-out of a service.
    ReadRollout(ServiceName),
    /// Unknown path or method.
    Unknown,
}

/// The answer to a call of an operator.
pub enum RouteAnswer<'answer> {
    /// The call's version or a higher one is accepted.
    Accepted(RouteVersion),
    /// The accepted configuration, with the document as the operator sent it.
    Current(&'answer AcceptedRoutes),
    /// No configuration was accepted yet.
    Empty,
    /// The order to evacuate or restore a zone is accepted.
    ZoneOrdered,
    /// The roll-out order is accepted.
    RolloutOrdered,
    /// The newest roll-out of a service.
    Rollout(&'answer Rollout),
    /// The service has never been rolled out.
    NoRollout,
    /// The order conflicts with another one in progress and changed nothing.
    Conflict(String),
    /// The call is invalid and changed nothing.
    Invalid(String),
    /// No quorum confirmed the call in time, or its outcome is unknown: the operator retries.
    Unavailable(String),
    /// Unknown path or method.
    Unknown,
}

/// Wire format of the operators' calls about routes, zones and roll-outs.
pub trait RouteInterface {
    /// Whether a call of this method and path has a body that may be long.
    fn takes_body(&self, method: &Method, path: &str) -> bool;

    /// Parses a call.
    ///
    /// # Errors
    /// An [`InterfaceError`] if the body is malformed.
    fn parse_call(&self, request: &HttpRequest) -> Result<RouteCall, InterfaceError>;

    /// Encodes an answer as an HTTP response.
    fn answer(&self, answer: RouteAnswer<'_>) -> HttpResponse;
}

/// A page of the directory's list of leaves.
pub struct DirectoryPage {
    /// The usable leaves of the page.
    pub leaves: Vec<ListedLeaf>,
    /// Entries of the page that name no usable leaf.
    pub left_out: Vec<RejectedEntry>,
    /// Token of the next page; none on the last page.
    pub next: Option<String>,
}

/// Wire format of the external directory of leaves.
pub trait DirectoryInterface {
    /// Path and query of the request for a page; for the first page without a token.
    fn request_target(&self, page: Option<&str>) -> String;

    /// Parses a page.
    ///
    /// # Errors
    /// An [`InterfaceError`] if the body has no readable list of entries.
    fn parse_page(&self, body: &Bytes) -> Result<DirectoryPage, InterfaceError>;
}
