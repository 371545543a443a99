//! What a sound answer to a request is: it follows from the service and the request's id.

use std::collections::BTreeSet;

use gingerkeel_domain::forwarding::GreatestRecords;
use xxhash_rust::xxh3::xxh3_64;

use super::http::Response;

/// Service of requests that go to one leaf.
pub const SINGLE: &str = "single";
/// Services of the shards.
pub const SHARDS: [&str; 4] = ["shard-a", "shard-b", "shard-c", "shard-d"];
/// Records of an answer.
pub const GREATEST: usize = 5;
/// Least share of the shards, in millionths.
pub const LEAST_SHARE: u32 = 500_000;
/// Records of each part.
const RECORDS_OF_A_PART: u64 = 4;

/// A leaf's attestation of its answer.
pub fn attestation(service: &str, id: &str) -> String {
    format!("{service}:{id}")
}

/// The records of a service for a request, in no order.
pub fn records(service: &str, id: &str) -> Vec<u8> {
    let record = |number: u64| {
        let hash = xxh3_64(format!("{service} {id} {number}").as_bytes());
        [hash.to_be_bytes(), number.to_be_bytes()].concat()
    };
    (0..RECORDS_OF_A_PART).flat_map(record).collect()
}

/// What is wrong with a success of one leaf, if anything.
pub fn fault_of_single(response: &Response, id: &str) -> Option<String> {
    let attested = response.header("gingerkeel-attestation").unwrap_or_default();
    if attested != attestation(SINGLE, id) {
        return Some(format!("answer to {id} attests {attested}"));
    }
    (response.body != records(SINGLE, id)).then(|| format!("answer to {id} is not whole"))
}

/// What is wrong with a merged success, if anything.
pub fn fault_of_merged(response: &Response, id: &str) -> Option<String> {
    let attested = response.header("gingerkeel-part-attestations").unwrap_or_default();
    let mut services = BTreeSet::new();
    let mut merged = GreatestRecords::new(GREATEST);
    for part in attested.split(", ") {
        let Some(service) = SHARDS.iter().find(|shard| attestation(shard, id) == part) else {
            return Some(format!("answer to {id} has the foreign part {part}"));
        };
        if !services.insert(*service) {
            return Some(format!("answer to {id} has {part} twice"));
        }
        merged.add(&records(service, id));
    }
    let missing = response.header("gingerkeel-missing-parts").unwrap_or("0");
    if missing.parse() != Ok(SHARDS.len() - services.len()) {
        let present = services.len();
        return Some(format!("answer to {id} says {missing} missing with {present} in"));
    }
    if services.len() as u64 * 1_000_000 < SHARDS.len() as u64 * u64::from(LEAST_SHARE) {
        return Some(format!("answer to {id} is below the least share"));
    }
    (response.body != merged.into_bytes()).then(|| format!("answer to {id} is not the merger"))
}
