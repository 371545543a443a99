//! Operators of a fleet: the command line, and administrators of stand-in leaves.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use bytes::Bytes;
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, TransportError, block_on};
use http::{Method, Uri};

use super::binaries::Binaries;
use crate::error::RehearsalError;
use crate::leaf::{AdminCommand, LeafCounters};

/// Bytes of statements that are sent at once.
const CHUNK_BYTES: usize = 128 * 1024;

/// Runs the operators' command line.
pub struct Operator {
    program: PathBuf,
    controls: Vec<SocketAddr>,
    asked: usize,
    folder: PathBuf,
}

impl Operator {
    /// An operator who asks the first of `controls`, of which there is at least one, and the
    /// others when it gives no outcome.
    pub fn new(binaries: &Binaries, controls: Vec<SocketAddr>, folder: PathBuf) -> Self {
        Self { program: binaries.command_line(), controls, asked: 0, folder }
    }

    /// Asks the control process of this number first from now on.
    pub fn ask(&mut self, index: usize) {
        self.asked = index % self.controls.len();
    }

    /// Carries out statements.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] with what the command line said.
    pub fn execute(&self, statements: &str) -> Result<(), RehearsalError> {
        chunks(statements).iter().try_for_each(|chunk| self.execute_chunk(chunk))
    }

    /// Flags that name all control processes, the asked one first.
    fn control_flags(&self) -> Vec<String> {
        let (later, first) = (&self.controls[..self.asked], &self.controls[self.asked..]);
        first.iter().chain(later).map(|control| format!("--control={control}")).collect()
    }

    fn execute_chunk(&self, statements: &str) -> Result<(), RehearsalError> {
        let file = self.folder.join("statements.txt");
        fs::write(&file, statements)
            .map_err(|error| RehearsalError::resource(file.display(), error))?;
        let output = Command::new(&self.program)
            .args(self.control_flags())
            .arg("--file")
            .arg(&file)
            .output()
            .map_err(|error| {
                RehearsalError::NotStarted(self.program.display().to_string(), error)
            })?;
        if output.status.success() {
            return Ok(());
        }
        let said = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        Err(RehearsalError::Refused(said))
    }
}

/// Splits a text with a statement on each line into texts that control takes.
fn chunks(statements: &str) -> Vec<String> {
    let mut chunks = vec![String::new()];
    for line in statements.lines() {
        let full = chunks.last().is_some_and(|chunk| chunk.len() + line.len() > CHUNK_BYTES);
        if full {
            chunks.push(String::new());
        }
        let chunk = chunks.last_mut().expect("there is at least one");
        chunk.push_str(line);
        chunk.push('\n');
    }
    chunks
}

/// Changes stand-in leaves while they run.
///
/// # Errors
/// [`RehearsalError::Exchange`] when the process does not answer.
pub fn administer(
    leaf: u32,
    address: SocketAddr,
    command: &AdminCommand,
) -> Result<(), RehearsalError> {
    let body = serde_json::to_vec(command).expect("commands have string keys only");
    let mut request = HttpRequest::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/admin");
    let response = exchange(address, request)
        .map_err(|error| RehearsalError::Exchange(format!("leaf {leaf}"), error))?;
    if !response.status().is_success() {
        return Err(RehearsalError::Refused(format!("leaf {leaf}: {}", response.status())));
    }
    Ok(())
}

/// Requests that the leaves of a process began to run.
///
/// # Errors
/// [`RehearsalError::Exchange`] when the process does not answer.
pub fn count_started(address: SocketAddr) -> Result<u64, RehearsalError> {
    let mut request = HttpRequest::new(Bytes::new());
    *request.uri_mut() = Uri::from_static("/counters");
    let process = format!("the leaves at {address}");
    let response = exchange(address, request)
        .map_err(|error| RehearsalError::Exchange(process.clone(), error))?;
    let counters: LeafCounters = serde_json::from_slice(response.body())
        .map_err(|_| RehearsalError::NotReady(format!("the counters of {process}")))?;
    Ok(counters.started)
}

/// One request on a connection of its own.
///
/// # Errors
/// A [`TransportError`] when the peer does not answer.
pub fn exchange(
    address: SocketAddr,
    request: HttpRequest,
) -> Result<gingerkeel_transport::HttpResponse, TransportError> {
    let exchanging = async move {
        let mut connection = ClientConnection::connect(address, Limits::default()).await?;
        connection.exchange(request).await
    };
    block_on(exchanging)?
}
