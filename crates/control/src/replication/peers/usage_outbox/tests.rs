//! Totals that wait for an unreachable peer.

use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::quota::{PeerUsage, TenantTotal};

use super::UsageOutbox;

fn usage(totals: &[(&str, u64)]) -> PeerUsage {
    let total = |&(tenant, count): &(&str, u64)| TenantTotal {
        tenant: TenantName::new(tenant),
        arrived: count,
        admitted: count,
    };
    PeerUsage { run: 7, totals: totals.iter().map(total).collect() }
}

#[test]
fn newer_totals_replace_those_that_wait() {
    let mut outbox = UsageOutbox::default();
    assert_eq!(outbox.take(), None);
    assert!(outbox.merge(&usage(&[("a", 1), ("b", 1)])), "the link is woken");
    for count in 2..1_000 {
        assert!(!outbox.merge(&usage(&[("b", count)])), "the link is woken already");
    }
    assert_eq!(outbox.take(), Some(usage(&[("a", 1), ("b", 999)])));
    assert_eq!(outbox.take(), None);
}

#[test]
fn word_without_totals_is_a_sign_of_life() {
    let mut outbox = UsageOutbox::default();
    assert!(outbox.merge(&usage(&[])));
    assert_eq!(outbox.take(), Some(usage(&[])));
}
