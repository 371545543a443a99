//! Serving of routes: requests by host and path to one leaf, or to one leaf of each shard.

mod admission;
mod attempt;
mod attempts;
mod callers;
mod connection_book;
mod crash_watch;
mod dialect;
mod gather;
mod known_leaves;
mod leaf_checks;
mod leaf_registry;
mod pool;
mod readiness;
mod record;
mod respond;
mod route_metrics;
mod running;
mod serving;
mod standby;
mod state;
mod trail;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::identifiers::BrokerRun;
use gingerkeel_settings::{BrokerSettings, RouteSettings, SettingsSource};
use gingerkeel_transport::listen;
use local_sync::mpsc::bounded;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::time::sleep;
use rand::Rng;
use tracing::{info, warn};

pub use dialect::{Dialect, read_load};

use crate::clock::Clock;
use crate::feed::{self, FeedInputs, FoundCrash, LastReport, RouteUpdate, SlowLeaves};
use crate::reload;
use crate::signals;
use crate::stop::StopSignal;
use callers::CallerServer;
use state::RouteState;

/// Time between two looks at idle connections.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reports of slow leaves: what they tell is of use for some seconds.
const SLOW_LEAVES_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at whether a planned stop is done.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Serves routes, and nothing else, until a planned stop has finished what was in flight. The
/// settings are read again from `source` when it changes.
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
    let requested = signals::stop_requested()?;
    let (stop, clock) = (StopSignal::new(), Clock::start());
    let (slow_leaf_reports, slow_leaves) = feed::slow_leaves();
    let (crash_reports, found_crashes) = unbounded::channel();
    let reports = RouteReports { slow_leaves: slow_leaf_reports, found_crashes: crash_reports };
    let (server, updates) = RouteServer::start(&settings, routes, dialect, clock, &stop, reports)?;
    let (last_report, last_reports) = unbounded::channel();
    let inputs = FeedInputs { last_reports, controls, slow_leaves, found_crashes };
    follow(settings.clone(), clock, last_report, inputs, updates);
    requested.await;
    stop.give();
    server.finish().await;
    info!(event = "stopped", name = settings.name);
    Ok(())
}

/// The ways on which what is seen of leaves goes to control.
pub struct RouteReports {
    /// Leaves that are slow.
    pub slow_leaves: bounded::Tx<SlowLeaves>,
    /// Requests under which leaves have ended.
    pub found_crashes: Tx<FoundCrash>,
}

/// The serving of routes in this process.
pub struct RouteServer {
    state: Rc<RouteState>,
    open: Rc<Cell<usize>>,
}

impl RouteServer {
    /// Listens for callers, who are served once the news of routes and leaves have come over the
    /// channel that is given back. What is seen of leaves goes to `reports`.
    ///
    /// # Errors
    /// An [`io::Error`] when an address cannot be bound.
    pub fn start(
        settings: &BrokerSettings,
        routes: RouteSettings,
        dialect: Dialect,
        clock: Clock,
        stop: &StopSignal,
        reports: RouteReports,
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
            reports.found_crashes,
        ));
        if let Some(listener) = readiness {
            monoio::spawn(readiness::serve(listener, state.clone()));
        }
        if let Some(listener) = metrics {
            monoio::spawn(route_metrics::serve(listener, state.clone()));
        }
        let server = CallerServer::new(state.clone(), stop.clone());
        let open = server.open_connections();
        monoio::spawn(server.run(listener));
        monoio::spawn(keep_up(state.clone()));
        monoio::spawn(standby::keep_ready(state.clone()));
        monoio::spawn(leaf_checks::run(state.clone()));
        monoio::spawn(report_slow_leaves(state.clone(), reports.slow_leaves));
        let (updates, received) = unbounded::channel();
        monoio::spawn(apply_updates(received, state.clone()));
        Ok((Self { state, open }, updates))
    }

    /// A planned stop has begun: waits until no connection is open and none can come any more, or
    /// the time is over.
    pub async fn finish(self) {
        info!(event = "stopping", open = self.open.get());
        let (clock, stop) = (self.state.clock, self.state.stop());
        while clock.now() < stop.ends_by() {
            if clock.now() >= stop.callers_until() && self.open.get() == 0 {
                return;
            }
            sleep(STOP_POLL).await;
        }
        // What was read from them has its answer.
        warn!(event = "stopped_with_open_connections", open = self.open.get());
    }
}

/// Follows the control processes for ever.
fn follow(
    settings: BrokerSettings,
    clock: Clock,
    last_report: Tx<LastReport>,
    inputs: FeedInputs,
    updates: Tx<RouteUpdate>,
) {
    let run = BrokerRun(rand::rng().random());
    let (engine, mut messages) = unbounded::channel();
    // Without queries there is nothing to charge for and nothing to report.
    monoio::spawn(async move { while messages.recv().await.is_some() {} });
    monoio::spawn(async move {
        // Kept so that the feed does not take it for the end of the process.
        let _last_report = last_report;
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
                state.metrics.warned(warnings.len());
                state.leaves.warn(&warnings);
            }
            RouteUpdate::CrashFindings(findings) => state.crashes.told(&findings, || state.draw()),
            RouteUpdate::Evacuated(zones) => state.evacuate(zones),
            RouteUpdate::Brokers(brokers) => state.leaves.set_brokers(brokers),
        }
        state.note_known();
    }
}

/// Reports the leaves that were slow, for as long as somebody takes the reports.
async fn report_slow_leaves(state: Rc<RouteState>, reports: bounded::Tx<SlowLeaves>) {
    loop {
        sleep(SLOW_LEAVES_INTERVAL).await;
        let observations = state.leaves.take_slow();
        if observations.is_empty() {
            continue;
        }
        state.metrics.reported(observations.len());
        let report = SlowLeaves { at: state.clock.now(), observations };
        if reports.send(report).await.is_err() {
            return;
        }
    }
}

async fn keep_up(state: Rc<RouteState>) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        state.leaves.close_expired();
        state.crashes.look_at_routes();
    }
}
