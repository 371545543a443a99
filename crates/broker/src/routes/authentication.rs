//! Who calls: the tenant whose key a request shows.

use std::sync::Arc;

use gingerkeel_domain::routes::{KeyDigest, KeyIndex, Route, Tenant};
use gingerkeel_transport::http1::{Headers, RequestHead};

use super::dialect::Dialect;

/// Field in which callers show their key, after the name of the scheme.
pub const AUTHORIZATION: &str = "authorization";

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// Anybody: the configuration names no tenants, and the caller's fields go on as they are.
    Unchecked,
    /// Checked: a tenant, or nobody in particular on a public route.
    Checked(Option<Arc<Tenant>>),
}

/// The request shows no key of a tenant, though it has to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

/// What a request shows of a key.
enum PresentedKey {
    Missing,
    Key(KeyDigest),
    /// Several keys.
    Ambiguous,
}

impl CallerIdentity {
    /// The tenant, where it is known.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Unchecked => None,
            Self::Checked(tenant) => tenant.as_ref(),
        }
    }

    /// Whether leaves learn who calls from the broker alone, and never a key.
    pub fn is_checked(&self) -> bool {
        matches!(self, Self::Checked(_))
    }
}

/// Finds out who sent a request of a route. On a public route no key is needed, but one that is shown
/// has to be known all the same: a caller whose key was revoked is not to go unnoticed.
///
/// # Errors
/// [`UnknownKey`] when the request is to be refused.
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

/// The key that a request shows in the product's scheme; credentials of other schemes are none.
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
