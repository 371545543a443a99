//! External directories that send without end: the reading fails within its limits, the control
//! process answers meanwhile, and the list is read once the directory is well again.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Control, wait_until};

/// Bytes of one reading that the control process may take, with the buffers of the sockets.
const READING_BYTES: usize = 48 * 1024 * 1024;
/// Bytes after which the directory gives up.
const GIVE_UP_BYTES: usize = 192 * 1024 * 1024;
/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// Padding of a page, in bytes.
const PADDING_BYTES: usize = 900_000;
/// Longest time for an answer of the control process.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// What a directory sends while it is not well.
#[derive(Clone, Copy)]
enum Fault {
    /// These bytes, and then the others without end.
    Bytes(&'static str, &'static str),
    /// Large pages, each of which names another.
    Pages,
}

#[derive(Default)]
struct Observed {
    is_well: AtomicBool,
    /// Bytes written in the newest reading with a fault.
    written: AtomicUsize,
    /// Readings with a fault whose connection the control process has closed.
    closed: AtomicUsize,
}

struct EndlessDirectory {
    address: SocketAddr,
    observed: Arc<Observed>,
}

impl EndlessDirectory {
    fn start(fault: Fault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let observed = Arc::<Observed>::default();
        let shared = observed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let observed = shared.clone();
                thread::spawn(move || serve(stream, fault, &observed));
            }
        });
        Self { address, observed }
    }
}

fn page(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn serve(mut stream: TcpStream, fault: Fault, observed: &Observed) {
    let mut request = [0; 1024];
    let mut written = 0;
    while stream.read(&mut request).is_ok_and(|count| count > 0) {
        if observed.is_well.load(Ordering::SeqCst) {
            let leaf = "{\"identity\":\"a\",\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\
                        \"slots\":4,\"availability\":\"Ready\",\"version\":\"v1\"}";
            let body = format!("{{\"leaves\":[{leaf}],\"next\":null}}");
            if stream.write_all(page(&body).as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let (start, block) = match fault {
            Fault::Bytes(start, unit) => (start.to_owned(), unit.repeat(WRITE_BYTES / unit.len())),
            Fault::Pages => {
                let padding = "x".repeat(PADDING_BYTES);
                let body =
                    format!("{{\"leaves\":[],\"pad\":\"{padding}\",\"next\":\"p{written}\"}}");
                (page(&body), String::new())
            }
        };
        let mut next = &start;
        while written < GIVE_UP_BYTES && stream.write_all(next.as_bytes()).is_ok() {
            written += next.len();
            observed.written.store(written, Ordering::SeqCst);
            if block.is_empty() {
                break;
            }
            next = &block;
        }
    }
    if written > 0 {
        observed.closed.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a reading that never ends, or that takes memory for as long as the directory sends.
#[rstest]
#[case::line_of_the_head(Fault::Bytes("HTTP/1.1 200 OK\r\na: ", "x"))]
#[case::fields(Fault::Bytes("HTTP/1.1 200 OK\r\n", "a: b\r\n"))]
#[case::interim_answers(Fault::Bytes(
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n"
))]
#[case::until_close(Fault::Bytes("HTTP/1.1 200 OK\r\n\r\n", "x"))]
#[case::chunks(Fault::Bytes(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\nabcd\r\n"
))]
#[case::one_chunk(Fault::Bytes(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n",
    "x"
))]
#[case::bytes_after_an_answer(Fault::Bytes(
    "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n{\"leaves\":[],\"next\":null}",
    "x"
))]
#[case::pages(Fault::Pages)]
fn reading_without_end_fails_within_its_limits(#[case] fault: Fault) {
    let directory = EndlessDirectory::start(fault);
    let address = directory.address;
    let settings = format!("[directory]\naddress = \"{address}\"\npoll_interval_ms = 100\n");
    let control = Control::start_in("control-1", tempfile::tempdir().unwrap(), &settings);
    let observed = &directory.observed;
    wait_until(|| observed.written.load(Ordering::SeqCst) > 0);
    let began = Instant::now();
    assert_eq!(control.post("SHOW STATUS", None).0, 200);
    assert!(began.elapsed() < ANSWER_TIME, "after {:?}", began.elapsed());
    wait_until(|| observed.closed.load(Ordering::SeqCst) > 0);
    let written = observed.written.load(Ordering::SeqCst);
    assert!(written < READING_BYTES, "{written} bytes were taken");
    observed.is_well.store(true, Ordering::SeqCst);
    wait_until(|| control.rows("SHOW DIRECTORY").len() == 1);
}
