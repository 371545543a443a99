//! Routes: which back ends process a request, by its host and path.
//!
//! A [`RouteConfiguration`] is validated and replaced as a whole, under a version that operators
//! assign. The highest version wins.

mod accepted;
mod configuration;
mod error;
mod key_index;
mod region_policy;
mod table;
mod tenant;

pub use accepted::{AcceptedRoutes, ReplaceOutcome, RouteState};
pub use configuration::{
    BackEndService, CallerLimits, Destination, PartsPerMillion, Route, RouteConfiguration,
    RouteVersion, ShardSet, WeightedService,
};
pub use error::RouteError;
pub use key_index::KeyIndex;
pub use region_policy::RegionPolicy;
pub use table::{RouteLookup, RouteTable};
pub use tenant::{KeyDigest, Tenant, TenantQuota};
