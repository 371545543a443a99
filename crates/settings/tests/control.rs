//! Validation of the settings of a control process and its peers.

use gingerkeel_settings::{ControlSettings, parse};
use rstest::rstest;

const BASE: &str = "name = \"control-1\"\noperators = \"127.0.0.1:1\"\nfeed = \"127.0.0.1:2\"\n\
                    data_folder = \"/data\"\n";

fn peer(node: u32, port: u16) -> String {
    format!("[[peers]]\nnode = {node}\naddress = \"127.0.0.1:{port}\"\n")
}

#[test]
fn peers_are_optional() {
    let settings: ControlSettings = parse("file", BASE).expect("valid");
    assert_eq!(settings.peer_address(), None);
    assert_eq!(settings.node, 1);
}

#[test]
fn the_process_itself_is_no_other_peer() {
    let text = format!("{BASE}node = 2\n{}{}{}", peer(1, 11), peer(2, 12), peer(3, 13));
    let settings: ControlSettings = parse("file", &text).expect("valid");
    assert_eq!(settings.peer_address(), Some(([127, 0, 0, 1], 12).into()));
    let others: Vec<u32> = settings.other_peers().map(|peer| peer.node).collect();
    assert_eq!(others, [1, 3]);
}

#[rstest]
#[case::two_voters_alike(peer(1, 11) + &peer(1, 12), "name each control process once")]
#[case::one_address_twice(peer(1, 11) + &peer(2, 11), "no other peer")]
#[case::address_of_operators(peer(1, 1), "no other peer")]
#[case::node_zero(peer(0, 11), "use a number from 1")]
#[case::itself_missing(peer(2, 11), "name this control process among the peers")]
#[case::no_voter(peer(1, 11) + "voter = false\n", "at least one peer a voter")]
#[case::unknown_field(peer(1, 11) + "weight = 3\n", "correct the field")]
fn invalid_peers_are_refused_with_the_remedy(#[case] peers: String, #[case] remedy: &str) {
    let error = parse::<ControlSettings>("file", &format!("{BASE}{peers}")).expect_err("refused");
    assert!(error.to_string().contains(remedy), "{error}");
}
