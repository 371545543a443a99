//! What connections and queries in flight hold in one broker.

use std::net::TcpStream;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde::Serialize;

use super::broker::{load, subfolder};
use super::print;
use crate::check::Evidence;
use crate::clock;
use crate::error::RehearsalError;
use crate::fit::Line;
use crate::fleet::{Fleet, Topology};
use crate::leaf::AdminCommand;
use crate::load::LoadRun;

/// Idle connections of callers at each point.
const CALLER_CONNECTIONS: [usize; 5] = [0, 250, 500, 1000, 2000];
/// Queries at once that make the broker open connections to leaves.
const OPENING_BURSTS: [u64; 5] = [1, 4, 8, 12, 16];
/// Queries in flight at each point.
const QUERIES_IN_FLIGHT: [u64; 4] = [50, 100, 200, 400];
/// How much slower leaves run, so that queries stay in flight.
const SLOW_FACTOR: f64 = 300.0;
/// Time over which the queries of a burst are sent.
const BURST_SECONDS: f64 = 0.2;
/// Time after the start of a burst at which memory is read: all were sent, none was answered.
const READ_AFTER: Duration = Duration::from_millis(700);
/// Time that the broker has to take new connections.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Memory at one point.
#[derive(Debug, Serialize)]
struct MemoryPoint {
    kind: &'static str,
    count: usize,
    resident_bytes: u64,
    descriptors: usize,
}

/// Memory that one more of a kind takes.
#[derive(Debug, Serialize)]
struct MemoryFit {
    kind: &'static str,
    of: &'static str,
    bytes_each: f64,
    line: Line,
}

/// Measures a fresh broker for each kind, so that none reuses what another one freed.
///
/// # Errors
/// A [`RehearsalError`] when the fleet cannot be run.
pub fn run(topology: &Topology, folder: &Path) -> Result<(), RehearsalError> {
    measure(topology, folder, "caller_connections", caller_connections)?;
    measure(topology, folder, "leaf_connections", leaf_connections)?;
    measure(topology, folder, "queries_in_flight", queries_in_flight)
}

fn measure(
    topology: &Topology,
    folder: &Path,
    kind: &'static str,
    points: impl FnOnce(&mut Fleet, &Path) -> Result<Vec<MemoryPoint>, RehearsalError>,
) -> Result<(), RehearsalError> {
    let folder = subfolder(folder, kind)?;
    let mut fleet = Fleet::launch(topology, &subfolder(&folder, "fleet")?)?;
    let points = points(&mut fleet, &folder)?;
    fleet.check_running()?;
    fleet.stop();
    fit(kind, &points);
    Ok(())
}

fn fit(of: &'static str, points: &[MemoryPoint]) {
    points.iter().for_each(print);
    let coordinates: Vec<(f64, f64)> =
        points.iter().map(|point| (point.count as f64, point.resident_bytes as f64)).collect();
    if let Some(line) = Line::through(&coordinates) {
        print(&MemoryFit { kind: "memory_fit", of, bytes_each: line.slope, line });
    }
}

fn point(fleet: &Fleet, kind: &'static str, count: usize) -> Result<MemoryPoint, RehearsalError> {
    let usage = fleet.broker_usage(0)?;
    let (resident_bytes, descriptors) = (usage.resident_bytes, usage.descriptors);
    Ok(MemoryPoint { kind, count, resident_bytes, descriptors })
}

fn caller_connections(fleet: &mut Fleet, _: &Path) -> Result<Vec<MemoryPoint>, RehearsalError> {
    let address = fleet.brokers()[0].address;
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in CALLER_CONNECTIONS {
        while open.len() < count {
            let connection = TcpStream::connect(address)
                .map_err(|error| RehearsalError::resource(address, error))?;
            open.push(connection);
        }
        sleep(SETTLE_TIME);
        points.push(point(fleet, "caller_connections", count)?);
    }
    Ok(points)
}

/// Connections to leaves that stay open after bursts of queries; what a query held and the
/// allocator kept counts too, so that a connection's share is an upper bound.
fn leaf_connections(fleet: &mut Fleet, folder: &Path) -> Result<Vec<MemoryPoint>, RehearsalError> {
    sleep(SETTLE_TIME);
    let without = fleet.broker_usage(0)?.descriptors;
    let mut points = Vec::new();
    for burst in OPENING_BURSTS {
        let folder = subfolder(folder, &format!("opening-{burst}"))?;
        load(fleet, burst as f64 / BURST_SECONDS, BURST_SECONDS, &folder)?;
        sleep(SETTLE_TIME);
        let descriptors = fleet.broker_usage(0)?.descriptors;
        points.push(point(fleet, "leaf_connections", descriptors.saturating_sub(without))?);
    }
    Ok(points)
}

fn queries_in_flight(fleet: &mut Fleet, folder: &Path) -> Result<Vec<MemoryPoint>, RehearsalError> {
    let slow = AdminCommand { slow_factor: Some(SLOW_FACTOR), ..AdminCommand::default() };
    for process in 0..fleet.leaf_processes().len() {
        fleet.administer_leaves(process, &slow)?;
    }
    let mut points = Vec::new();
    for burst in QUERIES_IN_FLIGHT {
        points.push(one_burst(fleet, burst, &subfolder(folder, &format!("in-flight-{burst}"))?)?);
    }
    Ok(points)
}

fn one_burst(fleet: &Fleet, burst: u64, folder: &Path) -> Result<MemoryPoint, RehearsalError> {
    let mut plan = fleet.load_plan(BURST_SECONDS, burst);
    let classes = plan.services.iter_mut().flat_map(|service| &mut service.classes);
    classes.for_each(|class| class.rate = burst as f64 / BURST_SECONDS);
    let run = LoadRun::start(&plan, folder)?;
    sleep(READ_AFTER);
    let read_at = clock::now();
    let mut point = point(fleet, "queries_in_flight", 0)?;
    run.join();
    let records = Evidence::read(folder)?.callers;
    let in_flight = records
        .iter()
        .filter(|record| record.sent.is_some_and(|sent| sent <= read_at) && record.ended > read_at);
    point.count = in_flight.count();
    Ok(point)
}
