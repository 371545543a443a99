//! Peers that send without end: their connections are closed within limits of size and time, and
//! other peers are served meanwhile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_control::storage::DiskIo;
use gingerkeel_protocol::{PROTOCOL_VERSION, PeerFrame, PeerIdentity, encode_frame};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{Member, free_addresses, settings};

/// Checksum (CRC-32) of the voters 1 and 2, each as four bytes.
const PLANNED_VOTERS: u32 = 0xb64c_97f5;
/// Bytes that a peer may write on a connection: one largest frame and the buffers of the sockets.
const CONNECTION_BYTES: usize = 40 * 1024 * 1024;
/// Bytes after which a peer gives up.
const GIVE_UP_BYTES: usize = 256 * 1024 * 1024;
/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest time until a connection is closed: the limit for a frame, and a margin.
const CLOSE_TIME: Duration = Duration::from_secs(15);
/// Longest time for an answer of the member.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Time for which a peer sends probes.
const PROBING_TIME: Duration = Duration::from_secs(5);
/// Time after which another peer connects while one sends without end.
const MEANWHILE: Duration = Duration::from_millis(100);

/// The length field of the largest frame that is allowed.
const LARGEST: [u8; 4] = [0x01, 0, 0, 0];

fn hello() -> Vec<u8> {
    let identity =
        PeerIdentity { node: 2, incarnation: 5, formed: 0, planned_voters: PLANNED_VOTERS };
    let cluster = b"test".to_vec();
    let frame = PeerFrame::Hello { protocol_version: PROTOCOL_VERSION, identity, cluster };
    encode_frame(&frame).expect("a frame")
}

fn probe() -> Vec<u8> {
    encode_frame(&PeerFrame::Probe).expect("a frame")
}

fn connect(address: SocketAddr) -> TcpStream {
    let due = Instant::now() + CLOSE_TIME;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(Instant::now() < due, "the member listens: {error}"),
        }
        thread::sleep(MEANWHILE);
    }
}

/// Writes `start` and then `unit` again and again until the connection fails; returns the number of
/// bytes written. Without a unit, waits until the connection is closed.
fn send_without_end(mut stream: TcpStream, start: &[u8], unit: &[u8]) -> usize {
    stream.set_write_timeout(Some(CLOSE_TIME)).expect("a valid time");
    stream.set_read_timeout(Some(CLOSE_TIME)).expect("a valid time");
    stream.write_all(start).expect("the start is sent");
    let mut written = start.len();
    if unit.is_empty() {
        let mut rest = Vec::new();
        // A reset ends the connection, too; only a time-out does not.
        let ended = stream.read_to_end(&mut rest).err().map(|error| error.kind());
        assert_ne!(ended, Some(std::io::ErrorKind::WouldBlock), "the connection stays open");
        return written;
    }
    let block = unit.repeat(WRITE_BYTES / unit.len());
    while written < GIVE_UP_BYTES {
        match stream.write_all(&block) {
            Ok(()) => written += block.len(),
            Err(error) => {
                let kind = error.kind();
                assert_ne!(kind, std::io::ErrorKind::WouldBlock, "the connection stays open");
                break;
            }
        }
    }
    written
}

/// Asserts that another peer is greeted in time.
fn assert_greets(address: SocketAddr) {
    let began = Instant::now();
    let mut other = connect(address);
    other.set_read_timeout(Some(CLOSE_TIME)).expect("a valid time");
    other.write_all(&hello()).expect("the greeting is sent");
    assert!(other.read(&mut [0; 64]).is_ok_and(|count| count > 0), "the member answers");
    assert!(began.elapsed() < ANSWER_TIME, "after {:?}", began.elapsed());
}

/// Starts a member, sends without end to it, and asserts that it greets others meanwhile; returns the
/// number of bytes written.
fn bytes_taken(start: Vec<u8>, unit: &'static [u8]) -> usize {
    let folder = TempDir::new().expect("a folder");
    let addresses = free_addresses(2);
    let _member = Member::start(settings(folder.path(), &addresses), Box::new(DiskIo));
    let stream = connect(addresses[0]);
    let sender = thread::spawn(move || send_without_end(stream, &start, unit));
    thread::sleep(MEANWHILE);
    assert_greets(addresses[0]);
    sender.join().expect("the connection is closed")
}

/// Guards against a connection that is kept, and memory that grows, for as long as a peer sends.
#[rstest]
#[case::length_beyond_the_limit(Vec::new(), &[0xff])]
#[case::largest_frame(LARGEST.to_vec(), &[0])]
#[case::largest_frame_after_the_greeting([hello(), LARGEST.to_vec()].concat(), &[0])]
#[case::bytes_that_are_no_frame([hello(), vec![0, 0, 0, 1]].concat(), &[0x77])]
#[case::announced_frame_that_does_not_come(LARGEST.to_vec(), &[])]
fn bytes_without_end_close_the_connection(#[case] start: Vec<u8>, #[case] unit: &'static [u8]) {
    let written = bytes_taken(start, unit);
    assert!(written < CONNECTION_BYTES, "{written} bytes were taken");
}

/// Guards against a connection whose peer sends probes and never reads the replies.
#[test]
fn probes_whose_replies_are_not_read_close_the_connection() {
    let unit: &'static [u8] = Box::leak(probe().into_boxed_slice());
    let written = bytes_taken(hello(), unit);
    assert!(written < CONNECTION_BYTES, "{written} bytes were taken");
}

/// Guards against a member that serves nobody else while a peer sends probes without a pause.
#[test]
fn probes_without_end_hold_up_no_other_peer() {
    let folder = TempDir::new().expect("a folder");
    let addresses = free_addresses(2);
    let _member = Member::start(settings(folder.path(), &addresses), Box::new(DiskIo));
    let mut stream = connect(addresses[0]);
    let mut replies = stream.try_clone().expect("a second handle");
    thread::spawn(move || {
        let mut buffer = vec![0; WRITE_BYTES];
        while replies.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let sender = thread::spawn(move || {
        stream.write_all(&hello()).expect("the greeting is sent");
        let block = probe().repeat(WRITE_BYTES / probe().len());
        let end = Instant::now() + PROBING_TIME;
        while Instant::now() < end && stream.write_all(&block).is_ok() {}
    });
    thread::sleep(MEANWHILE);
    assert_greets(addresses[0]);
    sender.join().expect("the probes are sent");
}
