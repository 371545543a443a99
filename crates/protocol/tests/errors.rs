//! Errors name the remedy that fits their cause.

use gingerkeel_protocol::ProtocolError;
use rstest::rstest;

#[rstest]
#[case::silent(ProtocolError::TimedOut("it sends nothing"), "reachable")]
#[case::malformed(ProtocolError::Malformed("kind 200".to_owned()), "same release")]
#[case::socket(ProtocolError::Socket(std::io::Error::other("gone")), "reachable")]
fn the_remedy_fits_the_cause(#[case] error: ProtocolError, #[case] remedy: &str) {
    assert!(error.to_string().contains(remedy), "{error}");
}
