//! The control process: it accepts operators' statements, holds the catalog and feeds brokers.

mod catalog_task;
mod feed;
mod operators;
pub mod replication;
pub mod storage;
mod tables;

use std::io;

use gingerkeel_settings::ControlSettings;
use monoio::net::TcpListener;
use tracing::info;

/// Serves operators and brokers until the process ends.
///
/// # Errors
/// An [`io::Error`] when an address cannot be bound.
pub async fn run(settings: ControlSettings) -> io::Result<()> {
    let operators = TcpListener::bind(settings.operators)?;
    let feed = TcpListener::bind(settings.feed)?;
    info!(
        event = "started",
        name = settings.name,
        operators = %settings.operators,
        feed = %settings.feed
    );
    let catalog = catalog_task::start();
    monoio::spawn(feed::serve(feed, catalog.clone()));
    operators::serve(operators, catalog).await;
    Ok(())
}
