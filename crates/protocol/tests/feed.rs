//! Feed messages: round trips and invalid input.

use bytes::BytesMut;
use gingerkeel_protocol::{
    Document, FeedMessage, FeedRefusal, Frame, FrameCodec, MAXIMUM_FRAME_BYTES, ProtocolError,
    ShortText, SubscriberMessage, encode_frame,
};
use monoio_codec::{Decoded, Decoder};
use proptest::prelude::*;

fn document() -> impl Strategy<Value = Document> {
    prop::collection::vec(any::<u8>(), 0..200).prop_map(Document::from)
}

fn text() -> impl Strategy<Value = ShortText> {
    "[a-z]{1,40}".prop_map(|text| ShortText::new(&text))
}

fn refusal() -> impl Strategy<Value = FeedRefusal> {
    prop_oneof![
        Just(FeedRefusal::ProtocolVersion),
        Just(FeedRefusal::Removed),
        Just(FeedRefusal::BadName),
    ]
}

fn subscriber_message() -> impl Strategy<Value = SubscriberMessage> {
    prop_oneof![
        (any::<(u16, u64, u64)>(), text(), text(), text()).prop_map(
            |((protocol_version, run, revision), broker, region, zone)| {
                SubscriberMessage::Subscribe {
                    protocol_version,
                    run,
                    revision,
                    broker,
                    region,
                    zone,
                }
            }
        ),
        any::<(u64, u64)>()
            .prop_map(|(ticket, in_force)| SubscriberMessage::Renew { ticket, in_force }),
        any::<u64>().prop_map(|revision| SubscriberMessage::InForce { revision }),
        (any::<(u64, u64)>(), document()).prop_map(|((sequence, run), counters)| {
            SubscriberMessage::Charges { sequence, run, counters }
        }),
        document().prop_map(|report| SubscriberMessage::Overload { report }),
        document().prop_map(|report| SubscriberMessage::Usage { report }),
    ]
}

fn feed_message() -> impl Strategy<Value = FeedMessage> {
    prop_oneof![
        document().prop_map(|catalog| FeedMessage::FullCatalog { catalog }),
        (any::<u64>(), document())
            .prop_map(|(revision, change)| FeedMessage::Change { revision, change }),
        (any::<u16>(), refusal()).prop_map(|(protocol_version, reason)| {
            FeedMessage::Refused { protocol_version, reason }
        }),
        any::<(u64, u64, u32)>().prop_map(|(ticket, revision, duration_milliseconds)| {
            FeedMessage::Lease { ticket, revision, duration_milliseconds }
        }),
        document().prop_map(|delta| FeedMessage::Brokers { delta }),
        prop::collection::vec(any::<u32>(), 0..50)
            .prop_map(|leaves| FeedMessage::Leaving { leaves }),
        any::<(u64, u64)>()
            .prop_map(|(run, sequence)| FeedMessage::ChargesRecorded { run, sequence }),
        (text(), any::<u8>()).prop_map(|(service, lowest_admitted)| FeedMessage::Threshold {
            service,
            lowest_admitted
        }),
        any::<(u64, u64)>().prop_map(|(run, sequence)| FeedMessage::RunSettled { run, sequence }),
        document().prop_map(|usage| FeedMessage::Usage { usage }),
    ]
}

fn decode<M: Frame>(bytes: &[u8]) -> Result<Option<M>, ProtocolError> {
    let mut source = BytesMut::from(bytes);
    match FrameCodec::<M>::default().decode(&mut source)? {
        Decoded::Some(message) => Ok(Some(message)),
        _ => Ok(None),
    }
}

/// Adds a correct length prefix, so that the decoder reads the body.
fn framed(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

proptest! {
    #[test]
    fn subscriber_messages_round_trip(message in subscriber_message()) {
        let bytes = encode_frame(&message).unwrap();
        prop_assert_eq!(decode(&bytes).unwrap(), Some(message));
    }

    #[test]
    fn feed_messages_round_trip(message in feed_message()) {
        let bytes = encode_frame(&message).unwrap();
        prop_assert_eq!(decode(&bytes).unwrap(), Some(message));
    }

    #[test]
    fn incomplete_message_is_not_decoded(
        message in feed_message(),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encode_frame(&message).unwrap();
        let cut = cut.index(bytes.len());
        prop_assert_eq!(decode::<FeedMessage>(&bytes[..cut]).unwrap(), None);
    }

    #[test]
    fn decoding_arbitrary_bodies_never_panics(
        tag in 0..17u8,
        mut body in prop::collection::vec(any::<u8>(), 0..120),
    ) {
        body.insert(0, tag);
        let _ = decode::<FeedMessage>(&framed(&body));
        let _ = decode::<SubscriberMessage>(&framed(&body));
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(
        bytes in prop::collection::vec(any::<u8>(), 0..120),
    ) {
        let _ = decode::<FeedMessage>(&bytes);
        let _ = decode::<SubscriberMessage>(&bytes);
    }

    #[test]
    fn trailing_bytes_are_rejected(message in subscriber_message()) {
        let mut body = encode_frame(&message).unwrap().split_off(4);
        body.push(0);
        prop_assert!(decode::<SubscriberMessage>(&framed(&body)).is_err());
    }
}

#[test]
fn oversized_frame_is_rejected_before_its_body_is_read() {
    let length = (MAXIMUM_FRAME_BYTES as u32 + 1).to_be_bytes();
    let refused = decode::<FeedMessage>(&length);
    assert!(matches!(refused, Err(ProtocolError::FrameTooLarge(..))));
}

#[test]
fn document_longer_than_the_frame_is_rejected() {
    let mut body = vec![1];
    body.extend_from_slice(&u32::MAX.to_be_bytes());
    assert!(matches!(decode::<FeedMessage>(&framed(&body)), Err(ProtocolError::Malformed(_))));
}

#[test]
fn short_text_is_truncated_and_none_if_empty() {
    assert_eq!(ShortText::new("").text(), None);
    assert_eq!(ShortText::new("palermo-1").text(), Some("palermo-1"));
    assert_eq!(ShortText::new(&"x".repeat(300)).text().map(str::len), Some(255));
}

#[test]
fn renewal_and_grant_have_their_documented_sizes() {
    let renewal = SubscriberMessage::Renew { ticket: 1, in_force: 1 };
    assert_eq!(encode_frame(&renewal).unwrap().len(), 21);
    let grant = FeedMessage::Lease { ticket: 1, revision: 1, duration_milliseconds: 4_000 };
    assert_eq!(encode_frame(&grant).unwrap().len(), 25);
}
