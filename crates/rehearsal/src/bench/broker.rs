//! One broker under steps of load against stand-in leaves.

use std::path::Path;
use std::time::{Duration, Instant};

use gumdrop::Options;
use serde::Serialize;

use super::served::{Quantiles, Served};
use super::{memory, print};
use crate::error::RehearsalError;
use crate::fleet::{
    AnswerTopology, ClassTopology, Fleet, PolicyTopology, ServiceTopology, Topology, ZoneTopology,
    end_processes_on_interrupt,
};
use crate::load::LoadRun;

/// Steps of load at most.
const MAXIMUM_STEPS: usize = 12;
/// Highest rate of a step, in queries per second.
const MAXIMUM_RATE: f64 = 3000.0;
/// Shortest and longest step, in seconds.
const SECONDS: std::ops::RangeInclusive<f64> = 1.0..=30.0;
/// Largest number of shards.
const MAXIMUM_FAN_OUT: u32 = 200;
/// Load before the first step, which opens connections and fills latency windows.
const WARM_UP_SECONDS: f64 = 2.0;
/// Replicas of each shard.
const REPLICAS: u32 = 2;
/// Processes that share the stand-in leaves.
const LEAF_PROCESSES: usize = 4;

/// Flags of the measurement of one broker.
#[derive(Debug, Options)]
pub struct BrokerFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "queries per second of each step",
        default = "50,100,200,300,400",
        meta = "RATES"
    )]
    rates: String,
    #[options(help = "seconds of each step", default = "6", meta = "SECONDS")]
    seconds: f64,
    #[options(help = "shards that each query is sent to", default = "53", meta = "SHARDS")]
    fan_out: u32,
    #[options(help = "median service time of a leaf", default = "5", meta = "MS")]
    service_ms: f64,
    #[options(help = "leave out the measurement of memory", no_short)]
    skip_memory: bool,
}

/// What one step of load gave.
#[derive(Debug, Serialize)]
struct StepReport {
    kind: &'static str,
    fan_out: u32,
    rate: f64,
    seconds: f64,
    offered: u64,
    answered: u64,
    coverage_mean: f64,
    queries_per_second: f64,
    leaf_requests_per_second: f64,
    extra_load: f64,
    cpu_seconds: f64,
    core_share: f64,
    cpu_microseconds_per_leaf_request: f64,
    leaf_requests_per_core_second: f64,
    resident_bytes: u64,
    descriptors: usize,
    latency_ms: Quantiles,
    added_latency_ms: Quantiles,
}

/// Runs the steps, then measures memory.
///
/// # Errors
/// A [`RehearsalError`] when a flag is wrong or the fleet cannot be run.
pub fn run(flags: &BrokerFlags) -> Result<(), RehearsalError> {
    let rates = rates(flags)?;
    check_bounds(flags)?;
    end_processes_on_interrupt()?;
    let scratch = tempfile::Builder::new()
        .prefix("gingerkeel-bench-")
        .tempdir()
        .map_err(|error| RehearsalError::resource("temporary folder", error))?;
    let topology = topology(flags.fan_out, flags.service_ms);
    load_in_steps(&topology, flags, &rates, scratch.path())?;
    if flags.skip_memory {
        return Ok(());
    }
    memory::run(&topology, &subfolder(scratch.path(), "memory")?)
}

fn rates(flags: &BrokerFlags) -> Result<Vec<f64>, RehearsalError> {
    let wrong = || {
        RehearsalError::Flag(format!(
            "--rates: use 1 to {MAXIMUM_STEPS} numbers above 0, at most {MAXIMUM_RATE}, as 50,100"
        ))
    };
    let rates: Vec<f64> = flags
        .rates
        .split(',')
        .map(|rate| rate.trim().parse::<f64>())
        .collect::<Result<_, _>>()
        .map_err(|_| wrong())?;
    let accepted = rates.iter().all(|rate| *rate > 0.0 && *rate <= MAXIMUM_RATE);
    if rates.len() > MAXIMUM_STEPS || !accepted {
        return Err(wrong());
    }
    Ok(rates)
}

fn check_bounds(flags: &BrokerFlags) -> Result<(), RehearsalError> {
    let flag = |text: &str| Err(RehearsalError::Flag(text.to_owned()));
    if !SECONDS.contains(&flags.seconds) {
        return flag("--seconds: use a number from 1 to 30");
    }
    if !(1..=MAXIMUM_FAN_OUT).contains(&flags.fan_out) {
        return flag("--fan-out: use a number from 1 to 200");
    }
    if !(0.1..=1000.0).contains(&flags.service_ms) {
        return flag("--service-ms: use milliseconds from 0.1 to 1000");
    }
    Ok(())
}

