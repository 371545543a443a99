//! CPU time of a broker per part of a gathered answer.
//!
//! Run with `cargo bench -p gingerkeel-broker --bench gather_cost`; prints a JSON document. The
//! scripted leaves run in this process and the broker in a separate one, so that only the broker's
//! CPU time is counted.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::caller::Caller;
use support::leaf::{LeafAction, ScriptedLeaf};
use support::routed::{RoutedBroker, reply, request};

/// Number of shards of the measured route.
const SHARDS: usize = 90;
/// Number of warm-up requests, which open connections and fill the latency windows.
const WARM_UP: usize = 50;
/// Number of measured requests.
const MEASURED: usize = 300;
/// Minimum response time of a leaf, and the maximum addition to it.
const LEAF_TIME: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(30)];
/// Body of a part: 25 records.
const PART: [u8; 400] = [7; 400];
/// Attestation of a leaf.
const ATTESTATION: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

fn main() {
    let leaves: Vec<ScriptedLeaf> = (0..SHARDS).map(leaf).collect();
    let addresses: Vec<_> = leaves.iter().map(|leaf| [leaf.address]).collect();
    let shards: Vec<&[_]> = addresses.iter().map(|address| &address[..]).collect();
    let broker = RoutedBroker::start(&[], &shards);
    let mut caller = broker.caller();
    serve(&mut caller, WARM_UP);
    let before = cpu_time(broker.broker.id());
    let began = Instant::now();
    serve(&mut caller, MEASURED);
    let wall = began.elapsed();
    let used = cpu_time(broker.broker.id()) - before;
    let parts = (SHARDS * MEASURED) as f64;
    println!(
        "{{\"shards\":{SHARDS},\"requests\":{MEASURED},\"processor_us_a_part\":{:.1},\"processor_ms_a_request\":{:.2},\"wall_ms_a_request\":{:.1}}}",
        used.as_secs_f64() * 1e6 / parts,
        used.as_secs_f64() * 1e3 / MEASURED as f64,
        wall.as_secs_f64() * 1e3 / MEASURED as f64
    );
}

/// A leaf whose response time differs from request to request.
fn leaf(number: usize) -> ScriptedLeaf {
    let sequence = std::sync::atomic::AtomicUsize::new(number * 7);
    ScriptedLeaf::for_all(move |request| {
        let sequence = sequence.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let [least, spread] = LEAF_TIME;
        sleep(least + spread.mul_f64((sequence % 89) as f64 / 89.0));
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

/// CPU time of all threads of a process since its start.
fn cpu_time(process: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("the broker runs");
    let nanoseconds = tasks.flatten().map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).expect("the broker runs");
        let first = text.split_whitespace().next().expect("a figure");
        first.parse::<u64>().expect("nanoseconds")
    });
    Duration::from_nanos(nanoseconds.sum())
}
