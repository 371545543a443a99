//! A control process in a thread, a client for its HTTP interfaces, and fake brokers.
#![allow(dead_code)]

pub mod cluster;
pub mod seeded;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use gingerkeel_protocol::{
    FeedMessage, FrameCodec, PROTOCOL_VERSION, ShortText, SubscriberMessage, encode_frame,
};
use gingerkeel_settings::ControlSettings;
use gingerkeel_statement::{
    SEQUENCE_HEADER, SESSION_HEADER, STATEMENTS_PATH, StatementReplies, StatementReply,
};
use gingerkeel_transport::{
    ClientConnection, HttpRequest, HttpResponse, Limits, TransportError, block_on,
};
use http::{Method, Uri};
use monoio_codec::{Decoded, Decoder};
use tempfile::TempDir;

/// Time limit for a process to become ready or a condition to hold; generous, for a loaded machine.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// First port of a list of addresses.
const FIRST_PORT: u16 = 20_000;
/// Lowest second octet of the loopback hosts of these tests; rehearsals use lower ones.
const FIRST_OCTET: u8 = 150;
/// Maximum number of calls of [`free_addresses`] per test process.
const MAX_CALLS: u8 = 100;

/// Client of a control process; owns the data folder if it started the process.
pub struct Control {
    pub operators: SocketAddr,
    pub feed: SocketAddr,
    /// Address of the HTTP interface for routes, if known.
    pub routes: Option<SocketAddr>,
    folder: Option<TempDir>,
}

impl Control {
    /// Starts a process in a thread, on free addresses and an empty data folder.
    pub fn start(name: &str) -> Self {
        Self::start_in(name, tempfile::tempdir().unwrap(), "")
    }

    /// Starts a process in a thread on this data folder, with further settings as TOML.
    pub fn start_in(name: &str, folder: TempDir, further_settings: &str) -> Self {
        let addresses = free_addresses(3);
        let [operators, feed, routes] = [addresses[0], addresses[1], addresses[2]];
        let text = format!(
            "name = \"{name}\"\noperators = \"{operators}\"\nfeed = \"{feed}\"\nroutes = \"{routes}\"\n\
             data_folder = {:?}\n{further_settings}",
            folder.path()
        );
        let settings: ControlSettings = gingerkeel_settings::parse("test", &text).unwrap();
        thread::spawn(move || block_on(gingerkeel_control::run(settings, None)).unwrap().unwrap());
        wait_until(|| TcpStream::connect(operators).is_ok() && TcpStream::connect(feed).is_ok());
        let control = Self { operators, feed, routes: Some(routes), folder: Some(folder) };
        wait_until(|| control.post("SHOW STATUS", None).0 == 200);
        control
    }

    /// Creates a client of a process that is already running.
    pub fn at(operators: SocketAddr, feed: SocketAddr) -> Self {
        Self { operators, feed, routes: None, folder: None }
    }

    /// Data folder of a process that was started here.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().expect("a folder of its own").path()
    }

    /// Sends a route configuration; returns the status and the body.
    pub fn put_routes(&self, document: &str) -> (u16, String) {
        self.call_routes(Method::PUT, document)
    }

    /// Reads the route configuration; returns the status and the document.
    pub fn read_routes(&self) -> (u16, String) {
        self.call_routes(Method::GET, "")
    }

    fn call_routes(&self, method: Method, body: &str) -> (u16, String) {
        let routes = self.routes.expect("an address for routes");
        let mut request = HttpRequest::new(Bytes::copy_from_slice(body.as_bytes()));
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static("/v1/routes");
        let exchanging = async move {
            let mut connection = ClientConnection::connect(routes, Limits::default()).await?;
            connection.exchange(request).await
        };
        let response = block_on(exchanging).unwrap().expect("the process answers");
        let text = String::from_utf8_lossy(response.body()).into_owned();
        (response.status().as_u16(), text)
    }

    /// Whether the process answers `SHOW` statements, which needs a quorum.
    pub fn is_ready(&self) -> bool {
        matches!(self.try_post("SHOW STATUS", None), Some(StatementReply::Table { .. }))
    }

    /// Posts one statement; returns its reply, or `None` if the process is unreachable.
    pub fn try_post(&self, text: &str, command: Option<(&str, &str)>) -> Option<StatementReply> {
        let response = self.try_exchange(text, &headers(command)).ok()?;
        let replies: StatementReplies = serde_json::from_slice(response.body()).ok()?;
        replies.replies.into_iter().next()
    }

    /// Posts statements; returns the status and the replies.
    pub fn post(&self, text: &str, command: Option<(&str, &str)>) -> (u16, Vec<StatementReply>) {
        let response = self.exchange(text, command);
        let replies: StatementReplies =
            serde_json::from_slice(response.body()).expect("replies come as JSON");
        (response.status().as_u16(), replies.replies)
    }

    /// Posts statements; returns the raw response.
    pub fn exchange(&self, text: &str, command: Option<(&str, &str)>) -> HttpResponse {
        self.exchange_with(text, &headers(command))
    }

    /// Posts statements with these headers; returns the raw response.
    pub fn exchange_with(&self, text: &str, headers: &[(&'static str, &str)]) -> HttpResponse {
        self.try_exchange(text, headers).expect("the process answers")
    }

    fn try_exchange(
        &self,
        text: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<HttpResponse, TransportError> {
        let mut request = HttpRequest::new(Bytes::copy_from_slice(text.as_bytes()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(STATEMENTS_PATH);
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.parse().unwrap());
        }
        let operators = self.operators;
        let exchanging = async move {
            let mut connection = ClientConnection::connect(operators, Limits::default()).await?;
            connection.exchange(request).await
        };
        block_on(exchanging).unwrap()
    }

    /// The rows of a `SHOW` statement.
    pub fn rows(&self, text: &str) -> Vec<Vec<String>> {
        match self.post(text, None).1.pop() {
            Some(StatementReply::Table { rows, .. }) => rows,
            other => panic!("{text}: no table but {other:?}"),
        }
    }

    /// Posts one change that must be accepted; returns its revision.
    pub fn change(&self, text: &str) -> u64 {
        match self.post(text, None).1.pop() {
            Some(StatementReply::Accepted { revision }) => revision,
            other => panic!("{text}: not accepted but {other:?}"),
        }
    }
}

/// Addresses on a loopback host that no other call and no other test process uses, so that they are
/// free. Binding and releasing them first would be racy: a child process that another test spawns
/// at that moment inherits the sockets until it has started.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static CALLS: AtomicU8 = AtomicU8::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    assert!(call < MAX_CALLS, "a test process asks for at most 100 lists of addresses");
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_OCTET + call, middle, low.max(1));
    (0..count).map(|number| SocketAddr::from((host, FIRST_PORT + number as u16))).collect()
}

