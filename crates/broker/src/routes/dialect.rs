//! Names of the header fields that callers, leaves and a broker exchange besides HTTP's own.

use gingerkeel_domain::forwarding::{LoadReport, NOMINAL_PACE_PERCENT};

/// Names of header fields, in lower case.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Id of a request, given by the caller and repeated by the leaf.
    pub request_id: &'static str,
    /// Time left for a request, in milliseconds.
    pub deadline: &'static str,
    /// Identity of the intended leaf; any other leaf refuses the request.
    pub expected_leaf: &'static str,
    /// A leaf's attestation of its answer.
    pub attestation: &'static str,
    /// Attestations of the parts of a gathered answer.
    pub part_attestations: &'static str,
    /// How many shards are missing from a gathered answer.
    pub missing_parts: &'static str,
    /// Load report of a leaf.
    pub load: &'static str,
    /// Parses a load report; none if it is malformed.
    pub parse_load_report: fn(&str) -> Option<LoadReport>,
    /// Marks an answer of a leaf that did not run the request.
    pub not_executed: &'static str,
    /// Name of the tenant that sent a request, for leaves.
    pub tenant: &'static str,
    /// Authentication scheme with which callers send their key.
    pub key_scheme: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: "gingerkeel-request-id",
            deadline: "gingerkeel-deadline-ms",
            expected_leaf: "gingerkeel-leaf",
            attestation: "gingerkeel-attestation",
            part_attestations: "gingerkeel-part-attestations",
            missing_parts: "gingerkeel-missing-parts",
            load: "gingerkeel-load",
            parse_load_report,
            not_executed: "gingerkeel-not-executed",
            tenant: "gingerkeel-tenant",
            key_scheme: "Bearer",
            readiness_path: "/ready",
        }
    }
}

/// Parses a load report of the form `running,waiting,slots` or `running,waiting,slots,pace`; the
/// pace is the time that work takes on the leaf's machine, in percent of the usual time.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse().ok());
    let mut next = || figures.next().flatten();
    let (running, waiting, slots) = (next()?, next()?, next()?);
    let pace_percent = figures.next().map_or(Some(NOMINAL_PACE_PERCENT), |pace| pace)?;
    Some(LoadReport { running, waiting, slots, pace_percent })
}
