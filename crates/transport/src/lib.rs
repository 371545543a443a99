//! HTTP/1.1 connections with limits on message size and time, and the runtime, clock and file watch
//! that all processes share.
//!
//! A [`ServerConnection`] reads requests of bounded size one at a time and writes their responses;
//! a [`ClientConnection`] sends requests and reads responses of bounded size. Both use `monoio-http`
//! and own their socket. The module [`http1`] has the streaming connections for forwarding.

mod body;
mod client;
mod clock;
mod error;
mod file_watch;
pub mod http1;
mod latch;
mod limits;
mod listener;
mod memory;
mod message;
mod request_server;
mod responses;
mod runtime;
mod server;
mod signals;

pub use body::CollectedBody;
pub use client::{ClientConnection, RequestWriter, ResponseReader};
pub use clock::Clock;
pub use error::TransportError;
pub use file_watch::FileWatch;
pub use latch::Latch;
pub use limits::Limits;
pub use listener::{accept_connections, accept_until, listen};
pub use memory::{ConnectionMemory, MemoryCharge, MemoryShare, MemoryShortage, MemoryUsage};
pub use message::{HttpRequest, HttpResponse};
pub use monoio_http::common::request::RequestHead;
pub use request_server::{RequestHandler, RequestServer, with_close};
pub use responses::{json_response, text_response};
pub use runtime::{block_on, build_runtime};
pub use server::{ReceivedRequest, RequestReader, ResponseWriter, ServerConnection, asks_to_close};
pub use signals::stop_requested;
