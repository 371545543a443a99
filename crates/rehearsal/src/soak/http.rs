//! One request on a connection of its own, as a caller or an operator sends it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for a connection to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: u16,
    head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response that nobody sent, for tests of the checks.
    #[cfg(test)]
    pub fn doctored(status: u16, fields: &str, body: &[u8]) -> Self {
        Self { status, head: format!("HTTP/1.1 {status} X\r\n{fields}\r\n"), body: body.to_vec() }
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Why there is no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResponse {
    /// No connection came up: nothing was sent.
    NotConnected,
    /// The connection ended without a whole response.
    Cut,
    /// No whole response came in time.
    TimedOut,
}

/// Sends a request and reads its response.
///
/// # Errors
/// [`NoResponse`] when none came.
pub fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
) -> Result<Response, NoResponse> {
    let connected = TcpStream::connect_timeout(&address, CONNECT_LIMIT);
    let mut stream = connected.map_err(|_| NoResponse::NotConnected)?;
    let timed = stream.set_read_timeout(Some(limit));
    timed.and_then(|()| stream.write_all(request)).map_err(|_| NoResponse::Cut)?;
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_some(&mut stream, &mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let mut response = Response { status, head, body: bytes.split_off(head_end) };
    let length = response.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while response.body.len() < length {
        read_some(&mut stream, &mut response.body)?;
    }
    Ok(response)
}

fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<(), NoResponse> {
    let mut buffer = [0; 4_096];
    match stream.read(&mut buffer) {
        Ok(0) => Err(NoResponse::Cut),
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            Ok(())
        }
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Err(NoResponse::TimedOut),
        Err(_) => Err(NoResponse::Cut),
    }
}
