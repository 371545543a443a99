//! The broker: admits callers' queries, scatters them to leaves and gathers the replies.

mod callers;
mod control_dial;
mod engine;
mod feed;
mod known_controls;
mod leaves;
mod metrics;
mod reload;
mod route_reports;
pub mod routes;

use std::io;
use std::time::Duration;

use gingerkeel_domain::feed::ChargeTotals;
use gingerkeel_domain::identifiers::BrokerRun;
use gingerkeel_domain::memory::MemoryLimits;
use gingerkeel_settings::{BrokerSettings, SettingsSource};
use gingerkeel_transport::{Clock, ConnectionMemory, Latch, listen};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::timeout;
use rand::Rng;
use tracing::{info, warn};

use crate::callers::CallerServer;
use crate::engine::{Engine, EngineMessage};
use crate::feed::{FeedInputs, LastReport};
use crate::routes::{Dialect, RouteServer};

/// How long a planned stop waits until the last charges are recorded.
const LAST_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers until a planned stop has drained the queries in flight. The settings are reloaded
/// from `source` when the file changes.
///
/// # Errors
/// An [`io::Error`] if an address cannot be bound or a signal handler cannot be registered.
pub async fn run(
    settings: BrokerSettings,
    source: SettingsSource<BrokerSettings>,
) -> io::Result<()> {
    let controls = reload::start(source, &settings)?;
    let listener = listen(settings.listen)?;
    let metrics_listener = settings.metrics.map(listen).transpose()?;
    let (engine, messages) = local_sync::mpsc::unbounded::channel();
    let stop = Latch::new();
    spawn_signal_watch(stop.clone(), engine.clone())?;
    let address = listener.local_addr()?;
    match &metrics_listener {
        Some(metrics) => {
            let metrics = metrics.local_addr()?;
            info!(event = "started", name = settings.name, listen = %address, %metrics);
        }
        None => info!(event = "started", name = settings.name, listen = %address),
    }
    let clock = Clock::start();
    let limits = MemoryLimits::of_process(settings.memory_mb, settings.open_files);
    let memory = ConnectionMemory::new("callers", clock, limits);
    let server = CallerServer::new(engine.clone(), stop.clone(), memory.clone(), &settings);
    let closing = Latch::new();
    let callers = monoio::spawn(server.run(listener, closing.clone()));
    if let Some(listener) = metrics_listener {
        monoio::spawn(metrics::serve(listener, clock, engine.clone()));
    }
    let (reporters, route_reports) = route_reports::channels();
    let (routes, updates) = match settings.routes.clone() {
        Some(routes) => {
            let dialect = Dialect::default();
            let started = RouteServer::start(
                &settings,
                routes,
                dialect,
                clock,
                &stop,
                memory.clone(),
                reporters,
            )?;
            (Some(started.0), Some(started.1))
        }
        None => (None, None),
    };
    let run = BrokerRun(rand::rng().random());
    let (last_report, last_reports) = local_sync::mpsc::unbounded::channel();
    let inputs = FeedInputs { last_reports, controls, route_reports };
    let feed = feed::follow(settings.clone(), run, clock, engine.clone(), inputs, updates);
    monoio::spawn(feed);
    let totals = Engine::new(&settings, run, clock, engine).run(messages).await;
    if let Some(routes) = routes {
        routes.finish().await;
    }
    report_last(totals, &last_report).await;
    // Callers are told of the stop until now; the end of the process would cut later connections.
    closing.set();
    callers.await;
    info!(event = "stopped", name = settings.name);
    Ok(())
}

/// Waits until the last charges are recorded, at most [`LAST_REPORT_TIMEOUT`].
async fn report_last(totals: ChargeTotals, feed: &Tx<LastReport>) {
    let (recorded, receipt) = oneshot::channel();
    // The feed lives as long as the process.
    let _ = feed.send(LastReport { totals, recorded });
    if timeout(LAST_REPORT_TIMEOUT, receipt).await.is_err() {
        warn!(event = "charges_not_recorded", remedy = "check that a quorum of control is up");
    }
}

fn spawn_signal_watch(stop: Latch, engine: Tx<EngineMessage>) -> io::Result<()> {
    let requested = gingerkeel_transport::stop_requested()?;
    monoio::spawn(async move {
        requested.await;
        stop.set();
        // The engine ends only after this message.
        let _ = engine.send(EngineMessage::Stop);
    });
    Ok(())
}
