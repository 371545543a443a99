//! Frames between control processes: round trips and invalid input.

use bytes::BytesMut;
use gingerkeel_protocol::{
    Document, FrameCodec, PeerFrame, PeerIdentity, PeerRefusal, ShortText, encode_frame,
};
use monoio_codec::{Decoded, Decoder};
use rstest::rstest;

const IDENTITY: PeerIdentity =
    PeerIdentity { node: 3, incarnation: 1 << 40, formed: 1, planned_voters: 0xdead_beef };

fn decode(bytes: &[u8]) -> Option<PeerFrame> {
    let mut codec = FrameCodec::<PeerFrame>::default();
    match codec.decode(&mut BytesMut::from(bytes)) {
        Ok(Decoded::Some(frame)) => Some(frame),
        _ => None,
    }
}

#[rstest]
#[case::hello(PeerFrame::Hello {
    protocol_version: 7,
    identity: IDENTITY,
    cluster: b"agency".to_vec(),
})]
#[case::welcome(PeerFrame::Welcome { identity: IDENTITY })]
#[case::version(PeerFrame::Refused { reason: PeerRefusal::ProtocolVersion })]
#[case::cluster(PeerFrame::Refused { reason: PeerRefusal::Cluster })]
#[case::unknown(PeerFrame::Refused { reason: PeerRefusal::UnknownPeer })]
#[case::earlier(PeerFrame::Refused { reason: PeerRefusal::EarlierIncarnation })]
#[case::superseded(PeerFrame::Superseded { incarnation: u64::MAX })]
#[case::probe(PeerFrame::Probe)]
#[case::probe_reply(PeerFrame::ProbeReply { identity: IDENTITY })]
#[case::consensus(PeerFrame::Consensus { document: vec![1, 2, 3] })]
#[case::usage(PeerFrame::Usage {
    control: ShortText::new("control-1"),
    usage: Document::from(vec![4, 5]),
})]
fn frames_round_trip(#[case] frame: PeerFrame) {
    let bytes = encode_frame(&frame).expect("a frame");
    assert_eq!(decode(&bytes), Some(frame));
    for length in 0..bytes.len() {
        assert_eq!(decode(&bytes[..length]), None, "{length} bytes are not a frame");
    }
}

#[rstest]
#[case::unknown_kind(&[0, 0, 0, 1, 99])]
#[case::unknown_reason(&[0, 0, 0, 2, 3, 77])]
#[case::bytes_after(&[0, 0, 0, 2, 4, 0])]
#[case::length_beyond_the_frame(&[0, 0, 0, 6, 6, 0, 0, 0, 9, 1])]
#[case::name_beyond_the_frame(&[0, 0, 0, 3, 7, 9, 97])]
fn invalid_bytes_are_not_decoded(#[case] bytes: &[u8]) {
    assert_eq!(decode(bytes), None);
}
