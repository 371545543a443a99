//! Divides the connections that a leaf accepts among the brokers.

/// Weight of a broker in the zone of the leaf relative to others: it sends the leaf nearly all
/// requests of its callers, the others only what their own leaves cannot take.
const OWN_ZONE_WEIGHT: usize = 3;
/// Minimum number of connections of a broker in the zone of the leaf.
const MIN_IN_ZONE: usize = 2;
/// Minimum number of connections of any other broker.
const MIN_ELSEWHERE: usize = 1;

/// Numbers of brokers that share a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingBrokers {
    /// Brokers in the zone of the leaf.
    pub in_zone: usize,
    /// All other brokers.
    pub elsewhere: usize,
}

/// Number of connections that a broker may open to a leaf which accepts `accepted` from all brokers
/// together. Brokers that know the same brokers compute shares that add up to no more, unless the
/// leaf accepts too few for the minimum shares. The rounding remainder goes to the brokers
/// elsewhere if it suffices for one more each, and otherwise to those in the zone.
pub fn connection_share(accepted: usize, brokers: SharingBrokers, is_in_zone: bool) -> usize {
    let SharingBrokers { in_zone, elsewhere } = brokers;
    let weights = (in_zone * OWN_ZONE_WEIGHT + elsewhere).max(1);
    let near = (accepted.saturating_mul(OWN_ZONE_WEIGHT) / weights).max(MIN_IN_ZONE);
    let far = (accepted / weights).max(MIN_ELSEWHERE);
    let given = near.saturating_mul(in_zone).saturating_add(far.saturating_mul(elsewhere));
    let left = accepted.saturating_sub(given);
    let (more_near, more_far) = match (left / in_zone.max(1), left / elsewhere.max(1)) {
        (_, far) if elsewhere > 0 && far > 0 => (0, 1),
        (near, _) if in_zone > 0 && near > 0 => (1, 0),
        _ => (0, 0),
    };
    if is_in_zone { near + more_near } else { far + more_far }
}
