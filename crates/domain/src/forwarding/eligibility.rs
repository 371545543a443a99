//! Which leaves may be asked at all, whatever speaks for them: one check that first requests,
//! hedges, retries and the parts of gathered answers all go through.

/// Why a leaf may not be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// The list of leaves says that it is leaving.
    Leaving,
    /// It runs in a region that the route does not allow.
    RegionNotAllowed,
    /// Its zone is evacuated.
    ZoneEvacuated,
    /// A roll-out keeps the request from the version that it runs.
    VersionHeldBack,
    /// Another leaf has its address: it has ended, and the list will say so.
    AddressTaken,
    /// It replied before, and has most likely ended; another one may have its address.
    PresumedEnded,
    /// It is cold, and this broker has sent what it may for now.
    ColdRateSpent,
    /// It is left out for its failures.
    Ejected,
}

impl Exclusion {
    /// Whether nothing that happens within the time of a request is likely to end it: to wait for
    /// such a leaf only delays the refusal.
    pub fn is_lasting(self) -> bool {
        match self {
            Self::RegionNotAllowed
            | Self::ZoneEvacuated
            | Self::VersionHeldBack
            | Self::AddressTaken => true,
            // The list may name a successor at any moment.
            Self::Leaving | Self::PresumedEnded | Self::ColdRateSpent | Self::Ejected => false,
        }
    }

    /// In one word, as logs and metrics say it.
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

/// Why no leaf of a service can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoLeafReason {
    /// No leaf of the service is listed.
    NoneListed,
    /// Every leaf was asked for this request already.
    AllTried,
    /// Every leaf that was not asked yet is excluded; this is the reason that may end first.
    Excluded(Exclusion),
}

impl NoLeafReason {
    /// Whether waiting is unlikely to help within the time of a request.
    pub fn is_lasting(self) -> bool {
        matches!(self, Self::Excluded(exclusion) if exclusion.is_lasting())
    }

    /// In one word, as logs and metrics say it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "no_leaf_listed",
            Self::AllTried => "all_leaves_tried",
            Self::Excluded(exclusion) => exclusion.as_str(),
        }
    }

    /// Of two reasons, the one that may end sooner.
    fn sooner(self, other: Self) -> Self {
        if self.is_lasting() { other } else { self }
    }
}

/// Collects why the leaves of a service were left out.
#[derive(Debug, Default)]
pub struct Exclusions {
    seen: Option<NoLeafReason>,
}

impl Exclusions {
    /// A leaf was left out.
    pub fn add(&mut self, reason: NoLeafReason) {
        self.seen = Some(self.seen.map_or(reason, |seen| seen.sooner(reason)));
    }

    /// Why nobody was left.
    pub fn reason(self) -> NoLeafReason {
        self.seen.unwrap_or(NoLeafReason::NoneListed)
    }
}
