//! The metrics endpoint, and the descriptors that the process opens.

mod support;

use std::fs;

use support::broker::Broker;
use support::caller::{Caller, Query};
use support::control::catalog;
use support::leaf::{LeafAction, ScriptedLeaf, response};

#[test]
fn metrics_count_queries_by_class_and_outcome_and_requests_to_leaves() {
    let honest = ScriptedLeaf::honest("right");
    let failing = ScriptedLeaf::scripted(|request| {
        LeafAction::Send(response(500, &request.reply_headers(), b""))
    });
    let catalog = catalog(&[&[honest.address], &[failing.address]]);
    let broker = Broker::start(&catalog);
    for _ in 0..2 {
        broker.caller().ask(&Query::new("whole"));
    }
    broker.caller().ask(&Query::new("urgent").once());
    broker.caller().ask(&Query::new("no-such-class"));
    let metrics = broker.metrics();
    let expected = [
        "gingerkeel_broker_queries_total{service=\"tickets\",class=\"whole\",outcome=\"answered_partly\"} 2",
        "gingerkeel_broker_queries_total{service=\"tickets\",class=\"urgent\",outcome=\"outcome_unknown\"} 1",
        "gingerkeel_broker_queries_total{service=\"unknown\",class=\"unknown\",outcome=\"not_run\"} 1",
        "gingerkeel_broker_query_seconds_count{service=\"tickets\",class=\"whole\"} 2",
        // Three queries to two shards each; two retries of the failing shard per repeatable query.
        "gingerkeel_broker_leaf_requests_total{kind=\"primary\"} 6",
        "gingerkeel_broker_leaf_requests_total{kind=\"retry\"} 4",
        "gingerkeel_broker_queries_in_flight 0",
        "gingerkeel_broker_queries_waiting{service=\"tickets\",priority=\"0\"} 0",
        "gingerkeel_broker_ejections_total 0",
        "# EOF",
    ];
    for line in expected {
        assert!(metrics.lines().any(|found| found == line), "no line {line} in\n{metrics}");
    }
    let revision = format!("gingerkeel_broker_configuration_revision {}", catalog.revision());
    assert!(metrics.lines().any(|found| found == revision), "no {revision} in\n{metrics}");
}

#[test]
fn other_paths_and_methods_are_refused() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut caller = Caller::connect(broker.metrics);
    caller.send(b"GET /other HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!(caller.receive().expect("an answer").status, 404);
    caller.send(b"POST /metrics HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(caller.receive().expect("an answer").status, 405);
}

#[test]
fn a_running_broker_polls_sockets_with_epoll_and_holds_no_io_uring() {
    let leaf = ScriptedLeaf::honest("right");
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    assert_eq!(broker.caller().ask(&Query::new("whole")).outcome(), "answered");
    let folder = fs::read_dir(format!("/proc/{}/fd", broker.id())).expect("descriptors are listed");
    // A descriptor may be closed between listing and reading it.
    let targets: Vec<String> = folder
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(targets.iter().any(|target| target.contains("eventpoll")), "{targets:?}");
    assert!(!targets.iter().any(|target| target.contains("io_uring")), "{targets:?}");
}
