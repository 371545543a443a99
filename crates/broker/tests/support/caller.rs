//! A caller that sends raw bytes.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use serde_json::Value;

use super::WAIT_TIMEOUT;

/// A received response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Response {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {}", self.body))
    }

    /// The field `outcome` of the body.
    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or_default().to_owned()
    }

    /// The field `reason` of the body.
    pub fn reason(&self) -> String {
        self.json()["reason"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the response has `Connection: close`.
    pub fn closes(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// A query to send.
#[derive(Debug, Clone)]
pub struct Query {
    /// Service name in the path.
    pub service: String,
    /// Headers; one with an empty value is not sent.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Query {
    /// A query of a class with a deadline in five seconds.
    pub fn new(class: &str) -> Self {
        let headers = vec![
            ("x-class", class.to_owned()),
            ("x-caller", "desk".to_owned()),
            ("x-deadline-ms", "5000".to_owned()),
        ];
        Self { service: "tickets".into(), headers, body: b"find".to_vec() }
    }

    /// Sets or replaces a header.
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(key, _)| *key != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Marks the query as not repeatable.
    pub fn once(self) -> Self {
        self.with("x-repeatable", "false")
    }

    /// Encodes the query.
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("POST /v1/services/{}/query HTTP/1.1\r\nhost: x\r\n", self.service);
        for (name, value) in self.headers.iter().filter(|(_, value)| !value.is_empty()) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        [head.as_bytes(), &self.body].concat()
    }
}

/// One connection to a broker.
pub struct Caller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Caller {
    /// Connects; panics if nothing listens.
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).expect("the broker listens")
    }

    /// Connects; none if nothing listens.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a valid time");
        Some(Self { stream, unread: Vec::new() })
    }

    /// Sends bytes; ignores a connection that the broker has closed.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Sends a query and reads its response.
    pub fn ask(&mut self, query: &Query) -> Response {
        self.send(&query.bytes());
        self.receive().expect("an answer")
    }

    /// Reads the next response; none if the connection closed before its end.
    pub fn receive(&mut self) -> Option<Response> {
        let head_end = loop {
            if let Some(end) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            self.read_some()?;
        };
        let head = String::from_utf8_lossy(&self.unread[..head_end]).into_owned();
        let (status, headers) = parse_head(&head);
        let mut response = Response { status, headers, body: String::new() };
        let length: usize = response.header("content-length")?.parse().ok()?;
        while self.unread.len() < head_end + length {
            self.read_some()?;
        }
        let rest = self.unread.split_off(head_end + length);
        response.body = String::from_utf8_lossy(&self.unread[head_end..]).into_owned();
        self.unread = rest;
        Some(response)
    }

    /// Reads until this many heads have arrived and the last byte is not a line end; returns all text.
    pub fn receive_text(&mut self, heads: usize) -> String {
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if text.matches("\r\n\r\n").count() >= heads && !text.ends_with('\n') {
                return text;
            }
            self.read_some().expect("more of the answers");
        }
    }

    /// Whether the broker closes the connection without sending another byte.
    pub fn is_closed(&mut self) -> bool {
        self.unread.is_empty() && self.read_some().is_none()
    }

    /// Closes the connection.
    pub fn hang_up(self) {
        // Fails if the broker has closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn read_some(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) => None,
            Ok(count) => {
                self.unread.extend_from_slice(&buffer[..count]);
                Some(())
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("timed out waiting for the broker")
            }
            Err(_) => None,
        }
    }
}

fn parse_head(head: &str) -> (u16, Vec<(String, String)>) {
    let mut lines = head.lines();
    let start = lines.next().unwrap_or_default();
    let status = start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default();
    let headers = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    (status, headers)
}

/// Requests a request key; none if the broker does not know the caller yet.
pub fn issue_key(mut caller: Caller) -> Option<String> {
    caller.send(
        b"POST /v1/request-keys HTTP/1.1\r\nhost: x\r\nx-caller: desk\r\ncontent-length: 0\r\n\r\n",
    );
    let response = caller.receive()?;
    (response.status == 201).then(|| response.json()["key"].as_str().map(str::to_owned))?
}
