//! What a control process speaks with operators of routes and with the directory of leaves.
//!
//! The process decides; an implementation of these traits only translates.

use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::directory::{ListedLeaf, RejectedEntry};
use gingerkeel_domain::identifiers::{ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_domain::rollout::Rollout;
use gingerkeel_domain::routes::{AcceptedRoutes, RouteVersion};
use gingerkeel_transport::{HttpRequest, HttpResponse};
use quick_error::quick_error;
use serde_json::error::Category;

quick_error! {
    /// A message that cannot be understood.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InterfaceError {
        /// What is wrong and what to do.
        Malformed(reason: String) {
            display("{reason}")
        }
    }
}

impl InterfaceError {
    /// A document that cannot be read. The parser's own words may quote the document, and with it a key.
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

/// What an operator wants.
pub enum RouteCall {
    /// Replace the configuration of routes.
    Replace(Box<AcceptedRoutes>),
    /// Read it.
    Read,
    /// Evacuate a zone.
    Evacuate(ZoneName),
    /// Take the evacuation of a zone back.
    Restore(ZoneName),
    /// Move the requests of a service to another software version.
    BeginRollout {
        /// The service.
        service: ServiceName,
        /// The version.
        target: SoftwareVersion,
        /// Time within which they are to have moved.
        within: Duration,
    },
    /// Read the newest roll-out of a service.
    ReadRollout(ServiceName),
    /// Something that there is not.
    Unknown,
}

/// What an operator is told.
pub enum RouteAnswer<'answer> {
    /// This version or a higher one is accepted.
    Accepted(RouteVersion),
    /// The configuration, as the operator sent it.
    Current(&'answer AcceptedRoutes),
    /// There is no configuration yet.
    Empty,
    /// The order about a zone is accepted.
    ZoneOrdered,
    /// The order of a roll-out is accepted.
    RolloutOrdered,
    /// The newest roll-out of a service.
    Rollout(&'answer Rollout),
    /// There was never a roll-out of the service.
    NoRollout,
    /// Another order is under way; this one has changed nothing.
    Conflict(String),
    /// The call is not valid and has changed nothing.
    Invalid(String),
    /// The outcome is not known, or the newest state is not: ask again.
    Unavailable(String),
    /// There is no such call.
    Unknown,
}

/// The operators' calls about routes and zones.
pub trait RouteInterface {
    /// Understands a call.
    ///
    /// # Errors
    /// An [`InterfaceError`] when the body is not a whole configuration.
    fn understand(&self, request: &HttpRequest) -> Result<RouteCall, InterfaceError>;

    /// Gives the answer its form.
    fn answer(&self, answer: RouteAnswer<'_>) -> HttpResponse;
}

/// A page of the list of leaves.
pub struct DirectoryPage {
    /// The leaves of the page.
    pub leaves: Vec<ListedLeaf>,
    /// Its entries that name no usable leaf.
    pub left_out: Vec<RejectedEntry>,
    /// Name of the next page; none on the last.
    pub next: Option<String>,
}

/// The outside directory of leaves.
pub trait DirectoryInterface {
    /// The path and query by which a page is asked for; the first when none is named.
    fn request_target(&self, page: Option<&str>) -> String;

    /// Understands a page.
    ///
    /// # Errors
    /// An [`InterfaceError`] when the body is no page.
    fn understand(&self, body: &Bytes) -> Result<DirectoryPage, InterfaceError>;
}
