//! Changes of the settings file while a control process runs.

mod support;

use std::fs::{self, File};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use support::{Control, free_addresses, wait_until};
use tempfile::TempDir;

/// A control process as a child process; killed on drop.
struct Process {
    control: Control,
    child: Child,
    folder: TempDir,
}

impl Process {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses = free_addresses(2);
        let [operators, feed] = [addresses[0], addresses[1]];
        let text = format!(
            "name = \"control-1\"\nzone = \"a\"\noperators = \"{operators}\"\nfeed = \"{feed}\"\n\
             data_folder = {:?}\n",
            folder.path()
        );
        let settings = folder.path().join("control.toml");
        fs::write(&settings, text).unwrap();
        let log = File::create(folder.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_gingerkeel-control"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let process = Self { control: Control::at(operators, feed), child, folder };
        wait_until(|| process.control.is_ready());
        process
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    fn change_settings(&self, from: &str, to: &str) {
        let path = self.folder.path().join("control.toml");
        let text = fs::read_to_string(&path).unwrap().replace(from, to);
        fs::write(&path, text).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn changed_settings_are_logged_as_needing_a_restart() {
    let process = Process::start();
    process.change_settings("zone = \"a\"", "zone = \"b\"");
    wait_until(|| process.log().contains("event=settings_read"));
    assert!(process.log().contains("restart_needed=true"), "{}", process.log());
    assert!(process.control.is_ready());
}

#[test]
fn signal_without_a_change_needs_no_restart() {
    let process = Process::start();
    kill_process(Pid::from_child(&process.child), Signal::HUP).unwrap();
    wait_until(|| process.log().contains("event=settings_read"));
    assert!(process.log().contains("restart_needed=false"), "{}", process.log());
    assert!(process.control.is_ready());
}
