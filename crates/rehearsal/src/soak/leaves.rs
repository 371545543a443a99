//! Stand-in leaves of routes, with a journal of what they ran, and the directory that lists them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_domain::directory::{LeafAvailability, ListedLeaf};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};

use super::answer::{attestation, records};
use super::tenants::{GREEDY, fault_of_identity, tenant_of};
use crate::error::RehearsalError;
use crate::relay::Relay;

/// Bytes of the largest request head.
const HEAD_LIMIT: usize = 64 * 1024;
/// What an ordinary request takes.
const ORDINARY: Duration = Duration::from_millis(4);
/// What a request takes at a slow leaf.
const SLOW: Duration = Duration::from_millis(300);

/// What paths hold of requests that crash every leaf which runs them.
pub const CRASHING: &str = "crash";
/// Time until a crashed leaf is back.
const CRASH_SPAN: Duration = Duration::from_millis(700);

/// What a leaf does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafMode {
    /// It answers soon.
    Sound,
    /// It answers late.
    Slow,
    /// It runs them and says nothing.
    Silent,
    /// It runs them and closes the connection.
    LosesAnswers,
    /// It closes the connection before it reads them.
    Resets,
    /// It refuses them without running them.
    Rejects,
    /// It answers, and sends bytes of no request after that.
    Garbles,
    /// It runs them, and tells of a failure.
    Fails,
}

/// Modes other than the sound one.
pub const TROUBLED_MODES: [LeafMode; 6] = [
    LeafMode::Slow,
    LeafMode::Silent,
    LeafMode::LosesAnswers,
    LeafMode::Resets,
    LeafMode::Rejects,
    LeafMode::Garbles,
];

/// A request that came to a leaf.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The zone of the leaf.
    pub zone: String,
    /// The service of the leaf.
    pub service: String,
    /// The request.
    pub id: String,
}

/// How often each request ran, and what came to each zone, over all leaves.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<BTreeMap<String, u32>>,
    /// All requests that came, in order, whether they ran or not.
    requests: Mutex<Vec<Arrival>>,
    /// When each request of the greedy tenant first came to a leaf.
    greedy: Mutex<BTreeMap<String, Instant>>,
    /// What leaves learnt of callers and should not have.
    identity_faults: Mutex<Vec<String>>,
}

impl Journal {
    /// A request ran at a service.
    pub fn ran(&self, service: &str, id: &str) {
        *lock(&self.runs).entry(key(service, id)).or_insert(0) += 1;
    }

    /// A request came to a leaf of a service, in a zone.
    pub fn arrived(&self, zone: &str, service: &str, id: &str) {
        let (zone, service, id) = (zone.to_owned(), service.to_owned(), id.to_owned());
        lock(&self.requests).push(Arrival { at: Instant::now(), zone, service, id });
    }

    /// A leaf learnt of a caller by a request whose id is `id`.
    pub fn told(&self, head: &str, id: &str) {
        let told = header(head, "gingerkeel-tenant");
        lock(&self.identity_faults).extend(fault_of_identity(head, told, id));
        if tenant_of(id) == Some(GREEDY) {
            lock(&self.greedy).entry(id.to_owned()).or_insert_with(Instant::now);
        }
    }

    /// All requests that came to leaves, in order.
    pub fn all_arrivals(&self) -> Vec<Arrival> {
        lock(&self.requests).clone()
    }

    /// What leaves learnt of callers and should not have.
    pub fn identity_faults(&self) -> Vec<String> {
        lock(&self.identity_faults).clone()
    }

    /// When the requests of the greedy tenant came to leaves, in order.
    pub fn greedy_arrivals(&self) -> Vec<Instant> {
        let mut arrivals: Vec<Instant> = lock(&self.greedy).values().copied().collect();
        arrivals.sort_unstable();
        arrivals
    }

    /// How many requests came to the leaves of a service.
    pub fn arrivals_at(&self, service: &str) -> u64 {
        self.count(|arrival| arrival.service == service)
    }

