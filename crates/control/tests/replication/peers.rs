//! Refused peer connections, and invalid frames that close a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use gingerkeel_control::storage::DiskIo;
use gingerkeel_domain::consensus::{
    Envelope, Incarnation, LogPosition, MemberId, Message, NodeNumber, Term,
};
use gingerkeel_protocol::{
    FrameCodec, PROTOCOL_VERSION, PeerFrame, PeerIdentity, PeerRefusal, encode_document,
    encode_frame,
};
use monoio_codec::{Decoded, Decoder};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{Member, free_addresses, settings};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const TRIES: usize = 500;
const PAUSE: Duration = Duration::from_millis(10);

/// Checksum (CRC-32) of the voters 1 and 2, each as four bytes.
const PLANNED_VOTERS: u32 = 0xb64c_97f5;

struct Peer {
    stream: TcpStream,
    received: BytesMut,
}

impl Peer {
    fn connect(address: SocketAddr) -> Self {
        let connected = (0..TRIES).find_map(|_| {
            let stream = TcpStream::connect(address).ok();
            if stream.is_none() {
                std::thread::sleep(PAUSE);
            }
            stream
        });
        let stream = connected.expect("the member listens");
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a limit");
        Self { stream, received: BytesMut::new() }
    }

    fn send(&mut self, frame: &PeerFrame) {
        let bytes = encode_frame(frame).expect("a frame");
        self.stream.write_all(&bytes).expect("the frame is sent");
    }

    /// The next frame; `None` once the connection is closed.
    fn next(&mut self) -> Option<PeerFrame> {
        let mut codec = FrameCodec::<PeerFrame>::default();
        loop {
            if let Decoded::Some(frame) = codec.decode(&mut self.received).expect("a frame") {
                return Some(frame);
            }
            let mut buffer = [0; 1024];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no answer: {error}"),
            }
        }
    }
}

fn identity(node: u32, incarnation: u64) -> PeerIdentity {
    PeerIdentity { node, incarnation, formed: 0, planned_voters: PLANNED_VOTERS }
}

fn hello(protocol_version: u16, cluster: &str, identity: PeerIdentity) -> PeerFrame {
    PeerFrame::Hello { protocol_version, identity, cluster: cluster.as_bytes().to_vec() }
}

/// Starts the first of two members; the test acts as the second.
fn member(folder: &TempDir) -> (Member, SocketAddr) {
    let addresses = free_addresses(2);
    let settings = settings(folder.path(), &addresses);
    (Member::start(settings, Box::new(DiskIo)), addresses[0])
}

#[rstest]
#[case::version(hello(PROTOCOL_VERSION + 1, "test", identity(2, 5)), PeerRefusal::ProtocolVersion)]
#[case::cluster(hello(PROTOCOL_VERSION, "other", identity(2, 5)), PeerRefusal::Cluster)]
#[case::unknown(hello(PROTOCOL_VERSION, "test", identity(3, 5)), PeerRefusal::UnknownPeer)]
#[case::itself(hello(PROTOCOL_VERSION, "test", identity(1, 5)), PeerRefusal::UnknownPeer)]
fn foreign_peer_is_refused(#[case] greeting: PeerFrame, #[case] reason: PeerRefusal) {
    let folder = TempDir::new().expect("a folder");
    let (_member, address) = member(&folder);
    let mut peer = Peer::connect(address);
    peer.send(&greeting);
    assert_eq!(peer.next(), Some(PeerFrame::Refused { reason }));
    assert_eq!(peer.next(), None);
}

#[test]
fn earlier_incarnation_is_refused_once_a_later_one_connected() {
    let folder = TempDir::new().expect("a folder");
    let (_member, address) = member(&folder);
    let mut later = Peer::connect(address);
    later.send(&hello(PROTOCOL_VERSION, "test", identity(2, 9)));
    assert!(matches!(later.next(), Some(PeerFrame::Welcome { .. })));
    let mut earlier = Peer::connect(address);
    earlier.send(&hello(PROTOCOL_VERSION, "test", identity(2, 5)));
    assert_eq!(earlier.next(), Some(PeerFrame::Superseded { incarnation: 9 }));
}

/// Accepts a connection of the member and returns the incarnation that it states.
fn accept_hello(listener: &TcpListener) -> (Peer, u64) {
    listener.set_nonblocking(true).expect("a listener that does not wait");
    let accepted = (0..TRIES).find_map(|_| {
        std::thread::sleep(PAUSE);
        listener.accept().ok()
    });
    let (stream, _) = accepted.expect("the member connects");
    stream.set_nonblocking(false).expect("a stream that waits");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a limit");
    let mut peer = Peer { stream, received: BytesMut::new() };
    let Some(PeerFrame::Hello { identity, .. }) = peer.next() else {
        panic!("no greeting");
    };
    (peer, identity.incarnation)
}

/// Starts the first of two members on a folder; the test listens as the second.
fn restart(folder: &TempDir) -> (Member, TcpListener) {
    let addresses = free_addresses(2);
    let listener = TcpListener::bind(addresses[1]).expect("a free port");
    (Member::start(settings(folder.path(), &addresses), Box::new(DiskIo)), listener)
}

/// An incarnation of a folder that was created while the clock stood an hour ahead of `incarnation`.
fn an_hour_after(incarnation: u64) -> u64 {
    incarnation + Duration::from_secs(3_600).as_micros() as u64
}

