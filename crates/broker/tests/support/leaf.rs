//! A scripted leaf, whose replies a test gives byte for byte.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::wait_until;

/// A request received by a leaf.
#[derive(Debug, Clone)]
pub struct LeafRequest {
    /// Start line and headers.
    pub head: String,
    /// Body, as far as read.
    pub body: Vec<u8>,
}

impl LeafRequest {
    /// The value of a header; empty if missing.
    pub fn header(&self, name: &str) -> &str {
        let value = |line: &&str| {
            line.split_once(": ").is_some_and(|(key, _)| key.eq_ignore_ascii_case(name))
        };
        self.head
            .lines()
            .find(value)
            .and_then(|line| line.split_once(": "))
            .map_or("", |pair| pair.1)
    }

    /// Whether the request is a search and not a cancellation or probe.
    pub fn is_search(&self) -> bool {
        self.head.starts_with("POST ")
    }

    /// Headers of a correct reply, each with a line end.
    pub fn reply_headers(&self) -> String {
        format!(
            "x-request-id: {}\r\nx-index-version: {}\r\nx-partition-epoch: {}\r\n",
            self.header("x-request-id"),
            self.header("x-index-version"),
            self.header("x-partition-epoch")
        )
    }

    /// A correct reply.
    pub fn reply(&self, body: &str) -> Vec<u8> {
        response(200, &self.reply_headers(), body.as_bytes())
    }
}

/// Encodes an HTTP response.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Action of a leaf on a request.
pub enum LeafAction {
    /// Send these bytes and keep the connection open.
    Send(Vec<u8>),
    /// Send these bytes and close the connection.
    SendAndClose(Vec<u8>),
    /// Send these bytes, then after the pause the others, and only then read the next request.
    SendWithLater(Vec<u8>, Duration, Vec<u8>),
    /// Send no reply and keep the connection open.
    NoReply,
}

type Script = dyn Fn(&LeafRequest) -> LeafAction + Send + Sync;

/// A scripted leaf; its threads end with the test or on [`ScriptedLeaf::end`].
pub struct ScriptedLeaf {
    /// Listen address.
    pub address: SocketAddr,
    journal: Arc<Mutex<Vec<LeafRequest>>>,
    listening: Listening,
}

impl ScriptedLeaf {
    /// A leaf that answers every search correctly with `body`.
    pub fn honest(body: &'static str) -> Self {
        Self::scripted(move |request| LeafAction::Send(request.reply(body)))
    }

    /// A leaf that follows the script for searches and confirms all other requests with 204.
    pub fn scripted(script: impl Fn(&LeafRequest) -> LeafAction + Send + Sync + 'static) -> Self {
        let journal: Arc<Mutex<Vec<LeafRequest>>> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let entries = journal.clone();
        let listening = listen(free_port(), move |stream| serve(stream, &entries, script.as_ref()));
        Self { address: listening.address, journal, listening }
    }

    /// A leaf that follows the script for requests of any method.
    pub fn for_all(script: impl Fn(&LeafRequest) -> LeafAction + Send + Sync + 'static) -> Self {
        Self::for_all_at(free_port(), script)
    }

    /// Like [`Self::for_all`], at the address of a leaf that has ended.
    pub fn for_all_at(
        address: SocketAddr,
        script: impl Fn(&LeafRequest) -> LeafAction + Send + Sync + 'static,
    ) -> Self {
        let journal: Arc<Mutex<Vec<LeafRequest>>> = Arc::default();
        let entries = journal.clone();
        let listening = listen(address, move |stream| serve_requests(stream, &entries, &script));
        Self { address: listening.address, journal, listening }
    }

    /// Ends the leaf: closes its connections and its listener.
    pub fn end(&self) {
        self.listening.end();
    }

    /// All requests received, in order.
    pub fn requests(&self) -> Vec<LeafRequest> {
        self.journal.lock().expect("no thread panicked").clone()
    }

