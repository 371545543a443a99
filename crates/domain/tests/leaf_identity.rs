//! Leaf identities: name and start time.

use gingerkeel_domain::directory::LeafStart;
use gingerkeel_domain::identifiers::LeafIdentity;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::with_a_start("i-1", Some(7), "i-1@7")]
#[case::without("i-1", None, "i-1")]
#[case::a_name_like_one_with_a_start("i@7", None, "i@7@")]
#[case::such_a_name_with_a_start("i@7", Some(8), "i@7@8")]
fn identities_have_this_format(#[case] name: &str, #[case] start: Option<u64>, #[case] text: &str) {
    let identity = LeafIdentity::of_run(name, start.map(LeafStart));
    assert_eq!(identity.as_str(), text);
}

proptest! {
    /// Any name and start time can be recovered from the identity, so no two runs share an
    /// identity.
    #[test]
    fn name_and_start_are_recovered(name in "[a-c@0-9]{1,6}", start in prop::option::of(0u64..20)) {
        let start = start.map(LeafStart);
        let identity = LeafIdentity::of_run(&name, start);
        prop_assert_eq!((identity.name(), identity.start()), (name.as_str(), start));
    }
}
