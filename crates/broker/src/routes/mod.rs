//! Route serving: forwards requests by host and path to one leaf, or to one leaf of each shard.

mod admission;
mod attempt;
mod attempts;
mod authentication;
mod callers;
mod cold_shares;
mod connection_book;
mod connection_metrics;
mod crash_watch;
mod dialect;
mod extra_load;
mod gather;
mod known_leaves;
mod leaf_checks;
mod leaf_registry;
mod pool;
mod quota;
mod readiness;
mod record;
mod respond;
mod rollouts;
mod route_metrics;
mod running;
mod serving;
mod standby;
mod state;
mod tenant_metrics;
mod trail;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::identifiers::BrokerRun;
use gingerkeel_domain::memory::MemoryLimits;
use gingerkeel_domain::rollout::RolloutReport;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_settings::{BrokerSettings, RouteSettings, SettingsSource};
use gingerkeel_transport::{Clock, ConnectionMemory, Latch, listen};
use local_sync::mpsc::bounded;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::task::JoinHandle;
use monoio::time::sleep;
use rand::Rng;
use tracing::{info, warn};

pub use crash_watch::request_digest;
pub use dialect::{Dialect, parse_load_report};

use crate::feed::{self, FeedInputs, RouteUpdate};
use crate::reload;
use crate::route_reports::{self, LinkUsage, RouteReporters, RouteReports, SlowLeaves};
use callers::CallerServer;
use state::RouteState;

/// Interval of closing expired connections and updating canary routes.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of reporting slow leaves; a report is useful for a few seconds.
const SLOW_LEAVES_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of usage reports. A killed broker loses the usage not yet reported, and the brokers
/// together may once exceed a quota by what they admit within one interval.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of roll-out reports; a bad version keeps getting requests until it is reported.
const ROLLOUTS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of reports of refused requests that are not recorded yet.
const UNRECORDED_CRASHES_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of checking whether a planned stop is complete.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Serves only routes, until a planned stop has finished the requests in flight. The settings are
/// reloaded from `source` when it changes.
///
/// # Errors
/// An [`io::Error`] when an address cannot be bound or signals cannot be watched.
pub async fn run(
    settings: BrokerSettings,
    routes: RouteSettings,
    dialect: Dialect,
    source: SettingsSource<BrokerSettings>,
) -> io::Result<()> {
    let controls = reload::start(source, &settings)?;
    let requested = gingerkeel_transport::stop_requested()?;
    let (stop, clock) = (Latch::new(), Clock::start());
    let (reporters, reports) = route_reports::channels();
    let memory = ConnectionMemory::new(
        "callers",
        clock,
        MemoryLimits::of_process(settings.memory_mb, settings.open_files),
    );
    let (server, updates) =
        RouteServer::start(&settings, routes, dialect, clock, &stop, memory, reporters)?;
    follow(settings.clone(), clock, controls, reports, updates);
    requested.await;
    stop.set();
    server.finish().await;
    info!(event = "stopped", name = settings.name);
    Ok(())
}

/// Route serving of this process.
pub struct RouteServer {
    state: Rc<RouteState>,
    open: Rc<Cell<usize>>,
    /// Set when the listener for callers is to be closed.
    closing: Latch,
    /// Ends once that listener is closed.
    accepting: JoinHandle<()>,
}

impl RouteServer {
    /// Listens for callers. They are served once routes and leaves have arrived on the returned
    /// channel. Reports to control go to `reporters`.
    ///
    /// # Errors
    /// An [`io::Error`] when an address cannot be bound.
    pub fn start(
        settings: &BrokerSettings,
        routes: RouteSettings,
        dialect: Dialect,
        clock: Clock,
        stop: &Latch,
        memory: ConnectionMemory,
        reporters: RouteReporters,
    ) -> io::Result<(Self, Tx<RouteUpdate>)> {
        let listener = listen(routes.listen)?;
        let readiness = routes.readiness.map(listen).transpose()?;
        let metrics = routes.metrics.map(listen).transpose()?;
        let address = listener.local_addr()?;
        match &readiness {
            Some(readiness) => {
                let readiness = readiness.local_addr()?;
                info!(event = "routes_started", name = settings.name, routes = %address, %readiness);
            }
            None => info!(event = "routes_started", name = settings.name, routes = %address),
        }
        let state = Rc::new(RouteState::new(
            settings.clone(),
            routes,
            dialect,
            clock,
            memory.clone(),
            reporters.crash_reports,
        ));
        if let Some(listener) = readiness {
            monoio::spawn(readiness::serve(listener, state.clone()));
        }
        if let Some(listener) = metrics {
            monoio::spawn(route_metrics::serve(listener, state.clone()));
        }
        let server = CallerServer::new(state.clone(), stop.clone(), memory);
        let open = server.open_connections();
        let closing = Latch::new();
        let accepting = monoio::spawn(server.run(listener, closing.clone()));
        monoio::spawn(run_upkeep(state.clone()));
        monoio::spawn(standby::maintain(state.clone()));
        monoio::spawn(leaf_checks::run(state.clone()));
        monoio::spawn(report_slow_leaves(state.clone(), reporters.slow_leaves));
        monoio::spawn(report_usage(state.clone(), reporters.usage));
        monoio::spawn(report_rollouts(state.clone(), reporters.rollouts));
        monoio::spawn(report_unrecorded_crashes(state.clone()));
        let (updates, received) = unbounded::channel();
        monoio::spawn(apply_updates(received, state.clone()));
        Ok((Self { state, open, closing, accepting }, updates))
    }

