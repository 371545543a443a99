use std::sync::Arc;

use gingerkeel_domain::cluster::{Command, CommandBody, LogIndex, WallTime};
use gingerkeel_domain::identifiers::TenantName;
use gingerkeel_domain::routes::{
    AcceptedRoutes, CallerLimits, KeyDigest, RegionPolicy, RouteConfiguration, RouteVersion,
    Tenant, TenantQuota,
};

use super::*;

/// A state with a tenant.
fn state() -> ClusterState {
    let tenant = Tenant {
        name: TenantName::new("kiosk"),
        keys: [KeyDigest::of(b"k-1")].into(),
        priority: Some(1),
        quota: TenantQuota::default(),
        allowed_regions: RegionPolicy::default(),
    };
    let configuration = RouteConfiguration {
        version: RouteVersion(3),
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: vec![tenant],
    };
    let routes = AcceptedRoutes { configuration, document: b"k-1".to_vec() };
    let body = CommandBody::ReplaceRoutes(Arc::new(routes));
    let mut state = ClusterState::default();
    state.apply(LogIndex(1), &Command { at: WallTime(5), body });
    state
}

#[test]
fn encoded_state_decodes_to_the_same_state() {
    let state = state();
    let bytes = encode_state(&state).expect("a document");
    assert_eq!(decode_state(&bytes).expect("a state"), state);
}

#[test]
fn invalid_bytes_are_refused() {
    let bytes = encode_state(&state()).expect("a document");
    assert!(decode_state(&bytes[..bytes.len() - 1]).is_err());
    assert!(decode_state(&CURRENT_PREFIX).is_err());
    assert!(decode_state(&PREFIX_WITHOUT_ROLLOUTS).is_err());
    assert!(decode_state(&[]).is_err());
}

#[test]
fn debug_output_of_a_state_contains_no_key() {
    let printed = format!("{:?}", state());
    let document = format!("{:?}", b"k-1");
    assert!(printed.contains("kiosk") && !printed.contains(&document), "{printed}");
}
