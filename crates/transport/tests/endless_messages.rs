//! Peers that send without end: the message is refused within its limits, and other work goes on.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use gingerkeel_transport::{
    ClientConnection, HttpRequest, Limits, ServerConnection, TransportError, block_on, listen,
};
use monoio::time::timeout;
use rstest::rstest;

/// Bytes after which a peer gives up: far more than the limits and the buffers of a connection.
const GIVE_UP_BYTES: usize = 256 * 1024 * 1024;
/// Bytes that a peer may write beyond the limits, into the buffers of both sockets.
const SOCKET_BYTES: usize = 24 * 1024 * 1024;
/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest time that a whole test may take.
const TEST_TIME: Duration = Duration::from_secs(20);

const LIMITS: Limits =
    Limits { head_bytes: 4 * 1024, body_bytes: 64 * 1024, message_time: Duration::from_secs(10) };

/// Writes `start` and then `unit` again and again until the connection fails; returns the number of
/// bytes written.
fn send_without_end(mut stream: TcpStream, start: &str, unit: &str) -> usize {
    stream.set_write_timeout(Some(TEST_TIME)).expect("a valid time");
    let block = unit.repeat(WRITE_BYTES / unit.len());
    let mut written = 0;
    let mut next = start;
    while written < GIVE_UP_BYTES {
        match stream.write_all(next.as_bytes()) {
            Ok(()) => written += next.len(),
            Err(error) => {
                assert_ne!(error.kind(), ErrorKind::WouldBlock, "the connection stays open");
                break;
            }
        }
        next = &block;
    }
    written
}

/// A peer that accepts one connection, reads the beginning of a request and answers without end.
fn endless_server(start: String, unit: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 1024]).expect("a request");
        assert!(read > 0, "a request arrives first");
        send_without_end(stream, &start, unit)
    });
    (address, sender)
}

fn is_bounded(error: &TransportError) -> bool {
    use TransportError::{BodyTooLarge, HeadTooLarge, Malformed};
    matches!(error, HeadTooLarge(_) | BodyTooLarge(_) | Malformed(_))
}

fn assert_ended(error: Option<TransportError>, written: usize) {
    assert!(error.as_ref().is_some_and(is_bounded), "{error:?}");
    assert!(written < SOCKET_BYTES, "{written} bytes were taken");
}

/// Guards against a response that is read and kept for as long as the peer sends.
#[rstest]
#[case::line_of_the_head("HTTP/1.1 200 OK\r\na: ", "x")]
#[case::fields("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::blank_lines("\r\n\r\n", "\r\n\r\n")]
#[case::declared_body("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "x")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")]
#[case::one_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n", "x")]
#[case::size_of_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")]
#[case::trailer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ", "x")]
fn response_without_end_is_refused_within_its_limits(
    #[case] start: &str,
    #[case] unit: &'static str,
) {
    let (address, sender) = endless_server(start.to_owned(), unit);
    let error = block_on(async {
        let connection = ClientConnection::connect(address, LIMITS).await;
        let mut connection = connection.expect("the peer listens");
        timeout(TEST_TIME, connection.exchange(HttpRequest::default()))
            .await
            .expect("in time")
            .err()
    });
    let written = sender.join().expect("the peer does not panic");
    assert_ended(error.expect("a runtime"), written);
}

/// Guards against a request that is read and kept for as long as the peer sends.
#[rstest]
#[case::line_of_the_head("GET / HTTP/1.1\r\na: ", "x")]
#[case::fields("GET / HTTP/1.1\r\n", "a: b\r\n")]
#[case::blank_lines("\r\n\r\n", "\r\n\r\n")]
#[case::declared_body("POST / HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n", "x")]
#[case::chunks("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")]
#[case::one_chunk("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n", "x")]
#[case::size_of_a_chunk("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::trailers("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n")]
fn request_without_end_is_refused_within_its_limits(
    #[case] start: &'static str,
    #[case] unit: &'static str,
) {
    let (error, sender) = block_on(async {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let sender = thread::spawn(move || {
            let stream = TcpStream::connect(address).expect("the server listens");
            send_without_end(stream, start, unit)
        });
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut connection = ServerConnection::new(stream, LIMITS);
        let read = timeout(TEST_TIME, connection.next_request()).await.expect("in time");
        (read.err(), sender)
    })
    .expect("a runtime");
    let written = sender.join().expect("the peer does not panic");
    assert_ended(error, written);
}
