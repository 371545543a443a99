//! Tells when a file may have changed: by a signal, or by how it looks.

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

/// Time between two looks at the file.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Signals that are taken for one when they have come meanwhile.
const SIGNAL_BYTES: usize = 64;

/// What tells one content of a file from the next without reading it.
type Fingerprint = Option<(SystemTime, u64)>;

/// Watches a file.
pub struct FileWatch {
    path: PathBuf,
    seen: Fingerprint,
    signals: UnixStream,
}

impl FileWatch {
    /// A watch of `path`; SIGHUP no longer ends the process.
    ///
    /// # Errors
    /// An [`io::Error`] when the signal cannot be watched.
    pub fn start(path: &Path) -> io::Result<Self> {
        let (receiver, sender) = StdUnixStream::pair()?;
        pipe::register(SIGHUP, sender)?;
        receiver.set_nonblocking(true)?;
        let signals = UnixStream::from_std(receiver)?;
        Ok(Self { path: path.to_owned(), seen: fingerprint(path), signals })
    }

    /// Reads the file anew for ever, whenever it may have changed, and hands over what it holds. Where it cannot
    /// be used, what was handed over before stays in force.
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

    /// Ends once SIGHUP has come or the file looks different.
    async fn changed(&mut self) {
        loop {
            let signalled = monoio::select! {
                (read, _) = self.signals.read(vec![0u8; SIGNAL_BYTES]) => read.is_ok(),
                _ = sleep(LOOK_INTERVAL) => false,
            };
            let now = fingerprint(&self.path);
            if signalled || now != self.seen {
                self.seen = now;
                return;
            }
        }
    }
}

/// None when the file cannot be looked at, as while it is being replaced.
fn fingerprint(path: &Path) -> Fingerprint {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
