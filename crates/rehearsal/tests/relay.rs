//! The relay passes bytes on unchanged and counts them in each direction.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_rehearsal::relay::{FrameFollower, KindCounters, LinkFault, Relay};
use rstest::rstest;

#[test]
fn bytes_pass_and_are_counted_by_direction() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let target = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut asked = [0; 5];
        stream.read_exact(&mut asked).expect("the question");
        stream.write_all(b"an answer").expect("the answer");
        asked
    });
    let relay = Relay::start(target).expect("a relay");
    let mut stream = TcpStream::connect(relay.address()).expect("a connection");
    stream.write_all(b"hello").expect("the question");
    let mut answer = [0; 9];
    stream.read_exact(&mut answer).expect("the answer");
    assert_eq!(&answer, b"an answer");
    assert_eq!(&server.join().expect("the server ends"), b"hello");
    assert_eq!(relay.bytes().to_target, 5);
    assert_eq!(relay.bytes().from_target, 9);
}

#[test]
fn a_cut_closes_connections_and_a_heal_lets_new_ones_pass() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let relay = Relay::start(listener.local_addr().expect("an address")).expect("a relay");
    let ask = || TcpStream::connect(relay.address()).expect("a connection");
    let mut cut_off = ask();
    let (target_side, _) = listener.accept().expect("a connection");
    relay.cut();
    assert_eq!(cut_off.read(&mut [0]).expect("the end"), 0);
    assert_eq!(ask().read(&mut [0]).expect("the end"), 0, "a new connection is closed");
    relay.heal();
    drop(target_side);
    let mut healed = ask();
    let served = thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            // Connections of the time of the cut end without a byte.
            if stream.read(&mut [0]).is_ok_and(|count| count == 1) {
                return stream.write_all(b"x").is_ok();
            }
        }
        false
    });
    healed.write_all(b"y").expect("the question");
    assert_eq!(healed.read(&mut [0]).expect("the answer"), 1);
    assert!(served.join().expect("the server ends"));
}

/// A server that answers each byte with the same one, and a relay to it.
fn echo() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let relay = Relay::start(listener.local_addr().expect("an address")).expect("a relay");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    relay
}

/// A connection on which a byte has passed and come back.
fn connected(relay: &Relay) -> TcpStream {
    let mut stream = TcpStream::connect(relay.address()).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time limit");
    assert!(passes(&mut stream));
    stream
}

fn passes(stream: &mut TcpStream) -> bool {
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut [0]).is_ok()
}

#[test]
fn a_delayed_link_passes_bytes_later() {
    let relay = echo();
    let mut stream = connected(&relay);
    relay.disturb(LinkFault::Delayed(Duration::from_millis(50)));
    let began = Instant::now();
    assert!(passes(&mut stream));
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[rstest]
#[case::both_ways(LinkFault::Silent, false)]
#[case::to_the_target(LinkFault::SilentToTarget, false)]
#[case::from_the_target(LinkFault::SilentFromTarget, true)]
fn a_silent_link_passes_nothing_until_it_is_healed(#[case] fault: LinkFault, #[case] asked: bool) {
    let relay = echo();
    let mut stream = connected(&relay);
    relay.disturb(fault);
    assert!(!passes(&mut stream));
    // One byte of the greeting and one more have come from the target when only the way back is cut.
    assert_eq!(relay.bytes().from_target, if asked { 2 } else { 1 });
    relay.heal();
    assert!(stream.read_exact(&mut [0]).is_ok(), "what was held up arrives");
    assert!(passes(&mut stream));
}

#[test]
fn a_reset_link_ends_connections_until_it_is_healed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let relay = Relay::start(listener.local_addr().expect("an address")).expect("a relay");
    let mut caller = TcpStream::connect(relay.address()).expect("a connection");
    let (mut target, _) = listener.accept().expect("a connection");
    caller.write_all(b"x").expect("a byte");
    target.read_exact(&mut [0]).expect("the byte");
    relay.disturb(LinkFault::Reset);
    let error = target.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(caller.read(&mut [0]).unwrap_or(0), 0);
    relay.heal();
    let _healed = TcpStream::connect(relay.address()).expect("a connection");
    assert!(listener.accept().is_ok());
}

/// Two frames: 3 bytes of kind 7 and 5 bytes of kind 2, with their lengths.
const FRAMES: &[u8] = &[0, 0, 0, 3, 7, 1, 1, 0, 0, 0, 0, 0, 0, 0, 5, 2, 9, 9, 9, 9];

#[rstest]
#[case::whole(FRAMES.len())]
#[case::by_byte(1)]
#[case::across_lengths(3)]
#[case::across_bodies(6)]
fn frames_are_counted_by_kind_in_whatever_pieces_they_come(#[case] piece: usize) {
    let counters = KindCounters::default();
    let mut follower = FrameFollower::default();
    for piece in FRAMES.chunks(piece) {
        follower.follow(piece, &counters);
    }
    let bytes = counters.read();
    assert_eq!((bytes.of(7), bytes.of(2), bytes.of(0)), (7, 9, 0));
    assert_eq!(bytes.of(7) + bytes.of(2) + 4, FRAMES.len() as u64, "an empty frame has no kind");
}

#[test]
fn a_relay_that_refuses_takes_no_connections_until_it_heals() {
    let relay = echo();
    let mut stream = connected(&relay);
    relay.refuse();
    assert_eq!(stream.read(&mut [0]).unwrap_or(0), 0, "open connections end");
    let begun = Instant::now();
    while TcpStream::connect(relay.address()).is_ok() {
        assert!(begun.elapsed() < Duration::from_secs(5), "connections are still taken");
    }
    relay.heal();
    let begun = Instant::now();
    while TcpStream::connect(relay.address()).is_err() {
        assert!(begun.elapsed() < Duration::from_secs(5), "no connection is taken");
    }
    connected(&relay);
}