    /// How many requests came to the leaves of a zone.
    pub fn arrivals_in(&self, zone: &str) -> u64 {
        self.count(|arrival| arrival.zone == zone)
    }

    fn count(&self, is_counted: impl Fn(&Arrival) -> bool) -> u64 {
        lock(&self.requests).iter().filter(|arrival| is_counted(arrival)).count() as u64
    }

    /// How often the request ran at a service.
    pub fn runs(&self, service: &str, id: &str) -> u32 {
        lock(&self.runs).get(&key(service, id)).copied().unwrap_or(0)
    }

    /// The requests that ran more than once at `service`.
    pub fn repeated(&self, service: &str) -> Vec<String> {
        let prefix = key(service, "");
        let runs = lock(&self.runs);
        let of_service = runs.iter().filter(|(key, _)| key.starts_with(&prefix));
        of_service.filter(|(_, count)| **count > 1).map(|(key, _)| key.clone()).collect()
    }
}

fn key(service: &str, id: &str) -> String {
    format!("{service} {id}")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Which leaf it is.
struct Place {
    service: String,
    identity: String,
    zone: String,
    /// Over which it is reached: refuses connections while the leaf is down.
    link: Relay,
}

/// A stand-in leaf; its threads end with the process.
pub struct StandInLeaf {
    /// How the directory lists it.
    pub listed: ListedLeaf,
    /// The link over which brokers reach it.
    pub link: Relay,
    mode: Arc<Mutex<LeafMode>>,
}

impl StandInLeaf {
    /// Starts the `number`-th leaf of a service.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when no port is free.
    pub fn start(
        service: &str,
        number: usize,
        zone: &str,
        journal: &Arc<Journal>,
    ) -> Result<Self, RehearsalError> {
        Self::start_as(&format!("{service}-{number}"), service, zone, journal)
    }

    /// Starts a leaf of this identity.
    ///
    /// # Errors
    /// As [`Self::start`].
    pub fn start_as(
        identity: &str,
        service: &str,
        zone: &str,
        journal: &Arc<Journal>,
    ) -> Result<Self, RehearsalError> {
        let listener = listen()?;
        let link = Relay::start(local_address(&listener)?)?;
        let mode = Arc::new(Mutex::new(LeafMode::Sound));
        let listed = ListedLeaf {
            identity: LeafIdentity::new(identity),
            service: ServiceName::new(service),
            address: link.address(),
            zone: ZoneName::new(zone),
            slots: 8,
            availability: LeafAvailability::Ready,
            cold_ms: 0,
            version: SoftwareVersion::default(),
        };
        let of_thread = (mode.clone(), journal.clone(), link.clone());
        let (identity, service, zone) = (identity.to_owned(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (mode, journal, link) = of_thread.clone();
                let place = Place {
                    service: service.clone(),
                    identity: identity.clone(),
                    zone: zone.clone(),
                    link,
                };
                thread::spawn(move || converse(stream, &place, &mode, &journal));
            }
        });
        Ok(Self { listed, link, mode })
    }

    /// Changes what it does.
    pub fn set_mode(&self, mode: LeafMode) {
        *lock(&self.mode) = mode;
    }
}

/// The list of leaves, served for as long as the process runs.
#[derive(Clone)]
pub struct ServedDirectory {
    /// Where it is read.
    pub address: SocketAddr,
    listed: Arc<Mutex<Vec<ListedLeaf>>>,
}

impl ServedDirectory {
    /// Lists further leaves.
    pub fn add(&self, leaves: &[StandInLeaf]) {
        lock(&self.listed).extend(leaves.iter().map(|leaf| leaf.listed.clone()));
    }

    /// Lists these leaves no more.
    pub fn remove(&self, leaves: &[StandInLeaf]) {
        let gone =
            |listed: &ListedLeaf| leaves.iter().any(|leaf| leaf.listed.identity == listed.identity);
        lock(&self.listed).retain(|listed| !gone(listed));
    }
}

