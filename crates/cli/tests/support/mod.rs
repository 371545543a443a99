//! Runs a control process in a thread, and the command-line client against it.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gingerkeel_settings::ControlSettings;
use tempfile::TempDir;

/// Startup timeout of a control process, long enough for a machine under load.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Port of the first address of a control process.
const FIRST_PORT: u16 = 20_000;
/// Lowest second octet of the loopback hosts of these tests. Rehearsals use lower octets.
const FIRST_OCTET: u8 = 150;
/// Maximum number of control processes that a test process may start.
const CALL_LIMIT: u8 = 100;

/// Control process running in a thread.
pub struct ControlProcess {
    /// Address for operator statements.
    pub address: SocketAddr,
    _folder: TempDir,
}

/// Starts a control process on free addresses. It runs until the test process exits.
pub fn start_control() -> ControlProcess {
    let [operators, feed] = free_addresses();
    let folder = tempfile::tempdir().unwrap();
    let text = format!(
        "name = \"control-1\"\noperators = \"{operators}\"\nfeed = \"{feed}\"\ndata_folder = {:?}",
        folder.path()
    );
    let settings: ControlSettings = gingerkeel_settings::parse("test", &text).unwrap();
    thread::spawn(move || {
        gingerkeel_transport::block_on(gingerkeel_control::run(settings, None)).unwrap().unwrap()
    });
    let end = Instant::now() + READY_LIMIT;
    while !run(&[operators], &["SHOW STATUS"]).status.success() {
        assert!(Instant::now() < end, "the control process is not ready in time");
    }
    ControlProcess { address: operators, _folder: folder }
}

/// Addresses of a loopback host that is unique to this call and test process. Binding port 0 and
/// closing the socket does not work: a program that another test starts at that moment inherits the
/// socket until its startup is complete.
fn free_addresses() -> [SocketAddr; 2] {
    static CALLS: AtomicU8 = AtomicU8::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    assert!(call < CALL_LIMIT, "a test process starts at most 100 control processes");
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, FIRST_OCTET + call, middle, low.max(1));
    [0, 1].map(|number| SocketAddr::from((host, FIRST_PORT + number)))
}

/// Proxy that forwards requests and drops the responses.
pub struct LosingRelay {
    pub address: SocketAddr,
    lost: Arc<AtomicUsize>,
}

impl LosingRelay {
    /// Starts a proxy for `target`. It runs until the test process exits.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let lost = Arc::new(AtomicUsize::new(0));
        let counted = lost.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lose_answer(stream, target);
                counted.fetch_add(1, Ordering::SeqCst);
            }
        });
        Self { address, lost }
    }

    /// Number of dropped responses.
    pub fn lost(&self) -> usize {
        self.lost.load(Ordering::SeqCst)
    }
}

fn lose_answer(mut stream: TcpStream, target: SocketAddr) {
    let mut control = TcpStream::connect(target).unwrap();
    let mut part = [0; 16 * 1024];
    // A request this small arrives in at most one segment each for the head and the body.
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    while let Ok(count) = stream.read(&mut part) {
        if count == 0 {
            break;
        }
        control.write_all(&part[..count]).unwrap();
    }
    // A response shows that the control process has executed the request.
    let _ = control.read(&mut part);
}

/// Runs the command-line client.
pub fn run(controls: &[SocketAddr], arguments: &[&str]) -> Output {
    command(controls, arguments).output().expect("the program starts")
}

/// Runs the shell with `lines` as its input.
pub fn shell(controls: &[SocketAddr], lines: &str, home: &std::path::Path) -> Output {
    let mut child = command(controls, &[])
        .env("HOME", home)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child.stdin.take().unwrap().write_all(lines.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn command(controls: &[SocketAddr], arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gingerkeel"));
    for control in controls {
        command.args(["--control", &control.to_string()]);
    }
    command.args(arguments);
    command
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
