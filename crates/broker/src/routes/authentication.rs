//! Authentication of callers by the key in the request head.

use std::sync::Arc;

use gingerkeel_domain::routes::{KeyDigest, KeyIndex, Route, Tenant};
use gingerkeel_transport::http1::{Headers, RequestHead};

use super::dialect::Dialect;

/// Header field with the scheme and the key.
pub const AUTHORIZATION: &str = "authorization";

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// Not authenticated: the configuration requires no keys, and the caller's fields are forwarded
    /// as they are.
    Unchecked,
    /// Authenticated as a tenant, or anonymous on a public route.
    Checked(Option<Arc<Tenant>>),
}

/// The request has no valid key of a tenant, though one is required.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

/// The key found in a request.
enum PresentedKey {
    Missing,
    Key(KeyDigest),
    /// Several keys.
    Ambiguous,
}

impl CallerIdentity {
    /// The tenant, if known.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Unchecked => None,
            Self::Checked(tenant) => tenant.as_ref(),
        }
    }

    /// Whether the broker replaces the caller's identity fields, so that leaves get no keys.
    pub fn is_checked(&self) -> bool {
        matches!(self, Self::Checked(_))
    }
}

/// Authenticates the sender of a request. A public route needs no key, but a key that is sent must
/// be valid: a revoked key must not go unnoticed.
///
/// # Errors
/// [`UnknownKey`] if the key is missing, unknown or ambiguous.
pub fn authenticate(
    dialect: &Dialect,
    keys: &KeyIndex,
    route: &Route,
    head: &RequestHead,
) -> Result<CallerIdentity, UnknownKey> {
    if !keys.is_required() {
        return Ok(CallerIdentity::Unchecked);
    }
    match presented_key(dialect, &head.headers) {
        PresentedKey::Key(key) => {
            let holder = keys.holder(&key).ok_or(UnknownKey)?;
            Ok(CallerIdentity::Checked(Some(holder.clone())))
        }
        PresentedKey::Missing if route.public => Ok(CallerIdentity::Checked(None)),
        PresentedKey::Missing | PresentedKey::Ambiguous => Err(UnknownKey),
    }
}

/// The key of a request in the configured scheme; credentials of other schemes are ignored.
fn presented_key(dialect: &Dialect, headers: &Headers) -> PresentedKey {
    let mut keys = headers.all(AUTHORIZATION).filter_map(|value| key_of(dialect, value));
    match (keys.next(), keys.next()) {
        (None, _) => PresentedKey::Missing,
        (Some(key), None) => PresentedKey::Key(KeyDigest::of(key)),
        (Some(_), Some(_)) => PresentedKey::Ambiguous,
    }
}

fn key_of<'value>(dialect: &Dialect, value: &'value [u8]) -> Option<&'value [u8]> {
    let value = value.trim_ascii();
    let end = value.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = value.split_at(end);
    let is_ours = scheme.eq_ignore_ascii_case(dialect.key_scheme.as_bytes());
    is_ours.then_some(key.trim_ascii())
}
