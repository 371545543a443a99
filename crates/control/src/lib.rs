//! The control process: it accepts operators' statements, holds the replicated state and feeds
//! brokers.

mod clock;
mod cluster_task;
mod error;
mod feed;
mod leaf_polling;
mod operators;
pub mod replication;
mod replication_client;
pub mod storage;
mod tables;

use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_settings::ControlSettings;
use gingerkeel_transport::listen;
use local_sync::mpsc::unbounded;
use monoio::net::TcpListener;
use rand::Rng;
use tracing::info;

pub use error::ControlError;

use crate::cluster_task::OwnIdentity;
use crate::replication::ReplicationOptions;
use crate::replication_client::ReplicationClient;

/// Pause after a connection could not be accepted, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves operators and brokers until the process ends.
///
/// # Errors
/// A [`ControlError`] when an address or the data folder cannot be used.
pub async fn run(settings: ControlSettings) -> Result<(), ControlError> {
    let operators = bind(settings.operators)?;
    let feed = bind(settings.feed)?;
    info!(
        event = "started",
        name = settings.name,
        operators = %settings.operators,
        feed = %settings.feed
    );
    let identity = OwnIdentity {
        name: ControlName::new(&settings.name),
        run: rand::rng().random(),
        operators: settings.operators,
        feed: settings.feed,
    };
    let (cluster, messages) = unbounded::channel();
    let state_machine = cluster_task::state_machine(cluster.clone());
    let log = replication::start(&settings, ReplicationOptions::default(), state_machine)?;
    let (polling, plans) = leaf_polling::channel();
    let replication = ReplicationClient::new(log);
    cluster_task::start(identity, replication, polling, cluster.clone(), messages);
    monoio::spawn(leaf_polling::run(plans, cluster.clone()));
    monoio::spawn(feed::serve(feed, cluster.clone()));
    operators::serve(operators, cluster).await;
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, ControlError> {
    listen(address).map_err(|error| ControlError::Address(address, error))
}
