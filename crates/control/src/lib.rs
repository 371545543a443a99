//! The control process: accepts operators' statements, holds the replicated state and serves the
//! brokers' feeds.

mod change_proposals;
mod cluster_task;
mod configured_zones;
mod directory_polling;
pub mod entries;
mod error;
mod feed;
mod frames;
mod leaf_polling;
mod native_directory;
mod native_routes;
mod operators;
mod order_checks;
mod planned_stop;
pub mod ports;
mod reload;
pub mod replication;
mod replication_client;
mod rollout_orders;
mod route_operators;
pub mod storage;
mod tables;
mod waiting_calls;
mod wall_clock;
mod zone_orders;

use std::net::SocketAddr;
use std::rc::Rc;

use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_domain::memory::MemoryLimits;
use gingerkeel_domain::rollout::ExposureLimit;
use gingerkeel_domain::routes::PartsPerMillion;
use gingerkeel_settings::{ControlSettings, SettingsSource};
use gingerkeel_transport::{Clock, ConnectionMemory, listen, stop_requested};
use local_sync::mpsc::unbounded;
use monoio::net::TcpListener;
use rand::Rng;
use tracing::info;

pub use error::ControlError;

use crate::cluster_task::{OwnIdentity, TaskSenders};
use crate::configured_zones::ConfiguredZones;
use crate::native_directory::NativeDirectory;
use crate::native_routes::NativeRoutes;
use crate::order_checks::OrderChecks;
use crate::ports::{DirectoryInterface, RouteInterface};
use crate::replication::ReplicationOptions;
use crate::replication_client::ReplicationClient;
use crate::waiting_calls::WaitingCalls;

/// Optional interfaces of a control process to systems outside the cluster.
#[derive(Default)]
pub struct Interfaces {
    /// HTTP interface for routes, zones and roll-outs; served if the settings name its address.
    pub routes: Option<Rc<dyn RouteInterface>>,
    /// External directory of leaves; polled if the settings name its address.
    pub directory: Option<Rc<dyn DirectoryInterface>>,
}

/// Serves operators and brokers until SIGTERM or SIGINT, then prepares the other control processes
/// for the end of this one. When the settings file in `source` changes, logs whether the change
/// needs a restart.
///
/// # Errors
/// A [`ControlError`] if an address or the data folder cannot be used.
pub async fn run(
    settings: ControlSettings,
    source: Option<SettingsSource<ControlSettings>>,
) -> Result<(), ControlError> {
    let interfaces = Interfaces {
        routes: Some(Rc::new(NativeRoutes)),
        directory: Some(Rc::new(NativeDirectory)),
    };
    run_with_interfaces(settings, source, interfaces).await
}

/// Same as [`run`], with the given interfaces instead of the native ones.
///
/// # Errors
/// Same as [`run`].
pub async fn run_with_interfaces(
    settings: ControlSettings,
    source: Option<SettingsSource<ControlSettings>>,
    interfaces: Interfaces,
) -> Result<(), ControlError> {
    let stop = stop_requested().map_err(ControlError::Signals)?;
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
    let checks = Rc::new(OrderChecks {
        zones: ConfiguredZones::new(&settings.zone_regions),
        limit: ExposureLimit {
            share: PartsPerMillion(settings.rollout.exposed_ppm),
            slack: settings.rollout.exposed_slack,
        },
    });
    let (cluster, messages) = unbounded::channel();
    let state_machine = cluster_task::state_machine(cluster.clone());
    let log = replication::start(&settings, ReplicationOptions::of(&settings), state_machine)?;
    let (read_directory, directory_requests) = unbounded::channel();
    let (polling, plans) = leaf_polling::channel();
    let replication = ReplicationClient::new(log);
    if let Some(source) = source {
        reload::start(source, &settings, replication.clone())?;
    }
    let waiting = WaitingCalls::start(replication.clone());
    let clock = Clock::start();
    let limits = MemoryLimits::of_interfaces(settings.memory_mb, settings.open_files);
    let memory = ConnectionMemory::new("operators", clock, limits);
    if let (Some(directory), Some(interface)) = (settings.directory.clone(), interfaces.directory) {
        let (replication, cluster) = (replication.clone(), cluster.clone());
        monoio::spawn(directory_polling::run(
            directory,
            interface,
            replication,
            cluster,
            directory_requests,
        ));
    }
    if let (Some(address), Some(interface)) = (settings.routes, interfaces.routes) {
        monoio::spawn(route_operators::serve(
            bind(address)?,
            interface,
            checks.clone(),
            waiting.clone(),
            cluster.clone(),
            memory.clone(),
        ));
    }
    let senders = TaskSenders { polling, read_directory };
    cluster_task::start(identity, replication.clone(), senders, cluster.clone(), messages);
    monoio::spawn(leaf_polling::run(plans, cluster.clone()));
    let limits = MemoryLimits::of_processes(settings.memory_mb, settings.open_files);
    let feeds = ConnectionMemory::new("feeds", clock, limits);
    monoio::spawn(feed::serve(feed, cluster.clone(), feeds));
    monoio::spawn(operators::serve(operators, checks, waiting, cluster, memory));
    stop.await;
    planned_stop::prepare(&replication).await;
    info!(event = "stopped", name = settings.name);
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, ControlError> {
    listen(address).map_err(|error| ControlError::Address(address, error))
}
