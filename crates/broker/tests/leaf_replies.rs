//! Invalid replies of leaves are not merged, and the coverage of the answer shows it.

mod support;

use rstest::rstest;
use support::broker::Broker;
use support::caller::Query;
use support::control::catalog;
use support::leaf::{LeafAction, LeafRequest, ScriptedLeaf, response};

/// A size beyond the broker's limit of replies, in bytes.
const TOO_MANY_BYTES: usize = 2 * 1024 * 1024;

fn cut_short(request: &LeafRequest) -> LeafAction {
    let mut reply = request.reply("a long body");
    reply.truncate(reply.len() - 4);
    LeafAction::SendAndClose(reply)
}

fn cut_in_head(request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(request.reply("body")[..20].to_vec())
}

fn nothing(_request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(Vec::new())
}

fn other_version(request: &LeafRequest) -> LeafAction {
    let headers = request.reply_headers().replace("version: 3", "version: 4");
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn other_epoch(request: &LeafRequest) -> LeafAction {
    let headers = request.reply_headers().replace("epoch: 1", "epoch: 0");
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn other_request(request: &LeafRequest) -> LeafAction {
    let headers = request.reply_headers().replace("request-id: ", "request-id: other-");
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn no_request(request: &LeafRequest) -> LeafAction {
    let headers = request.reply_headers().replace("x-request-id", "x-nothing");
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn no_version(request: &LeafRequest) -> LeafAction {
    let headers = request.reply_headers().replace("x-index-version", "x-nothing");
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn no_text(request: &LeafRequest) -> LeafAction {
    LeafAction::Send(response(200, &request.reply_headers(), &[0xff, 0xfe, 0x00]))
}

fn unknown_refusal(request: &LeafRequest) -> LeafAction {
    let headers = format!("{}x-not-run: whatever\r\n", request.reply_headers());
    LeafAction::Send(response(503, &headers, b""))
}

fn oversized_body(request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(response(200, &request.reply_headers(), &vec![b'x'; TOO_MANY_BYTES]))
}

fn oversized_chunks(request: &LeafRequest) -> LeafAction {
    let mut reply =
        format!("HTTP/1.1 200 X\r\n{}transfer-encoding: chunked\r\n\r\n", request.reply_headers())
            .into_bytes();
    for _ in 0..TOO_MANY_BYTES / 4096 {
        reply.extend_from_slice(b"1000\r\n");
        reply.extend_from_slice(&[b'x'; 4096]);
        reply.extend_from_slice(b"\r\n");
    }
    reply.extend_from_slice(b"0\r\n\r\n");
    LeafAction::SendAndClose(reply)
}

fn oversized_head(request: &LeafRequest) -> LeafAction {
    let padding = format!("x-padding: {}\r\n", "x".repeat(32 * 1024));
    LeafAction::Send(response(200, &format!("{}{padding}", request.reply_headers()), b"wrong"))
}

fn two_lengths(request: &LeafRequest) -> LeafAction {
    let headers = format!("{}content-length: 3\r\n", request.reply_headers());
    LeafAction::Send(response(200, &headers, b"wrong"))
}

fn garbage(_request: &LeafRequest) -> LeafAction {
    LeafAction::SendAndClose(b"\x16\x03\x01 this is not HTTP\r\n\r\n".to_vec())
}

fn leaf_error(request: &LeafRequest) -> LeafAction {
    LeafAction::Send(response(500, &request.reply_headers(), b"wrong"))
}

/// A working leaf holds shard 0 and a faulty leaf shard 1.
#[rstest]
#[case::cut_short(cut_short)]
#[case::cut_in_head(cut_in_head)]
#[case::closed_without_a_byte(nothing)]
#[case::other_version(other_version)]
#[case::other_epoch(other_epoch)]
#[case::other_request(other_request)]
#[case::no_request(no_request)]
#[case::no_version(no_version)]
#[case::no_text(no_text)]
#[case::unknown_refusal(unknown_refusal)]
#[case::oversized_body(oversized_body)]
#[case::oversized_chunks(oversized_chunks)]
#[case::oversized_head(oversized_head)]
#[case::two_lengths(two_lengths)]
#[case::garbage(garbage)]
#[case::leaf_error(leaf_error)]
fn invalid_reply_is_not_merged_and_its_shard_is_reported_missing(
    #[case] reply: fn(&LeafRequest) -> LeafAction,
) {
    let (honest, bad) = (ScriptedLeaf::honest("right"), ScriptedLeaf::scripted(reply));
    let broker = Broker::start(&catalog(&[&[honest.address], &[bad.address]]));
    let mut caller = broker.caller();
    for _ in 0..3 {
        let response = caller.ask(&Query::new("whole"));
        assert_eq!(response.outcome(), "answered", "{}", response.body);
        let answer = response.json();
        assert_eq!(answer["coverage"], 0.5);
        assert_eq!(answer["shards"], 2);
        assert_eq!(answer["snapshot"], "1.3");
        assert_eq!(answer["missing"], serde_json::json!([{ "shard": 1, "reason": "unknown" }]));
        assert_eq!(answer["parts"], serde_json::json!([{ "shard": 0, "body": "right" }]));
    }
}

#[test]
fn duplicate_reply_is_not_used_for_the_next_request() {
    let leaf = ScriptedLeaf::scripted(|request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        LeafAction::Send([request.reply(&body), request.reply(&body)].concat())
    });
    let broker = Broker::start(&catalog(&[&[leaf.address]]));
    let mut caller = broker.caller();
    for number in 0..20 {
        let text = format!("query {number}");
        let response =
            caller.ask(&Query { body: text.clone().into_bytes(), ..Query::new("whole") });
        // The duplicate reply ends the connection, so that an attempt may fail.
        if response.outcome() == "answered" {
            assert_eq!(response.json()["parts"][0]["body"], text);
        }
    }
}

#[test]
fn shard_that_no_leaf_ran_is_reported_as_not_run() {
    let honest = ScriptedLeaf::honest("right");
    let shedding = ScriptedLeaf::scripted(|request| {
        let headers = format!("{}x-not-run: shedding\r\n", request.reply_headers());
        LeafAction::Send(response(503, &headers, b""))
    });
    let broker = Broker::start(&catalog(&[&[honest.address], &[shedding.address]]));
    let answer = broker.caller().ask(&Query::new("whole")).json();
    assert_eq!(answer["missing"], serde_json::json!([{ "shard": 1, "reason": "not_run" }]));
}

#[test]
fn query_that_no_leaf_ran_is_not_run() {
    let shedding = ScriptedLeaf::scripted(|request| {
        let headers = format!("{}x-not-run: shedding\r\n", request.reply_headers());
        LeafAction::Send(response(503, &headers, b""))
    });
    let broker = Broker::start(&catalog(&[&[shedding.address]]));
    let response = broker.caller().ask(&Query::new("whole"));
    assert_eq!((response.status, response.reason().as_str()), (503, "leaves_refused"));
    assert!(response.header("retry-after").is_some());
}

/// A class with partial answers does not wait for the slow shard; a class with full answers does.
#[rstest]
#[case::early("urgent", "answered", 0.5)]
#[case::full("whole", "answered", 1.0)]
fn answer_policy_decides_whether_a_late_shard_is_awaited(
    #[case] class: &str,
    #[case] outcome: &str,
    #[case] coverage: f64,
) {
    let honest = ScriptedLeaf::honest("right");
    let slow = ScriptedLeaf::scripted(|request| {
        std::thread::sleep(std::time::Duration::from_millis(1500));
        LeafAction::Send(request.reply("late"))
    });
    let broker = Broker::start(&catalog(&[&[honest.address], &[slow.address]]));
    let response = broker.caller().ask(&Query::new(class));
    assert_eq!(response.outcome(), outcome);
    assert_eq!(response.json()["coverage"], coverage);
}
