//! Leaves that send without end: their requests are answered in time, their connections are closed,
//! and other requests are served meanwhile.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::routed::{RoutedBroker, honest, records, request};

/// Time of a request in milliseconds: less than the timeout of its route.
const DEADLINE_MS: u64 = 2_000;
/// Time beyond the deadline after which an answer or the end of a connection is too late.
const MARGIN: Duration = Duration::from_secs(2);
/// Longest time for which a caller reads an answer.
const LONGEST_ANSWER: Duration = Duration::from_secs(8);
/// Time after which another request is sent while a leaf sends without end.
const MEANWHILE: Duration = Duration::from_millis(300);
/// Most memory that the broker may use at any time, in KiB.
const MEMORY_KIB: u64 = 96 * 1024;
/// Size of one write of a leaf, in bytes.
const WRITE_BYTES: usize = 64 * 1024;

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ngingerkeel-request-id: r1\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\ngingerkeel-request-id: r1\r\n\r\n";
const OF_ANOTHER_REQUEST: &str = "HTTP/1.1 200 OK\r\ngingerkeel-request-id: other\r\n\r\n";
const LATE_REPLY: &str =
    "HTTP/1.1 200 OK\r\ngingerkeel-request-id: other\r\ncontent-length: 2\r\n\r\nxx";

/// A leaf that answers each request with some bytes and then repeats others until the broker closes
/// the connection, or is silent if there are none to repeat.
struct EndlessLeaf {
    address: SocketAddr,
    /// Receives a message for each connection that got a request and was closed by the broker.
    closed: Receiver<()>,
}

impl EndlessLeaf {
    fn start(start: String, unit: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (sender, closed) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (start, sender) = (start.clone(), sender.clone());
                thread::spawn(move || send_without_end(stream, &start, unit, &sender));
            }
        });
        Self { address, closed }
    }

    fn assert_closed_by(&self, due: Instant) {
        let left = due.saturating_duration_since(Instant::now());
        self.closed.recv_timeout(left).expect("the broker closes the connection to the leaf");
    }
}

fn send_without_end(mut stream: TcpStream, start: &str, unit: &str, closed: &Sender<()>) {
    if !stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {
        return;
    }
    let block = match unit.len() {
        0 => String::new(),
        length => unit.repeat(WRITE_BYTES.div_ceil(length)),
    };
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    while is_open {
        is_open = match block.is_empty() {
            true => stream.read(&mut [0; 1]).is_ok_and(|count| count > 0),
            false => stream.write_all(block.as_bytes()).is_ok(),
        };
    }
    // The test may have ended.
    let _ = closed.send(());
}

/// What a caller received until the broker closed the connection.
struct Received {
    status: u16,
    ended: Instant,
    last: Vec<u8>,
}

/// Sends a request and reads until the broker closes the connection.
fn read_to_the_end(address: SocketAddr, path: &str) -> Received {
    let mut stream = TcpStream::connect(address).expect("the broker listens");
    stream.set_read_timeout(Some(LONGEST_ANSWER)).expect("a valid time");
    let text = request(path, &DEADLINE_MS.to_string());
    let text = text.replace("Connection: x-hop", "Connection: close, x-hop");
    stream.write_all(text.as_bytes()).expect("the broker reads");
    let (mut first, mut last) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; WRITE_BYTES];
    let began = Instant::now();
    loop {
        assert!(began.elapsed() < LONGEST_ANSWER, "the answer goes on without end");
        let count = match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("the connection of the caller stays open")
            }
            Err(_) => break,
        };
        if first.len() < 12 {
            first.extend_from_slice(&buffer[..count]);
        }
        last = buffer[..count].to_vec();
    }
    let status = String::from_utf8_lossy(&first[9..12]).parse().expect("a status");
    Received { status, ended: Instant::now(), last }
}