/// Serves the list of leaves.
///
/// # Errors
/// [`RehearsalError::Resource`] when no port is free.
pub fn serve_directory(leaves: &[StandInLeaf]) -> Result<ServedDirectory, RehearsalError> {
    let listener = listen()?;
    let address = local_address(&listener)?;
    let directory = ServedDirectory { address, listed: Arc::default() };
    directory.add(leaves);
    let listed = directory.listed.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let listed = listed.clone();
            thread::spawn(move || serve_list(stream, &listed));
        }
    });
    Ok(directory)
}

fn serve_list(mut stream: TcpStream, listed: &Mutex<Vec<ListedLeaf>>) {
    while read_head(&mut stream).is_some() {
        let body = serde_json::json!({ "leaves": *lock(listed) }).to_string();
        if write_response(&mut stream, 200, "", body.as_bytes()).is_none() {
            return;
        }
    }
}

fn converse(
    mut stream: TcpStream,
    place: &Place,
    mode: &Mutex<LeafMode>,
    journal: &Journal,
) -> Option<()> {
    let Place { service, identity, zone, link } = place;
    loop {
        let head = read_head(&mut stream)?;
        let mode = *lock(mode);
        let id = header(&head, "gingerkeel-request-id").unwrap_or_default().to_owned();
        if mode == LeafMode::Resets {
            return None;
        }
        let expected = header(&head, "gingerkeel-leaf");
        journal.arrived(zone, service, &id);
        journal.told(&head, &id);
        if mode == LeafMode::Rejects || expected.is_some_and(|expected| expected != identity) {
            let status = if mode == LeafMode::Rejects { 503 } else { 421 };
            write_response(&mut stream, status, "gingerkeel-not-executed: 1\r\n", b"")?;
            continue;
        }
        journal.ran(service, &id);
        if head.lines().next().is_some_and(|line| line.contains(CRASHING)) {
            thread::sleep(ORDINARY);
            crash(link);
            return None;
        }
        match mode {
            LeafMode::LosesAnswers => return None,
            LeafMode::Silent => {
                // The broker gives up by closing the connection.
                let _ = stream.read(&mut [0; 1]);
                return None;
            }
            LeafMode::Fails => {
                thread::sleep(ORDINARY);
                let fields = format!("gingerkeel-request-id: {id}\r\n");
                write_response(&mut stream, 500, &fields, b"fault")?;
                continue;
            }
            LeafMode::Slow => thread::sleep(SLOW),
            _ => thread::sleep(ORDINARY),
        }
        let attestation = attestation(service, &id);
        let fields =
            format!("gingerkeel-request-id: {id}\r\ngingerkeel-attestation: {attestation}\r\n");
        write_response(&mut stream, 200, &fields, &records(service, &id))?;
        if mode == LeafMode::Garbles {
            stream.write_all(b"bytes of no request\r\n\r\n").ok()?;
        }
    }
}

/// The leaf ends, and is back after a while.
fn crash(link: &Relay) {
    link.refuse();
    thread::sleep(CRASH_SPAN);
    link.heal();
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 512];
    while !head.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut byte).ok().filter(|count| *count > 0)?;
        head.extend_from_slice(&byte[..count]);
        if head.len() > HEAD_LIMIT {
            return None;
        }
    }
    String::from_utf8(head).ok()
}

fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    fields.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

fn write_response(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> Option<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}content-length: {length}\r\n\r\n");
    let written = stream.write_all(&[head.as_bytes(), body].concat());
    if written.is_err() {
        // The broker may have closed the connection before.
        let _ = stream.shutdown(Shutdown::Both);
    }
    written.ok()
}

fn listen() -> Result<TcpListener, RehearsalError> {
    TcpListener::bind("127.0.0.1:0").map_err(|error| RehearsalError::resource("a port", error))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, RehearsalError> {
    listener.local_addr().map_err(|error| RehearsalError::resource("a port", error))
}
