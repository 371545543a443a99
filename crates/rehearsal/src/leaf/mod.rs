//! Stand-in leaves: HTTP servers that keep a journal of what they ran.
//!
//! One process hosts any number of leaves, each on a port of its own.

mod admin;
mod body;
mod emulator;
mod health;
mod server;
mod service_time;
mod settings;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gumdrop::Options;
use tracing::info;

pub use admin::{AdminCommand, LeafCounters, ReplyFault, ReplyFaultKind};
pub use body::{LeafBody, QueryBody};
pub use settings::{LeafProcessSettings, LeafSettings, milliseconds};

use crate::error::RehearsalError;
use crate::record::RecordWriter;
use emulator::Emulator;
use server::LeafServer;

/// Flags of a process of stand-in leaves.
#[derive(Debug, Options)]
pub struct LeafFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, TOML; replaces the other flags", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(
        help = "address on which a leaf takes requests; once for each leaf",
        meta = "ADDRESS"
    )]
    listen: Vec<SocketAddr>,
    #[options(help = "file to which each request that runs is appended", meta = "FILE")]
    journal: Option<PathBuf>,
    #[options(
        help = "milliseconds that a request takes in the middle",
        default = "5",
        meta = "MS"
    )]
    service_ms: f64,
}

impl LeafFlags {
    fn process_settings(self) -> Result<LeafProcessSettings, RehearsalError> {
        if let Some(path) = self.settings {
            return Ok(gingerkeel_settings::load(&path)?);
        }
        let journal = self.journal.ok_or_else(|| {
            RehearsalError::Flag("no journal named: add --journal FILE or --settings FILE".into())
        })?;
        let service_ms = self.service_ms;
        let leaves = (1..)
            .zip(self.listen)
            .map(|(id, listen)| LeafSettings { service_ms, ..LeafSettings::new(id, listen) })
            .collect();
        Ok(LeafProcessSettings::new(Some(journal), leaves))
    }
}

/// Serves requests until the process ends.
///
/// # Errors
/// A [`RehearsalError`] when the settings are wrong, an address cannot be bound or the journal
/// cannot be opened.
pub async fn run(flags: LeafFlags) -> Result<(), RehearsalError> {
    let settings = flags.process_settings()?;
    let journal = settings.journal.as_deref().map(RecordWriter::open).transpose()?;
    let journal = journal.map(|journal| Rc::new(RefCell::new(journal)));
    let mut leaves = Vec::new();
    let mut listeners = Vec::new();
    for leaf in &settings.leaves {
        let listener = gingerkeel_transport::listen(leaf.listen)
            .map_err(|error| RehearsalError::resource(leaf.listen, error))?;
        leaves.push(Rc::new(Emulator::new(leaf.clone(), settings.seed, journal.clone())));
        listeners.push(listener);
    }
    let delays = Rc::new(settings.delays());
    for (leaf, listener) in leaves.iter().zip(listeners) {
        let server = LeafServer::new(leaf.clone(), leaves.clone(), delays.clone());
        monoio::spawn(server.serve(listener));
    }
    info!(event = "started", role = "leaf", leaves = leaves.len());
    loop {
        monoio::time::sleep(Duration::from_secs(3600)).await;
    }
}