/// Guards against a machine that never joins again after it has lost a folder that was created while
/// its clock stood ahead.
#[test]
fn a_new_folder_with_a_lower_incarnation_draws_a_higher_one_and_keeps_it() {
    let folder = TempDir::new().expect("a folder");
    let (member, listener) = restart(&folder);
    let (mut peer, first) = accept_hello(&listener);
    let known = an_hour_after(first);
    peer.send(&PeerFrame::Superseded { incarnation: known });
    let renewed = (0..20).map(|_| accept_hello(&listener).1).find(|stated| *stated != first);
    let renewed = renewed.expect("another incarnation");
    assert!(renewed > known, "{renewed} after {known}");
    assert_eq!(member.status().identity.incarnation, Incarnation(renewed));
    member.stop();
    let (_member, listener) = restart(&folder);
    assert_eq!(accept_hello(&listener).1, renewed);
}

/// A folder with a log may be an old one, whose votes were overtaken.
#[test]
fn a_folder_with_a_log_keeps_its_incarnation() {
    let folder = TempDir::new().expect("a folder");
    let addresses = free_addresses(1);
    let member = Member::start(settings(folder.path(), &addresses), Box::new(DiskIo));
    let formed = (0..TRIES).any(|_| {
        std::thread::sleep(PAUSE);
        member.propose("x").is_ok()
    });
    assert!(formed);
    member.stop();
    let (member, listener) = restart(&folder);
    let (mut peer, first) = accept_hello(&listener);
    peer.send(&PeerFrame::Superseded { incarnation: an_hour_after(first) });
    let stated: Vec<u64> = (0..5).map(|_| accept_hello(&listener).1).collect();
    assert_eq!(stated, [first; 5]);
    assert_eq!(member.status().identity.incarnation, Incarnation(first));
}

/// A consensus message whose sender is not the member that connected.
fn forged() -> Vec<u8> {
    let other = MemberId { node: NodeNumber(2), incarnation: Incarnation(6) };
    let message = Message::VoteRequest { last: LogPosition::default() };
    let envelope = Envelope { from: other, to: other, term: Term(99), message };
    let document = encode_document(&envelope).expect("a document");
    encode_frame(&PeerFrame::Consensus { document }).expect("a frame")
}

fn frame(document: &[u8]) -> Vec<u8> {
    encode_frame(&PeerFrame::Consensus { document: document.to_vec() }).expect("a frame")
}

#[rstest]
#[case::no_frame(vec![0xff; 64])]
#[case::unknown_kind(vec![0, 0, 0, 1, 0x77])]
#[case::no_document(frame(&[0xee; 20]))]
#[case::forged_sender(forged())]
#[case::second_greeting(
    encode_frame(&hello(PROTOCOL_VERSION, "test", identity(2, 5))).expect("a frame")
)]
fn invalid_frame_closes_only_its_connection(#[case] bytes: Vec<u8>) {
    let folder = TempDir::new().expect("a folder");
    let (member, address) = member(&folder);
    let mut peer = Peer::connect(address);
    peer.send(&hello(PROTOCOL_VERSION, "test", identity(2, 5)));
    assert!(matches!(peer.next(), Some(PeerFrame::Welcome { .. })));
    peer.send(&PeerFrame::Probe);
    assert!(matches!(peer.next(), Some(PeerFrame::ProbeReply { .. })));
    peer.stream.write_all(&bytes).expect("the frame is sent");
    assert_eq!(peer.next(), None);
    assert!(member.status().term < Term(99));
    let mut again = Peer::connect(address);
    again.send(&hello(PROTOCOL_VERSION, "test", identity(2, 5)));
    assert!(matches!(again.next(), Some(PeerFrame::Welcome { .. })));
}

/// A cluster must not form with a voter that already has a log or plans other voters.
#[rstest]
#[case::without_a_log(0, PLANNED_VOTERS, true)]
#[case::with_a_log(1, PLANNED_VOTERS, false)]
#[case::with_other_voters(0, PLANNED_VOTERS + 1, false)]
fn cluster_forms_only_with_a_matching_voter(
    #[case] formed: u8,
    #[case] planned_voters: u32,
    #[case] expected: bool,
) {
    let folder = TempDir::new().expect("a folder");
    let (member, address) = member(&folder);
    let mut peer = Peer::connect(address);
    std::thread::sleep(PAUSE);
    assert!(member.status().members.is_empty(), "formed before all voters connected");
    assert!(member.propose("early").is_err());
    let greeting = PeerIdentity { formed, planned_voters, ..identity(2, 5) };
    peer.send(&hello(PROTOCOL_VERSION, "test", greeting));
    assert!(matches!(peer.next(), Some(PeerFrame::Welcome { .. })));
    let tries = if expected { TRIES } else { 60 };
    let found = (0..tries).any(|_| {
        std::thread::sleep(PAUSE);
        !member.status().members.is_empty()
    });
    assert_eq!(found, expected);
}

#[test]
fn an_address_in_use_is_refused() {
    let folders = [TempDir::new().expect("a folder"), TempDir::new().expect("a folder")];
    let addresses = free_addresses(2);
    let first = settings(folders[0].path(), &addresses);
    let member = Member::start(first, Box::new(DiskIo));
    assert!(member.status().members.is_empty());
    let second = settings(folders[1].path(), &addresses);
    let error = Member::start_error(second);
    assert!(error.contains("check that the address is this machine's and is free"), "{error}");
}
