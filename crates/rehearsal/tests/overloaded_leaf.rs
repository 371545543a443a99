//! A stand-in leaf whose queue is full of requests that are cancelled goes on answering.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_rehearsal::fleet::free_addresses;
use gingerkeel_transport::{ClientConnection, HttpRequest, HttpResponse, Limits, block_on};
use http::{HeaderValue, Method, Uri};

/// Callers at the same time: five run, the others wait.
const CALLERS: u64 = 20;
/// Requests of each caller, one after the other.
const REQUESTS: u64 = 150;
/// Requests are cancelled after 0 to this many milliseconds, about the time in the queue, so that
/// many are cancelled in the very moment in which they get a slot.
const LONGEST_WAIT_MS: u64 = 20;

struct Leaf(Child);

impl Drop for Leaf {
    fn drop(&mut self) {
        // Fails only when the process has ended before.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_leaf(address: SocketAddr, folder: &Path) -> Leaf {
    let child = Command::new(env!("CARGO_BIN_EXE_gingerkeel-rehearsal"))
        .args(["leaf", "--listen", &address.to_string(), "--service-ms", "4", "--journal"])
        .arg(folder.join("journal.jsonl"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    Leaf(child)
}

fn search(id: &str) -> HttpRequest {
    let mut request = HttpRequest::new(Bytes::from_static(b"{\"query\":\"q\"}"));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/v1/shards/0/search");
    let headers = request.headers_mut();
    headers.insert("x-request-id", HeaderValue::try_from(id).expect("an identifier"));
    headers.insert("x-index-version", HeaderValue::from_static("1"));
    headers.insert("x-partition-epoch", HeaderValue::from_static("1"));
    headers.insert("x-deadline-ms", HeaderValue::from_static("5000"));
    request
}

async fn connect(address: SocketAddr) -> ClientConnection {
    for _ in 0..500 {
        if let Ok(connection) = ClientConnection::connect(address, Limits::default()).await {
            return connection;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the leaf does not listen");
}

fn cancellation(id: &str) -> HttpRequest {
    let mut request = HttpRequest::new(Bytes::new());
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = Uri::try_from(format!("/v1/requests/{id}")).expect("a path");
    request
}

/// Cancels the requests of one caller, each after a while.
async fn cancel(address: SocketAddr, caller: u64, number: u64) {
    let wait_ms = (number * 7 + caller * 5) % LONGEST_WAIT_MS;
    monoio::time::sleep(Duration::from_millis(wait_ms)).await;
    let mut connection = connect(address).await;
    let id = request_id(caller, number);
    connection.exchange(cancellation(&id)).await.expect("the leaf goes on answering");
}

fn request_id(caller: u64, number: u64) -> String {
    format!("broker-run-{}-0-1", caller * REQUESTS + number)
}

/// One caller's requests; gives how many ran and how many were cancelled.
async fn call(address: SocketAddr, caller: u64) -> (u64, u64) {
    let mut connection = connect(address).await;
    let mut ran = 0;
    for number in 0..REQUESTS {
        let cancelling = monoio::spawn(cancel(address, caller, number));
        let request = search(&request_id(caller, number));
        let response: HttpResponse =
            connection.exchange(request).await.expect("the leaf goes on answering");
        ran += u64::from(response.status().is_success());
        cancelling.await;
    }
    (ran, REQUESTS - ran)
}

#[test]
fn requests_that_are_cancelled_in_the_queue_stop_nothing() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let address = free_addresses(1).expect("a free address")[0];
    let _leaf = start_leaf(address, folder.path());
    let calling = async move {
        let callers: Vec<_> =
            (0..CALLERS).map(|caller| monoio::spawn(call(address, caller))).collect();
        let mut totals = (0, 0);
        for caller in callers {
            let (ran, cancelled) = caller.await;
            totals = (totals.0 + ran, totals.1 + cancelled);
        }
        totals
    };
    let (ran, cancelled) = block_on(calling).expect("a runtime");
    assert!(ran > 0, "some ran");
    assert!(cancelled > 0, "some were cancelled");
}
