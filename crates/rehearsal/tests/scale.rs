//! What a scale run takes from frames and logs.

use std::fs;

use gingerkeel_protocol::{
    Document, FeedMessage, PROTOCOL_VERSION, ShortText, SubscriberMessage, encode_frame,
};
use gingerkeel_rehearsal::scale::accepted::AcceptedTimes;
use gingerkeel_rehearsal::scale::applied::{AppliedLogs, OrderedChange};
use gingerkeel_rehearsal::scale::feed_bytes::{from_broker, to_broker};
use rstest::rstest;

/// First byte of a frame's body.
const KIND: usize = 4;

fn document() -> Document {
    Document::from(vec![1, 2])
}

#[rstest]
#[case::full_catalog(FeedMessage::FullCatalog { catalog: document() }, to_broker::FULL_CATALOG)]
#[case::change(FeedMessage::Change { revision: 9, change: document() }, to_broker::CHANGE)]
#[case::lease(
    FeedMessage::Lease { ticket: 9, revision: 9, duration_milliseconds: 9 },
    to_broker::LEASE
)]
#[case::brokers(FeedMessage::Brokers { delta: document() }, to_broker::BROKERS)]
#[case::leaving(FeedMessage::Leaving { leaves: vec![9] }, to_broker::LEAVING)]
#[case::recorded(FeedMessage::ChargesRecorded { run: 1, sequence: 9 }, to_broker::CHARGES_RECORDED)]
#[case::settled(FeedMessage::RunSettled { run: 1, sequence: 9 }, to_broker::RUN_SETTLED)]
fn kinds_of_frames_to_brokers_are_those_of_the_protocol(
    #[case] message: FeedMessage,
    #[case] kind: u8,
) {
    assert_eq!(encode_frame(&message).expect("a frame")[KIND], kind);
}

fn text(text: &str) -> ShortText {
    ShortText::new(text)
}

#[rstest]
#[case::subscribe(
    SubscriberMessage::Subscribe {
        protocol_version: PROTOCOL_VERSION,
        run: 9,
        revision: 9,
        broker: text("b"),
        region: text("r"),
        zone: text("z"),
    },
    from_broker::SUBSCRIBE
)]
#[case::renew(SubscriberMessage::Renew { ticket: 9, in_force: 9 }, from_broker::RENEW)]
#[case::in_force(SubscriberMessage::InForce { revision: 9 }, from_broker::IN_FORCE)]
#[case::charges(
    SubscriberMessage::Charges { sequence: 9, run: 9, counters: document() },
    from_broker::CHARGES
)]
fn kinds_of_frames_from_brokers_are_those_of_the_protocol(
    #[case] message: SubscriberMessage,
    #[case] kind: u8,
) {
    assert_eq!(encode_frame(&message).expect("a frame")[KIND], kind);
}

#[test]
fn a_change_is_in_force_with_it_or_a_later_one_and_logs_are_read_as_they_grow() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("applied.jsonl");
    let mut logs = AppliedLogs::new(vec![path.clone()]);
    logs.read().expect("no log yet");
    assert_eq!(logs.newest_revision(), 0);
    let first = "{\"at\":1000,\"broker\":0,\"revision\":4}\n{\"at\":2000,\"bro";
    fs::write(&path, first).expect("the log");
    logs.read().expect("a log");
    assert_eq!(logs.newest_revision(), 4);
    let more = "ker\":0,\"revision\":5}\n{\"at\":9000,\"broker\":1,\"revision\":5}\n";
    fs::write(&path, format!("{first}{more}")).expect("the log");
    logs.read().expect("a log");
    assert_eq!((logs.brokers_at(4), logs.brokers_at(5), logs.brokers_at(6)), (2, 2, 0));
    let ordered = [OrderedChange { at: 500, revision: 4 }, OrderedChange { at: 1000, revision: 5 }];
    assert_eq!(logs.brokers_with_every(&ordered), 1, "one got both in one");
    let (all, first) = (logs.in_force(&ordered), logs.in_force(&ordered[..1]));
    assert!((all.p100 - 8.5).abs() < 0.01, "{all:?}");
    assert!((first.p50 - 0.5).abs() < 0.01, "{first:?}");
}

#[test]
fn the_first_log_that_tells_of_a_change_tells_when_it_was_accepted() {
    let mut times = AcceptedTimes::default();
    let line = |at: &str, event: &str| format!("ts={at} level=info event={event} revision=7 x=1");
    times.add(&line("2026-12-02T07:57:52.680806311Z", "change_accepted"));
    times.add(&line("2026-12-02T07:57:52.5Z", "change_accepted"));
    times.add(&line("2026-12-02T07:57:51Z", "other"));
    assert_eq!(times.of(7), Some(1_796_198_272_500_000));
    assert_eq!(times.of(8), None);
}

#[rstest]
#[case::epoch("1970-01-01T00:00:00Z", 0)]
#[case::leap_day("2024-02-29T12:00:00.000001Z", 1_709_208_000_000_001)]
#[case::after_a_leap_day("2024-03-01T00:00:00Z", 1_709_251_200_000_000)]
fn moments_of_logs_are_understood(#[case] text: &str, #[case] micros: u64) {
    let mut times = AcceptedTimes::default();
    times.add(&format!("ts={text} event=change_accepted revision=1"));
    assert_eq!(times.of(1), Some(micros));
}
