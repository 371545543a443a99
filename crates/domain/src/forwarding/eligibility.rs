//! Eligibility of leaves: one check that first attempts, hedges, retries and the parts of gathered
//! answers all pass, independent of the cost of a leaf.

/// Reason why a leaf may not be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// The directory lists the leaf as leaving.
    Leaving,
    /// The leaf runs in a region that the route does not allow.
    RegionNotAllowed,
    /// The zone of the leaf is evacuated.
    ZoneEvacuated,
    /// A rollout withholds the request from the software version of the leaf.
    VersionHeldBack,
    /// Another leaf has the address: this leaf has ended, and the directory will remove it.
    AddressTaken,
    /// The leaf gives no sign of life and has most likely ended; another one may have its address.
    PresumedEnded,
    /// The leaf is cold, and the rate of this broker is used up for now.
    ColdRateSpent,
    /// The leaf is ejected after consecutive failures.
    Ejected,
}

impl Exclusion {
    /// Whether the exclusion is unlikely to end within the lifetime of a request, so that waiting
    /// only delays the refusal.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::RegionNotAllowed
            | Self::ZoneEvacuated
            | Self::VersionHeldBack
            | Self::AddressTaken => true,
            // The directory may list a successor at any moment.
            Self::Leaving | Self::PresumedEnded | Self::ColdRateSpent | Self::Ejected => false,
        }
    }

    /// Identifier in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::RegionNotAllowed => "region_not_allowed",
            Self::ZoneEvacuated => "zone_evacuated",
            Self::VersionHeldBack => "version_held_back",
            Self::AddressTaken => "address_taken",
            Self::PresumedEnded => "presumed_ended",
            Self::ColdRateSpent => "cold_rate_spent",
            Self::Ejected => "ejected",
        }
    }
}

/// Reason why no leaf of a service can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoLeafReason {
    /// No leaf of the service is listed.
    NoneListed,
    /// Every leaf was already tried for this request.
    AllTried,
    /// Every untried leaf is excluded; this is the exclusion that may end first.
    Excluded(Exclusion),
}

impl NoLeafReason {
    /// Whether waiting is unlikely to help within the lifetime of a request.
    pub fn is_lasting(self) -> bool {
        matches!(self, Self::Excluded(exclusion) if exclusion.is_lasting())
    }

    /// Identifier in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "no_leaf_listed",
            Self::AllTried => "all_leaves_tried",
            Self::Excluded(exclusion) => exclusion.as_str(),
        }
    }

    /// The one of two reasons that may end sooner.
    fn sooner(self, other: Self) -> Self {
        if self.is_lasting() { other } else { self }
    }
}

/// Collects the reasons why leaves of a service were excluded.
#[derive(Debug, Default)]
pub struct Exclusions {
    seen: Option<NoLeafReason>,
}

impl Exclusions {
    /// Adds the reason for one leaf.
    pub fn add(&mut self, reason: NoLeafReason) {
        self.seen = Some(self.seen.map_or(reason, |seen| seen.sooner(reason)));
    }

    /// The reason to report when no leaf is left.
    pub fn reason(self) -> NoLeafReason {
        self.seen.unwrap_or(NoLeafReason::NoneListed)
    }
}
