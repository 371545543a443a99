//! Complete responses of the administrative HTTP interfaces.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};

use crate::message::HttpResponse;

/// A response with a plain-text body, without a content type.
pub fn text_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::copy_from_slice(text.as_bytes()));
    *response.status_mut() = status;
    response
}

/// A response with a JSON body and its content type.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = HttpResponse::new(body.into());
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
