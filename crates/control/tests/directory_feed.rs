//! How a control process tells brokers of the outside list of leaves.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use gingerkeel_domain::directory::{DirectoryDelta, LeafDirectory};
use gingerkeel_protocol::{FeedMessage, unpack_document};
use support::{Control, FakeBroker, wait_until};

/// A list of leaves that a test changes.
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

/// The next news of the list: a whole one, or what changed.
fn next_news(broker: &mut FakeBroker) -> Result<LeafDirectory, DirectoryDelta> {
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

/// A whole list for each change of it would fill the links of a large fleet: thousands of leaves to hundreds of brokers.
#[test]
fn a_list_that_changes_is_told_as_what_changed() {
    let list = ListServer::start(&["a", "b"]);
    let settings = format!("[directory]\naddress = \"{}\"\npoll_interval_ms = 100\n", list.address);
    let control = Control::start_in("control-1", tempfile::tempdir().unwrap(), &settings);
    wait_until(|| control.rows("SHOW DIRECTORY").len() == 2);
    let mut broker = FakeBroker::subscribe(&control, "b1", 1, 0);
    assert_eq!(next_news(&mut broker).expect("the whole list first").leaves().len(), 2);
    for names in [&["a", "b", "c"][..], &["a", "c"]] {
        list.list(names);
        let change = next_news(&mut broker).expect_err("what changed");
        assert_eq!(change.changed.len() + change.gone.len(), 1, "{change:?}");
    }
}
