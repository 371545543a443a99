//! Each error message names the remedy for its cause.

use gingerkeel_protocol::ProtocolError;
use rstest::rstest;

#[rstest]
#[case::timed_out(ProtocolError::TimedOut("it sends nothing"), "reachable")]
#[case::malformed(ProtocolError::Malformed("kind 200".to_owned()), "same release")]
#[case::socket(ProtocolError::Socket(std::io::Error::other("gone")), "reachable")]
fn message_names_the_remedy(#[case] error: ProtocolError, #[case] remedy: &str) {
    assert!(error.to_string().contains(remedy), "{error}");
}
