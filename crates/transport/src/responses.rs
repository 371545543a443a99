//! Whole answers of the product's own interfaces.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};

use crate::message::HttpResponse;

/// An answer in words.
pub fn text_response(status: StatusCode, text: &str) -> HttpResponse {
    let mut response = HttpResponse::new(Bytes::copy_from_slice(text.as_bytes()));
    *response.status_mut() = status;
    response
}

/// An answer in JSON.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = HttpResponse::new(body.into());
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
