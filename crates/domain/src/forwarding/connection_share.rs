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
/// unless the leaf accepts too few for everybody's least share.
pub fn connection_share(accepted: usize, brokers: SharingBrokers, is_in_zone: bool) -> usize {
    let weights = brokers.in_zone * OWN_ZONE_WEIGHT + brokers.elsewhere;
    let (weight, least) = match is_in_zone {
        true => (OWN_ZONE_WEIGHT, LEAST_IN_ZONE),
        false => (1, LEAST_ELSEWHERE),
    };
    (accepted.saturating_mul(weight) / weights.max(weight)).max(least)
}
