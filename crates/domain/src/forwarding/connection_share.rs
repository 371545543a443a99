//! How many of the connections that a leaf accepts one broker may open.

/// How much more a broker of the leaf's own zone gets than one of another zone: those send it
/// nearly all of its requests, the others only what their own leaves cannot take.
const OWN_ZONE_WEIGHT: usize = 3;
/// Least connections of a broker in the leaf's zone.
const LEAST_IN_ZONE: usize = 2;
/// Least connections of another broker.
const LEAST_ELSEWHERE: usize = 1;

/// The brokers that share a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharingBrokers {
    /// Those in the leaf's zone.
    pub in_zone: usize,
    /// All others.
    pub elsewhere: usize,
}

/// Connections that a broker may open to a leaf which accepts `accepted` from all brokers
/// together. Every broker that knows the same brokers comes to shares that add up to no more,
/// unless the leaf accepts too few for everybody's least share. What rounding leaves over goes to
/// the brokers elsewhere when it is enough for one more each, and else to those in the zone.
pub fn connection_share(accepted: usize, brokers: SharingBrokers, is_in_zone: bool) -> usize {
    let SharingBrokers { in_zone, elsewhere } = brokers;
    let weights = (in_zone * OWN_ZONE_WEIGHT + elsewhere).max(1);
    let near = (accepted.saturating_mul(OWN_ZONE_WEIGHT) / weights).max(LEAST_IN_ZONE);
    let far = (accepted / weights).max(LEAST_ELSEWHERE);
    let given = near.saturating_mul(in_zone).saturating_add(far.saturating_mul(elsewhere));
    let left = accepted.saturating_sub(given);
    let (more_near, more_far) = match (left / in_zone.max(1), left / elsewhere.max(1)) {
        (_, far) if elsewhere > 0 && far > 0 => (0, 1),
        (near, _) if in_zone > 0 && near > 0 => (1, 0),
        _ => (0, 0),
    };
    if is_in_zone { near + more_near } else { far + more_far }
}