    /// A leaf that reads `limit` bytes of each connection and then resets it.
    pub fn resetting_after(limit: usize) -> Self {
        let journal: Arc<Mutex<Vec<LeafRequest>>> = Arc::default();
        let entries = journal.clone();
        let listening = listen(free_port(), move |mut stream| {
            let mut body = vec![0; limit];
            if stream.read_exact(&mut body).is_ok() {
                let request = LeafRequest { head: "POST ".into(), body };
                entries.lock().expect("no thread panicked").push(request);
            }
            // A linger time of zero closes the connection with a reset.
            let _ = set_socket_linger(&stream, Some(Duration::ZERO));
        });
        Self { address: listening.address, journal, listening }
    }

    /// Searches received, in order.
    pub fn searches(&self) -> Vec<LeafRequest> {
        let journal = self.journal.lock().expect("no thread panicked");
        journal.iter().filter(|request| request.is_search()).cloned().collect()
    }

    /// Waits until at least `count` searches have arrived.
    pub fn wait_for_searches(&self, count: usize) {
        wait_until("the leaf has its requests", || self.searches().len() >= count);
    }

    /// Waits until a cancellation has arrived.
    pub fn wait_for_cancellation(&self) {
        wait_until("the leaf is told to cancel", || {
            let journal = self.journal.lock().expect("no thread panicked");
            journal.iter().any(|request| request.head.starts_with("DELETE /v1/requests/"))
        });
    }
}

/// A listener and its accepted connections.
struct Listening {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<OpenConnections>>,
}

/// Duplicated handles of the connections being served. Each is removed when its connection ends,
/// since a remaining handle keeps the connection open.
#[derive(Default)]
struct OpenConnections {
    next: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl OpenConnections {
    fn add(&mut self, stream: TcpStream) -> u64 {
        self.next += 1;
        self.streams.insert(self.next, stream);
        self.next
    }

    fn remove(&mut self, number: u64) {
        self.streams.remove(&number);
    }
}

impl Listening {
    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        wait_until("nobody listens", || TcpStream::connect(self.address).is_err());
        for stream in self.open.lock().expect("no thread panicked").streams.values() {
            // Fails if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn free_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn listen(at: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Listening {
    let listener = TcpListener::bind(at).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let ended = Arc::new(AtomicBool::new(false));
    let open: Arc<Mutex<OpenConnections>> = Arc::default();
    let listening = Listening { address, ended: Arc::clone(&ended), open: Arc::clone(&open) };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let (serve, open) = (serve.clone(), open.clone());
            thread::spawn(move || {
                let duplicate = stream.try_clone().expect("a second handle");
                let number = open.lock().expect("no thread panicked").add(duplicate);
                serve(stream);
                open.lock().expect("no thread panicked").remove(number);
            });
        }
    });
    listening
}

fn serve(stream: TcpStream, journal: &Mutex<Vec<LeafRequest>>, script: &Script) {
    serve_requests(stream, journal, &|request| match request.is_search() {
        true => script(request),
        false => LeafAction::Send(response(204, "", b"")),
    });
}

fn serve_requests(
    mut stream: TcpStream,
    journal: &Mutex<Vec<LeafRequest>>,
    script: &dyn Fn(&LeafRequest) -> LeafAction,
) {
    while let Some(request) = read_request(&mut stream) {
        journal.lock().expect("no thread panicked").push(request.clone());
        let action = script(&request);
        let (bytes, close) = match action {
            LeafAction::Send(bytes) => (bytes, false),
            LeafAction::SendWithLater(first, pause, later) => {
                // Fails if the broker has closed the connection.
                let _ = stream.write_all(&first);
                thread::sleep(pause);
                (later, false)
            }
            LeafAction::SendAndClose(bytes) => (bytes, true),
            LeafAction::NoReply => (Vec::new(), false),
        };
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if close {
            // Fails if the broker has closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<LeafRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_some(stream, &mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut request = LeafRequest { head, body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while bytes.len() < head_end + length {
        read_some(stream, &mut bytes)?;
    }
    request.body = bytes.split_off(head_end);
    Some(request)
}

fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            Some(())
        }
    }
}