/// Peak of the memory of a process in KiB.
fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards against a request that outlasts its deadline, a refusal that says "not run" although the
/// leaf was at work, and a broker that serves nobody else while a leaf sends without end.
#[rstest]
#[case::line_of_the_head("HTTP/1.1 200 OK\r\na: ", "x", &[502])]
#[case::fields("HTTP/1.1 200 OK\r\n", "a: b\r\n", &[502])]
#[case::interim_replies("", "HTTP/1.1 100 Continue\r\n\r\n", &[502])]
#[case::late_replies("", LATE_REPLY, &[502])]
#[case::late_reply(OF_ANOTHER_REQUEST, "x", &[502, 504])]
#[case::size_of_a_chunk(CHUNKED, "0", &[502])]
#[case::trailers(&format!("{CHUNKED}0\r\n"), "a: b\r\n", &[502, 504])]
#[case::until_close(UNTIL_CLOSE, "x", &[200])]
#[case::chunks(CHUNKED, "4\r\nabcd\r\n", &[200])]
#[case::one_chunk(&format!("{CHUNKED}fffffffffff\r\n"), "x", &[200])]
#[case::silence_in_a_long_reply(&format!("{UNTIL_CLOSE}{}", "x".repeat(100_000)), "", &[200])]
#[case::trailers_of_a_long_reply(&format!("{CHUNKED}186a0\r\n{}\r\n0\r\n", "x".repeat(100_000)), "a: b\r\n", &[200])]
fn reply_without_end_is_over_at_the_deadline(
    #[case] start: &str,
    #[case] unit: &'static str,
    #[case] statuses: &[u16],
) {
    let endless = EndlessLeaf::start(start.to_owned(), unit);
    let shard = honest("a", &[b'a'; 16]);
    let broker = RoutedBroker::start(&[endless.address], &[&[shard.address]]);
    let due = Instant::now() + Duration::from_millis(DEADLINE_MS) + MARGIN;
    let routes = broker.routes;
    let caller = thread::spawn(move || read_to_the_end(routes, "/once/"));
    thread::sleep(MEANWHILE);
    let under_way = !caller.is_finished();
    let other = broker.get("/all/");
    let served = Instant::now();
    assert_eq!((other.status, other.body.as_bytes()), (200, &records(b"a")[..]));
    let received = caller.join().expect("the connection of the caller ends");
    assert!(statuses.contains(&received.status), "status {}", received.status);
    assert!(received.ended < due, "{:?} too late", received.ended - due);
    assert!(!under_way || served < received.ended, "the other request had to wait");
    assert!(!received.last.ends_with(b"0\r\n\r\n"), "the answer looks complete");
    endless.assert_closed_by(due);
    let memory = peak_memory(broker.broker.id());
    assert!(memory < MEMORY_KIB, "{memory} KiB of memory");
}

/// Guards against a repeatable request that is lost with a leaf whose reply does not begin.
#[rstest]
#[case::line_of_the_head("HTTP/1.1 200 OK\r\na: ", "x")]
#[case::interim_replies("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::late_reply(OF_ANOTHER_REQUEST, "x")]
#[case::trailers(&format!("{CHUNKED}0\r\n"), "a: b\r\n")]
fn repeatable_request_is_answered_by_another_leaf(#[case] start: &str, #[case] unit: &'static str) {
    let endless = EndlessLeaf::start(start.to_owned(), unit);
    let other = honest("own", b"own");
    let broker = RoutedBroker::start(&[endless.address, other.address], &[]);
    for _ in 0..4 {
        let answer = broker.get("/one/");
        assert_eq!((answer.status, answer.body.as_str()), (200, "own"));
    }
    endless.assert_closed_by(Instant::now() + MARGIN);
}

/// Guards against a merged answer that waits for, or holds, a part without end.
#[rstest]
#[case::until_close(
    "HTTP/1.1 200 OK\r\ngingerkeel-request-id: r1\r\ngingerkeel-attestation: z\r\n\r\n",
    "x"
)]
#[case::late_reply(OF_ANOTHER_REQUEST, "x")]
#[case::trailers(&format!("{CHUNKED}0\r\n"), "a: b\r\n")]
fn part_without_end_is_missing_from_the_answer(#[case] start: &str, #[case] unit: &'static str) {
    let endless = EndlessLeaf::start(start.to_owned(), unit);
    let whole = honest("a", &[b'a'; 16]);
    let broker = RoutedBroker::start(&[], &[&[whole.address], &[endless.address]]);
    let began = Instant::now();
    let answer = broker.get("/all/");
    assert_eq!((answer.status, answer.body.as_bytes()), (200, &records(b"a")[..]));
    assert_eq!(answer.header("gingerkeel-missing-parts"), Some("1"));
    assert!(began.elapsed() < MARGIN, "after {:?}", began.elapsed());
    endless.assert_closed_by(Instant::now() + MARGIN);
    let memory = peak_memory(broker.broker.id());
    assert!(memory < MEMORY_KIB, "{memory} KiB of memory");
}