/// One broker, one class that waits for every shard, and stand-in leaves with room to spare.
fn topology(fan_out: u32, service_ms: f64) -> Topology {
    let class = ClassTopology {
        name: "measured".into(),
        queue: 4096,
        price: 1,
        deadline_ms: 3000,
        answer: AnswerTopology::Full,
        rate: 1.0,
        not_repeatable_share: 0.0,
        obedient_share: 0.0,
    };
    let service = ServiceTopology {
        name: "bench".into(),
        brokers: 1,
        leaves: fan_out * REPLICAS,
        shards: fan_out,
        replicas: REPLICAS,
        slots: 64,
        connections: 256,
        service_ms,
        concurrency: 4096,
        classes: vec![class],
    };
    Topology {
        controls: 1,
        voters: None,
        relay_peers: false,
        zones: vec![ZoneTopology { name: "zone".into(), region: "region".into() }],
        leaf_processes: LEAF_PROCESSES,
        zone_delay_ms: 0.0,
        region_delay_ms: 0.0,
        client_delay_ms: 0.0,
        journal: false,
        policy: PolicyTopology::Standard,
        connections_per_leaf: None,
        seed: 1,
        listed: None,
        services: vec![service],
    }
}

fn load_in_steps(
    topology: &Topology,
    flags: &BrokerFlags,
    rates: &[f64],
    folder: &Path,
) -> Result<(), RehearsalError> {
    let mut fleet = Fleet::launch(topology, &subfolder(folder, "fleet")?)?;
    load(&mut fleet, rates[0], WARM_UP_SECONDS, &subfolder(folder, "warm-up")?)?;
    for (number, rate) in rates.iter().enumerate() {
        let step = subfolder(folder, &format!("step-{number}"))?;
        let report = measure(&mut fleet, flags, *rate, &step)?;
        print(&report);
    }
    fleet.check_running()?;
    fleet.stop();
    Ok(())
}

fn measure(
    fleet: &mut Fleet,
    flags: &BrokerFlags,
    rate: f64,
    folder: &Path,
) -> Result<StepReport, RehearsalError> {
    let before = fleet.broker_usage(0)?;
    let started_before = fleet.leaf_requests_started()?;
    let start = Instant::now();
    load(fleet, rate, flags.seconds, folder)?;
    let seconds = start.elapsed().as_secs_f64();
    let after = fleet.broker_usage(0)?;
    let leaf_requests = (fleet.leaf_requests_started()? - started_before) as f64;
    let served = Served::read(folder)?;
    let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
    let needed = (served.answered * u64::from(flags.fan_out)) as f64;
    Ok(StepReport {
        kind: "load",
        fan_out: flags.fan_out,
        rate,
        seconds,
        offered: served.offered,
        answered: served.answered,
        coverage_mean: served.coverage_mean,
        queries_per_second: served.answered as f64 / seconds,
        leaf_requests_per_second: leaf_requests / seconds,
        extra_load: leaf_requests / needed.max(1.0) - 1.0,
        cpu_seconds,
        core_share: cpu_seconds / seconds,
        cpu_microseconds_per_leaf_request: cpu_seconds * 1e6 / leaf_requests.max(1.0),
        leaf_requests_per_core_second: leaf_requests / cpu_seconds.max(1e-9),
        resident_bytes: after.resident_bytes,
        descriptors: after.descriptors,
        latency_ms: Quantiles::of(&served.latency),
        added_latency_ms: Quantiles::of(&served.added),
    })
}

/// Puts load on the fleet and waits until every query has ended.
pub fn load(
    fleet: &mut Fleet,
    rate: f64,
    seconds: f64,
    folder: &Path,
) -> Result<(), RehearsalError> {
    let mut plan = fleet.load_plan(seconds, 1);
    let classes = plan.services.iter_mut().flat_map(|service| &mut service.classes);
    classes.for_each(|class| class.rate = rate);
    LoadRun::start(&plan, folder)?.join();
    // The broker closes the books of the last queries.
    std::thread::sleep(Duration::from_millis(50));
    Ok(())
}

/// A folder below another one.
pub fn subfolder(folder: &Path, name: &str) -> Result<std::path::PathBuf, RehearsalError> {
    let path = folder.join(name);
    std::fs::create_dir_all(&path)
        .map_err(|error| RehearsalError::resource(path.display(), error))?;
    Ok(path)
}
