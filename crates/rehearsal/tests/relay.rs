//! The relay passes bytes on unchanged and counts them in each direction.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use gingerkeel_rehearsal::relay::Relay;

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