fn headers<'text>(command: Option<(&'text str, &'text str)>) -> Vec<(&'static str, &'text str)> {
    match command {
        Some((session, sequence)) => {
            vec![(SESSION_HEADER, session), (SEQUENCE_HEADER, sequence)]
        }
        None => Vec::new(),
    }
}

/// Polls `condition` until it holds; panics after [`WAIT_LIMIT`].
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "the condition does not hold in time");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Client of the broker feed, without the rest of a broker.
pub struct FakeBroker {
    stream: TcpStream,
    received: BytesMut,
}

impl FakeBroker {
    /// Connects without subscribing.
    pub fn connect(control: &Control) -> Self {
        let stream = TcpStream::connect(control.feed).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Self { stream, received: BytesMut::new() }
    }

    /// Connects and subscribes.
    pub fn subscribe(control: &Control, name: &str, run: u64, revision: u64) -> Self {
        let mut broker = Self::connect(control);
        broker.send(&subscription(PROTOCOL_VERSION, name, run, revision));
        broker
    }

    pub fn send(&mut self, message: &SubscriberMessage) {
        self.send_bytes(&encode_frame(message).unwrap());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// The next message; `None` once the feed is closed.
    pub fn receive(&mut self) -> Option<FeedMessage> {
        loop {
            let decoded = FrameCodec::<FeedMessage>::default().decode(&mut self.received).unwrap();
            if let Decoded::Some(message) = decoded {
                return Some(message);
            }
            let mut part = [0; 4096];
            // A reset counts as the end of the feed.
            let count = self.stream.read(&mut part).unwrap_or(0);
            if count == 0 {
                return None;
            }
            self.received.extend_from_slice(&part[..count]);
        }
    }

    /// The first message for which `select` returns a value; skips the others.
    pub fn receive_until<T>(&mut self, select: impl Fn(FeedMessage) -> Option<T>) -> T {
        loop {
            let message = self.receive().expect("the feed is open");
            if let Some(selected) = select(message) {
                return selected;
            }
        }
    }

    /// Receives up to revision `last`; returns whether a full catalog came, and the revisions.
    pub fn follow_to(&mut self, last: u64) -> (bool, Vec<u64>) {
        let (mut whole, mut revisions) = (false, Vec::new());
        loop {
            match self.receive().expect("the feed is open") {
                FeedMessage::FullCatalog { catalog } => {
                    let catalog: gingerkeel_domain::catalog::Catalog =
                        gingerkeel_protocol::decode_document(&catalog.bytes).unwrap();
                    whole = true;
                    revisions.push(catalog.revision().0);
                }
                FeedMessage::Change { revision, .. } => revisions.push(revision),
                _ => continue,
            }
            if revisions.last() == Some(&last) {
                return (whole, revisions);
            }
        }
    }

    /// Requests a lease; returns the revision in its grant.
    pub fn renew(&mut self, number: u64, in_force: u64) -> u64 {
        self.send(&SubscriberMessage::Renew { ticket: number, in_force });
        self.receive_until(|message| match message {
            FeedMessage::Lease { ticket, revision, .. } if ticket == number => Some(revision),
            _ => None,
        })
    }
}

pub fn subscription(
    protocol_version: u16,
    name: &str,
    run: u64,
    revision: u64,
) -> SubscriberMessage {
    SubscriberMessage::Subscribe {
        protocol_version,
        run,
        revision,
        broker: ShortText::new(name),
        region: ShortText::new("south"),
        zone: ShortText::new("palermo"),
    }
}
