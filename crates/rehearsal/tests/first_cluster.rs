//! The first cluster of `docs/operate/first-cluster.md`, from its settings files.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_rehearsal::fleet::{Binaries, ManagedProcess, Signal, wait_until};
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, block_on};
use http::{Method, Uri};

/// Time that the cluster has for each step; generous, for a busy machine.
const STEP_LIMIT: Duration = Duration::from_secs(30);
/// The host that the files name.
const WRITTEN_HOST: &str = "127.0.0.1";

/// The folder with the settings files.
fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/first-cluster")
}

/// A loopback host that no other test uses, so that the ports of the files are free.
fn host() -> Ipv4Addr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 200, middle, low.max(1))
}

/// Copies the files to `folder`, with this test's host in place of the written one and the data
/// beside them.
fn copy_files(folder: &Path) {
    for entry in fs::read_dir(example()).expect("the example exists") {
        let path = entry.expect("a readable folder").path();
        let text = fs::read_to_string(&path).expect("a text file");
        let name = path.file_name().expect("a file name");
        let data = format!("\"{}/", folder.join("data").display());
        let text = text.replace(WRITTEN_HOST, &host().to_string()).replace("\"data/", &data);
        fs::write(folder.join(name), text).expect("a writable folder");
    }
}

struct Cluster {
    folder: PathBuf,
    binaries: Binaries,
}

impl Cluster {
    /// Starts a program with one of the settings files.
    fn start(&self, program: &Path, name: &str) -> ManagedProcess {
        let settings = self.folder.join(format!("{name}.toml")).display().to_string();
        self.start_with(program, &["--settings", &settings], name)
    }

    fn start_with(&self, program: &Path, arguments: &[&str], name: &str) -> ManagedProcess {
        let log = self.folder.join(format!("{name}.log"));
        ManagedProcess::start(name, program, arguments, &log).expect("the program starts")
    }

    fn operate(&self, statements: &str) -> Output {
        let mut command = Command::new(self.binaries.command_line());
        for port in [7410, 7420, 7430] {
            command.arg("--control").arg(format!("{}:{port}", host()));
        }
        command.arg(statements).output().expect("the program runs")
    }

    /// Whether a look-up prints a line that has all of `words`.
    fn shows(&self, statement: &str, words: &[&str]) -> bool {
        let output = self.operate(statement);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.lines().any(|line| words.iter().all(|word| line.contains(word)))
    }
}

/// The status and body of the page's query.
fn query() -> Option<(u16, String)> {
    let address = SocketAddr::from((host(), 7510));
    let exchange = async {
        let mut connection = ClientConnection::connect(address, Limits::default()).await?;
        let mut request = HttpRequest::new(Bytes::from_static(b"{\"query\":\"open tickets\"}"));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/v1/services/console/query");
        for (name, value) in
            [("x-class", "urgent"), ("x-caller", "helpdesk"), ("x-deadline-ms", "2500")]
        {
            request.headers_mut().insert(name, value.parse().expect("a header value"));
        }
        connection.exchange(request).await
    };
    let response = block_on(exchange).ok()?.ok()?;
    let body = String::from_utf8_lossy(response.body()).into_owned();
    Some((response.status().as_u16(), body))
}

#[test]
fn first_cluster_serves_drains_and_stops_as_the_page_says() {
    let folder = tempfile::tempdir().expect("a folder");
    copy_files(folder.path());
    let binaries = Binaries::find().expect("the programs are built");
    let cluster = Cluster { folder: folder.path().to_owned(), binaries: binaries.clone() };
    let mut controls: Vec<ManagedProcess> = (1..=3)
        .map(|number| cluster.start(&binaries.control(), &format!("control-{number}")))
        .collect();
    let mut brokers: Vec<ManagedProcess> = (1..=2)
        .map(|number| cluster.start(&binaries.broker(), &format!("broker-{number}")))
        .collect();
    let listen: Vec<String> = (7601..=7604).map(|port| format!("{}:{port}", host())).collect();
    let journal = folder.path().join("leaves.journal").display().to_string();
    let mut arguments = vec!["leaf", "--journal", &journal];
    listen.iter().for_each(|address| arguments.extend(["--listen", address]));
    let _leaves = cluster.start_with(&binaries.rehearsal(), &arguments, "leaves");

    assert!(wait_until(STEP_LIMIT, || cluster.operate("SHOW STATUS").status.success()));
    let statements = fs::read_to_string(folder.path().join("first.statements")).expect("a file");
    let configured = cluster.operate(&statements);
    assert!(configured.status.success(), "{configured:?}");
    assert!(wait_until(STEP_LIMIT, || cluster.shows("SHOW STATUS", &["12 ", "2 ", "3 ", "4 "])));
    assert!(wait_until(STEP_LIMIT, || {
        query().is_some_and(|(status, body)| status == 200 && body.contains("\"coverage\":1.0"))
    }));
    assert!(wait_until(STEP_LIMIT, || cluster.shows("SHOW CHARGES", &["helpdesk", "urgent"])));

    assert!(cluster.operate("DRAIN LEAF 1").status.success());
    assert!(cluster.shows("SHOW LEAVES", &["7601", "draining"]));
    drop(controls.remove(0));
    assert!(wait_until(STEP_LIMIT, || cluster.operate("RESUME LEAF 1").status.success()));
    controls.push(cluster.start(&binaries.control(), "control-1"));
    assert!(wait_until(STEP_LIMIT, || {
        let mut command = Command::new(binaries.command_line());
        let first = format!("{}:7410", host());
        let output = command.args(["--control", &first, "SHOW LEAVES"]).output();
        let text = output.map(|output| output.stdout).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        text.lines().any(|line| line.contains("7601") && line.contains("active"))
    }));
    let mut broker = brokers.remove(0);
    broker.signal(Signal::TERM).expect("the broker runs");
    assert!(wait_until(STEP_LIMIT, || broker.ended().is_some_and(|status| status.success())));
}
