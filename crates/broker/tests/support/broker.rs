//! Starts and controls a broker process.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, ExitStatus, Stdio};

use gingerkeel_domain::catalog::Catalog;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use super::caller::{Caller, issue_key};
use super::control::ScriptedControl;
use super::wait_until;

/// Name of the settings file.
const SETTINGS: &str = "broker.toml";

/// A broker process; killed when dropped.
pub struct Broker {
    /// Address of the caller listener.
    pub listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The scripted control process that the broker follows.
    pub control: ScriptedControl,
    child: Child,
    folder: TempDir,
}

impl Broker {
    /// Starts a broker and waits until the catalog is in force.
    pub fn start(catalog: &Catalog) -> Self {
        Self::start_with(catalog, "")
    }

    /// Starts a broker with additional settings.
    pub fn start_with(catalog: &Catalog, settings: &str) -> Self {
        Self::start_on(ScriptedControl::serve(catalog), settings)
    }

    /// Starts a broker that follows this control process.
    pub fn start_on(control: ScriptedControl, settings: &str) -> Self {
        Self::start_among(&[], control, settings)
    }

    /// Starts a broker whose settings list other control processes before this one.
    pub fn start_among(others: &[SocketAddr], control: ScriptedControl, settings: &str) -> Self {
        let controls = others.iter().chain([&control.address]);
        let controls: Vec<String> = controls.map(|feed| format!("\"{feed}\"")).collect();
        let controls = controls.join(", ");
        let folder = tempfile::tempdir().expect("a temporary folder");
        let path = folder.path().join(SETTINGS);
        let text = format!(
            "name = \"broker\"\nregion = \"south\"\nzone = \"a\"\n\
             listen = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\ncontrol = [{controls}]\nseed = 1\n{settings}\n"
        );
        fs::write(&path, text).expect("the settings are written");
        let log = fs::File::create(folder.path().join("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_gingerkeel-broker"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the broker starts");
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut broker = Self { listen: unknown, metrics: unknown, control, child, folder };
        wait_until("the broker has said where it listens", || {
            let log = broker.log();
            let started = log.lines().find(|line| line.contains("event=started"));
            let Some(started) = started.filter(|_| log.ends_with('\n')) else {
                return false;
            };
            broker.listen = address_in(started, "listen");
            broker.metrics = address_in(started, "metrics");
            true
        });
        wait_until("the broker has its catalog", || issue_key(broker.caller()).is_some());
        broker
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A new connection.
    pub fn caller(&self) -> Caller {
        Caller::connect(self.listen)
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Rewrites the settings file without sending a signal.
    pub fn change_settings(&self, change: impl FnOnce(String) -> String) {
        let path = self.folder.path().join(SETTINGS);
        let text = fs::read_to_string(&path).expect("the settings are read");
        fs::write(&path, change(text)).expect("the settings are written");
    }

    /// The metrics in the text format.
    pub fn metrics(&self) -> String {
        let mut caller = Caller::connect(self.metrics);
        caller.send(b"GET /metrics HTTP/1.1\r\nhost: broker\r\n\r\n");
        let response = caller.receive().expect("an answer");
        assert_eq!(response.status, 200);
        response.body
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a process number"), signal).expect("the process runs");
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process can be watched").is_some()
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the broker has ended", || {
            status = self.child.try_wait().expect("the process can be watched");
            status.is_some()
        });
        status.expect("the process has ended")
    }

    /// Asserts that the process exits by itself with code 0.
    pub fn assert_ends_well(&mut self) {
        let status = self.wait();
        assert_eq!(status.signal(), None, "{}", self.log());
        assert_eq!(status.code(), Some(0), "{}", self.log());
    }
}

/// The address in a field of a log line.
fn address_in(line: &str, key: &str) -> SocketAddr {
    let prefix = format!("{key}=");
    let value = line.split(' ').find_map(|pair| pair.strip_prefix(prefix.as_str()));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {key} in {line}"))
}

impl Drop for Broker {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
