//! Tenants of a soak: by which keys they call, what leaves may learn of them, and how much they may send.

use std::time::{Duration, Instant};

use gingerkeel_domain::quota::QuotaSettings;
use gingerkeel_domain::routes::TenantQuota;
use serde_json::{Value, json};

/// A tenant that stays within its quota.
pub const STEADY: &str = "steady";
/// A tenant that sends more than its quota.
pub const GREEDY: &str = "greedy";
/// A tenant whose keys change with each version.
pub const PASSING: &str = "passing";

/// How brokers are set to count the use of quotas.
pub const TOLERANCE: QuotaSettings =
    QuotaSettings { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
/// What the greedy tenant may send: less than one caller does.
pub const GREEDY_QUOTA: TenantQuota =
    TenantQuota { requests_per_1000_s: 20_000, burst_thousandths: 20_000 };
/// What the steady tenant may send: more than all callers do.
const STEADY_QUOTA: TenantQuota =
    TenantQuota { requests_per_1000_s: 5_000_000, burst_thousandths: 5_000_000 };
/// Beginning of every key, by which one is found where none belongs.
const KEY_MARK: &str = "soak-key-";
/// Versions that a key of the passing tenant is in.
const KEY_VERSIONS: u64 = 2;

/// The key by which a tenant calls under a version.
pub fn key(tenant: &str, version: u64) -> String {
    match tenant {
        PASSING => format!("{KEY_MARK}{tenant}-{version}"),
        _ => format!("{KEY_MARK}{tenant}"),
    }
}

/// A key of the passing tenant that is in no version from this one on.
pub fn revoked_key(version: u64) -> Option<String> {
    version.checked_sub(KEY_VERSIONS).map(|last| key(PASSING, last))
}

/// The tenants of a version, as an operator writes them.
pub fn document(version: u64) -> Value {
    let passing: Vec<String> = (0..KEY_VERSIONS)
        .filter_map(|age| version.checked_sub(age))
        .map(|version| key(PASSING, version))
        .collect();
    json!([
        { "name": STEADY, "keys": [key(STEADY, version)], "quota": STEADY_QUOTA },
        { "name": GREEDY, "keys": [key(GREEDY, version)], "quota": GREEDY_QUOTA },
        { "name": PASSING, "keys": passing },
    ])
}

/// The tenant that sent a request, by its id; none where nobody is named.
pub fn tenant_of(id: &str) -> Option<&'static str> {
    let named = |tenant: &&str| id.split('-').any(|part| part == *tenant);
    [STEADY, GREEDY, PASSING].into_iter().find(|tenant| named(tenant))
}

/// What is wrong with what a leaf learnt of the caller of a request, if anything.
pub fn fault_of_identity(head: &str, told: Option<&str>, id: &str) -> Option<String> {
    if head.contains(KEY_MARK) {
        return Some(format!("a leaf got the key of {id}"));
    }
    let expected = tenant_of(id);
    (told != expected).then(|| format!("a leaf was told of {told:?} by {id}"))
}

/// What is wrong with requests of the greedy tenant that came to leaves at these moments, in order.
pub fn fault_of_quota(arrivals: &[Instant]) -> Option<String> {
    let quota = GREEDY_QUOTA;
    let allowed = quota.per_second() * TOLERANCE.window.as_secs_f64() + quota.burst();
    let most = allowed * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack;
    let in_window = arrivals.iter().enumerate().map(|(first, began)| {
        let rest = &arrivals[first..];
        rest.partition_point(|moment| moment.duration_since(*began) < TOLERANCE.window)
    });
    let worst = in_window.max().unwrap_or(0);
    (worst as f64 > most).then(|| format!("{worst} requests of {GREEDY} in a window of {most}"))
}

/// What is wrong with the status that a key got which was taken away, if anything.
pub fn fault_of_revoked(status: u16, broker: usize) -> Option<String> {
    (status != 401).then(|| format!("broker-{broker} gave {status} for a key that was taken away"))
}
