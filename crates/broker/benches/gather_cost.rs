//! Processor time that a broker takes for each part of an answer that it gathers.
//!
//! `cargo bench -p gingerkeel-broker --bench gather_cost`; prints one JSON document. The leaves are
//! scripted ones of this process; the broker is a process of its own, so that only its time counts.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::caller::Caller;
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{RoutedBroker, reply, request};

/// Shards of the measured route.
const SHARDS: usize = 90;
/// Requests before the measurement, which open connections and fill windows of latencies.
const WARM_UP: usize = 50;
/// Requests that are measured.
const MEASURED: usize = 300;
/// Least time that a leaf takes, and what it may take beyond that.
const LEAF_TIME: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(30)];
/// Bytes of a part: 25 records.
const PART: [u8; 400] = [7; 400];
/// What one leaf attests.
const ATTESTATION: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

fn main() {
    let leaves: Vec<ScriptedLeaf> = (0..SHARDS).map(leaf).collect();
    let addresses: Vec<_> = leaves.iter().map(|leaf| [leaf.address]).collect();
    let shards: Vec<&[_]> = addresses.iter().map(|address| &address[..]).collect();
    let broker = RoutedBroker::start(&[], &shards);
    let mut caller = broker.caller();
    serve(&mut caller, WARM_UP);
    let before = processor_time(broker.broker.id());
    let began = Instant::now();
    serve(&mut caller, MEASURED);
    let wall = began.elapsed();
    let used = processor_time(broker.broker.id()) - before;
    let parts = (SHARDS * MEASURED) as f64;
    println!(
        "{{\"shards\":{SHARDS},\"requests\":{MEASURED},\"processor_us_a_part\":{:.1},\"processor_ms_a_request\":{:.2},\"wall_ms_a_request\":{:.1}}}",
        used.as_secs_f64() * 1e6 / parts,
        used.as_secs_f64() * 1e3 / MEASURED as f64,
        wall.as_secs_f64() * 1e3 / MEASURED as f64
    );
}

/// A leaf that answers after a time that differs from request to request.
fn leaf(number: usize) -> ScriptedLeaf {
    let turn = std::sync::atomic::AtomicUsize::new(number * 7);
    ScriptedLeaf::for_all(move |request| {
        let turn = turn.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let [least, spread] = LEAF_TIME;
        sleep(least + spread.mul_f64((turn % 89) as f64 / 89.0));
        LeafAction::Send(reply(request, ATTESTATION, &PART))
    })
}

fn serve(caller: &mut Caller, requests: usize) {
    for _ in 0..requests {
        caller.send(request("/all/", "5000").as_bytes());
        let answer = caller.receive().expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

/// Processor time of a process since it started, of all its threads.
fn processor_time(process: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("the broker runs");
    let nanoseconds = tasks.flatten().map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).expect("the broker runs");
        let first = text.split_whitespace().next().expect("a figure");
        first.parse::<u64>().expect("nanoseconds")
    });
    Duration::from_nanos(nanoseconds.sum())
}
