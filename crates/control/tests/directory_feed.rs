//! The external directory of leaves in a control process's feeds.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use gingerkeel_domain::directory::{DirectoryDelta, LeafDirectory};
use gingerkeel_protocol::{FeedMessage, unpack_document};
use support::{Control, FakeBroker, wait_until};

/// HTTP server of a directory whose list a test can change.
struct ListServer {
    address: SocketAddr,
    names: Arc<Mutex<Vec<&'static str>>>,
}

impl ListServer {
    fn start(names: &[&'static str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let names = Arc::new(Mutex::new(names.to_vec()));
        let served = names.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || serve(stream, &served));
            }
        });
        Self { address, names }
    }

    fn list(&self, names: &[&'static str]) {
        *self.names.lock().expect("no thread panicked") = names.to_vec();
    }
}

fn serve(mut stream: TcpStream, names: &Mutex<Vec<&'static str>>) {
    let mut request = [0; 1024];
    while stream.read(&mut request).is_ok_and(|count| count > 0) {
        let names = names.lock().expect("no thread panicked").clone();
        let leaf = |name: &&str| {
            format!(
                "{{\"identity\":\"{name}\",\"service\":\"s\",\"address\":\"127.0.0.1:{}\",\"zone\":\"z\",\
                 \"slots\":4,\"availability\":\"Ready\",\"version\":\"v1\"}}",
                9_000 + u16::from(name.as_bytes()[0])
            )
        };
        let leaves: Vec<String> = names.iter().map(leaf).collect();
        let body = format!("{{\"leaves\":[{}],\"next\":null}}", leaves.join(","));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
            return;
        }
    }
}

/// The next update of the directory: the whole list, or a delta as the error.
fn next_update(broker: &mut FakeBroker) -> Result<LeafDirectory, DirectoryDelta> {
    broker.receive_until(|message| match message {
        FeedMessage::WholeDirectory { directory } => {
            Some(Ok(unpack_document(&directory.bytes).expect("a list")))
        }
        FeedMessage::DirectoryChange { delta } => {
            Some(Err(unpack_document(&delta.bytes).expect("a change")))
        }
        _ => None,
    })
}

/// Sending the whole list on each change would saturate the links of a large fleet, with thousands
/// of leaves and hundreds of brokers.
#[test]
fn change_of_the_directory_is_sent_as_a_delta() {
    let list = ListServer::start(&["a", "b"]);
    let settings = format!("[directory]\naddress = \"{}\"\npoll_interval_ms = 100\n", list.address);
    let control = Control::start_in("control-1", tempfile::tempdir().unwrap(), &settings);
    wait_until(|| control.rows("SHOW DIRECTORY").len() == 2);
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    assert_eq!(next_update(&mut broker).expect("the whole list comes first").leaves().len(), 2);
    for names in [&["a", "b", "c"][..], &["a", "c"]] {
        list.list(names);
        let change = next_update(&mut broker).expect_err("a delta");
        assert_eq!(change.changed.len() + change.gone.len(), 1, "{change:?}");
    }
}
