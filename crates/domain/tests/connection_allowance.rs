//! Adaptation of the connection allowance to what a leaf accepts.

use gingerkeel_domain::forwarding::ConnectionAllowance;
use rstest::rstest;

/// Repeatedly opens as many connections as allowed to a leaf that accepts `accepts`, closing all in
/// between; returns the most refusals in one round.
fn most_refused(accepts: usize, rounds: usize) -> (usize, ConnectionAllowance) {
    let mut allowance = ConnectionAllowance::default();
    let mut most = 0;
    for _ in 0..rounds {
        let mut refused = 0;
        for open in 1..=allowance.allowed() {
            match open <= accepts {
                true => allowance.accepted(open),
                false => {
                    allowance.refused(open);
                    refused += 1;
                    break;
                }
            }
        }
        most = most.max(refused);
    }
    (most, allowance)
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(40)]
fn the_limit_of_a_leaf_is_found_with_one_refusal_per_round(#[case] accepts: usize) {
    let (most, allowance) = most_refused(accepts, 100);
    assert!(most <= 1);
    assert!(allowance.allowed() >= 1 && allowance.allowed() <= accepts + 1, "{allowance:?}");
}

#[test]
fn a_refusal_halves_the_allowance() {
    let mut allowance = ConnectionAllowance::default();
    (1..=10).for_each(|open| allowance.accepted(open));
    assert_eq!(allowance.allowed(), 11);
    allowance.refused(11);
    assert_eq!(allowance.allowed(), 5);
    allowance.refused(1);
    assert_eq!(allowance.allowed(), 1);
    allowance.accepted(1);
    assert_eq!(allowance.allowed(), 2);
}