    /// Begins a planned stop. Accepts connections until none is open and no new ones are expected,
    /// then closes the listener and waits until the last connections are closed, or until the stop
    /// times out.
    pub async fn finish(self) {
        let Self { state, open, closing, accepting } = self;
        let (clock, stop) = (state.clock, state.stop());
        info!(event = "stopping", open = open.get());
        sleep(clock.until(stop.callers_until())).await;
        wait_until_idle(clock, &open, stop.answers_by()).await;
        // The end of the process would cut connections that are accepted later.
        closing.set();
        accepting.await;
        info!(event = "listener_closed", listener = "routes", open = open.get());
        wait_until_idle(clock, &open, stop.ends_by()).await;
        if open.get() > 0 {
            // Requests read from these connections have been answered.
            warn!(event = "stopped_with_open_connections", open = open.get());
        }
    }
}

/// Waits until no connection is open, at most until `end`.
async fn wait_until_idle(clock: Clock, open: &Cell<usize>, end: Timestamp) {
    while open.get() > 0 && clock.now() < end {
        sleep(STOP_POLL).await;
    }
}

/// Starts the feed from the control processes.
fn follow(
    settings: BrokerSettings,
    clock: Clock,
    controls: Rx<Vec<SocketAddr>>,
    route_reports: RouteReports,
    updates: Tx<RouteUpdate>,
) {
    let run = BrokerRun(rand::rng().random());
    let (engine, mut messages) = unbounded::channel();
    // A broker without queries discards the messages for the query engine.
    monoio::spawn(async move { while messages.recv().await.is_some() {} });
    let (last_report, last_reports) = unbounded::channel();
    monoio::spawn(async move {
        // Kept open: the feed would take a closed channel for the end of the process.
        let _last_report = last_report;
        let inputs = FeedInputs { last_reports, controls, route_reports };
        feed::follow(settings, run, clock, engine, inputs, Some(updates)).await;
    });
}

async fn apply_updates(mut updates: Rx<RouteUpdate>, state: Rc<RouteState>) {
    while let Some(update) = updates.recv().await {
        match update {
            RouteUpdate::Routes(configuration) => state.replace_routes(configuration),
            RouteUpdate::WholeDirectory(directory) => state.leaves.replace_directory(directory),
            RouteUpdate::DirectoryChange(delta) => state.leaves.change_directory(&delta),
            RouteUpdate::FreshUntil(until) => state.set_fresh_until(until),
            RouteUpdate::LeafWarnings(warnings) => {
                state.metrics.leaf_warnings_received(warnings.len());
                state.leaves.apply_warnings(&warnings);
            }
            RouteUpdate::CrashFindings(findings) => state.crashes.apply_peer_findings(&findings),
            RouteUpdate::RefusedRequests { findings, is_whole } => {
                state.crashes.apply_recorded_findings(&findings, is_whole)
            }
            RouteUpdate::Trial { ticket, granted } => state.crashes.trial_answered(ticket, granted),
            RouteUpdate::Evacuated(zones) => state.set_evacuated_zones(zones),
            RouteUpdate::Rollouts(rollouts) => state.apply_rollouts(rollouts),
            RouteUpdate::Brokers(brokers) => {
                state.quotas.set_brokers(brokers.len());
                state.leaves.set_brokers(brokers);
            }
            RouteUpdate::LinkUp(link) => {
                state.quotas.link_up(link);
                state.crashes.link_up();
            }
            RouteUpdate::LinkDown => {
                state.quotas.link_down();
                state.crashes.link_down();
            }
            RouteUpdate::Usage(usage) => state.quotas.apply_fleet_usage(&usage),
        }
        state.signal_if_ready();
    }
}

/// Reports slow leaves until the receiver is dropped.
async fn report_slow_leaves(state: Rc<RouteState>, reports: bounded::Tx<SlowLeaves>) {
    loop {
        sleep(SLOW_LEAVES_INTERVAL).await;
        let observations = state.leaves.take_observations();
        if observations.is_empty() {
            continue;
        }
        state.metrics.slow_leaves_reported(observations.len());
        let report = SlowLeaves { at: state.clock.now(), observations };
        if reports.send(report).await.is_err() {
            return;
        }
    }
}

/// Reports the quota usage of tenants until the receiver is dropped.
async fn report_usage(state: Rc<RouteState>, reports: bounded::Tx<LinkUsage>) {
    loop {
        sleep(USAGE_INTERVAL).await;
        state.quotas.log_relieved_tenants();
        if let Some(report) = state.quotas.report()
            && reports.send(report).await.is_err()
        {
            return;
        }
    }
}

/// Reports the evidence of roll-outs until the receiver is dropped.
async fn report_rollouts(state: Rc<RouteState>, reports: bounded::Tx<Vec<RolloutReport>>) {
    loop {
        sleep(ROLLOUTS_INTERVAL).await;
        let rollout_reports = state.rollouts.take_reports();
        if !rollout_reports.is_empty() && reports.send(rollout_reports).await.is_err() {
            return;
        }
    }
}

/// Reports unrecorded refusals of crashing requests; never returns.
async fn report_unrecorded_crashes(state: Rc<RouteState>) {
    loop {
        sleep(UNRECORDED_CRASHES_INTERVAL).await;
        state.crashes.report_unrecorded();
    }
}

async fn run_upkeep(state: Rc<RouteState>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        state.leaves.close_expired();
        state.crashes.refresh_canary_routes();
    }
}
