//! Detects changes of a file, by SIGHUP or by polling its metadata.

use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use monoio::time::sleep;
use signal_hook::consts::SIGHUP;
use signal_hook::low_level::pipe;
use tracing::warn;

/// Interval of polling the metadata.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of pending signals that are handled as one.
const SIGNAL_BUFFER_BYTES: usize = 64;

/// Modification time and size, which detect a change without reading the file.
type Fingerprint = Option<(SystemTime, u64)>;

/// Watches a file for changes.
pub struct FileWatch {
    path: PathBuf,
    seen: Fingerprint,
    signals: UnixStream,
}

impl FileWatch {
    /// Starts watching `path`; from now on SIGHUP does not end the process.
    ///
    /// # Errors
    /// An [`io::Error`] if the signal handler cannot be registered.
    pub fn start(path: &Path) -> io::Result<Self> {
        let (receiver, sender) = StdUnixStream::pair()?;
        pipe::register(SIGHUP, sender)?;
        receiver.set_nonblocking(true)?;
        let signals = UnixStream::from_std(receiver)?;
        Ok(Self { path: path.to_owned(), seen: fingerprint(path), signals })
    }

    /// Calls `read` whenever the file may have changed, and passes its result to `take`; never
    /// returns. An error is logged, and the previous content stays in force.
    pub async fn read_changes<T>(
        mut self,
        read: impl Fn() -> Result<T, String>,
        mut take: impl FnMut(T),
    ) {
        loop {
            self.changed().await;
            match read() {
                Ok(content) => take(content),
                Err(error) => {
                    let file = self.path.display();
                    warn!(event = "settings_unusable", %file, %error, kept = true);
                }
            }
        }
    }

    /// Waits for SIGHUP or a different fingerprint.
    async fn changed(&mut self) {
        loop {
            let signalled = monoio::select! {
                (read, _) = self.signals.read(vec![0u8; SIGNAL_BUFFER_BYTES]) => read.is_ok(),
                _ = sleep(POLL_INTERVAL) => false,
            };
            let now = fingerprint(&self.path);
            if signalled || now != self.seen {
                self.seen = now;
                return;
            }
        }
    }
}

/// Fingerprint of the file; none if its metadata cannot be read, for example while it is being
/// replaced.
fn fingerprint(path: &Path) -> Fingerprint {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
