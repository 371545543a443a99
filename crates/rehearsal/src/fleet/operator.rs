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
use crate::leaf::AdminCommand;

/// Runs the operators' command line.
pub struct Operator {
    program: PathBuf,
    control: SocketAddr,
    folder: PathBuf,
}

impl Operator {
    /// An operator who asks the control process at `control`.
    pub fn new(binaries: &Binaries, control: SocketAddr, folder: PathBuf) -> Self {
        Self { program: binaries.command_line(), control, folder }
    }

    /// Carries out statements.
    ///
    /// # Errors
    /// [`RehearsalError::Refused`] with what the command line said.
    pub fn execute(&self, statements: &str) -> Result<(), RehearsalError> {
        let file = self.folder.join("statements.txt");
        fs::write(&file, statements)
            .map_err(|error| RehearsalError::resource(file.display(), error))?;
        let output = Command::new(&self.program)
            .args(["--control", &self.control.to_string(), "--file"])
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
