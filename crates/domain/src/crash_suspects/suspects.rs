//! Requests that a broker suspects of crashing leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CrashFinding, REFUSAL_RETENTION, RequestDigest, Verdict};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Maximum number of suspects: far more than the requests in flight at a broker when all leaves
/// terminate at once.
const MAX_SUSPECTS: usize = 1024;
/// Maximum leaves remembered per request, so that each is counted once.
const MAX_KEPT_LEAVES: usize = 128;
/// Time for which a request stays suspected after the last termination of a leaf, or after a
/// refusal: a crashed leaf needs seconds to minutes to restart, and callers retry within that time.
const SUSPICION_TTL: Duration = Duration::from_secs(60);
/// Terminations from which on other brokers are notified: a single leaf may terminate for any
/// reason.
const LEAVES_TO_REPORT: u32 = 2;
/// Terminations from which on a request is refused. At the last one, the request must have been in
/// flight at that leaf alone.
const LEAVES_TO_REFUSE: u32 = 2;
/// Time until the first trial: several times what a leaf needs to restart and warm up. A wrong
/// verdict blocks the callers of one request for that time.
const FIRST_REFUSAL: Duration = Duration::from_secs(30);
/// Upper bound of the refusal backoff, and thus of the retry delay advised to callers.
const MAX_REFUSAL: Duration = Duration::from_secs(300);
/// Terminated leaves from which on all requests of a route are sent to canaries first while none of
/// its requests is known to crash leaves: the request that does may arrive here next.
const UNEXPLAINED_FOR_CANARIES: usize = 2;
/// Time for which an unexplained termination counts: callers retry within that time, and other
/// brokers identify the request.
const UNEXPLAINED_TTL: Duration = Duration::from_secs(10);
/// Refused requests of a route from which on all its requests are sent to canaries first: a common
/// property crashes leaves, and the digest of the next such request is unknown.
const REFUSED_FOR_CANARIES: usize = 2;

/// How a request is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPolicy {
    /// No restrictions.
    Unrestricted,
    /// Requests of its route have crashed leaves recently: canaries first.
    Canary,
    /// Leaves terminated with it in flight: one leaf at a time.
    Suspected,
    /// Not sent to any leaf before `until`.
    Refused {
        /// When a trial may be requested.
        until: Timestamp,
    },
    /// Not sent to any leaf, except for a granted trial at one leaf.
    TrialDue,
}

/// The termination of a leaf with a request in flight.
#[derive(Debug, Clone, Copy)]
pub struct LeafEnd<'end> {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: &'end str,
    /// Identity of the leaf.
    pub leaf: &'end LeafIdentity,
    /// When the request was sent to the leaf.
    pub sent: Timestamp,
    /// Whether the request was in flight at no other leaf meanwhile.
    pub alone: bool,
}

/// The state of one suspected or refused request.
#[derive(Debug)]
struct Suspect {
    route: String,
    /// Leaves that this broker saw terminate with it in flight.
    seen: BTreeSet<LeafIdentity>,
    /// Known number of leaves that terminated with it in flight.
    leaves: u32,
    /// When the first termination became known.
    since: Timestamp,
    /// When a trial may be requested, and the length of the refusal; none if it is not refused.
    refusal: Option<(Timestamp, Duration)>,
    /// Whether the refusal is in the replicated state of the control tier.
    recorded: bool,
    /// Whether other brokers know that it is suspected.
    reported: bool,
    expires_at: Timestamp,
}

/// Suspected and refused requests at one broker.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Terminations by route since a request of the route was last refused, with their times.
    unexplained: BTreeMap<String, BTreeMap<LeafIdentity, Timestamp>>,
}

impl CrashSuspects {
    /// Whether there is no suspect and no unexplained termination.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.unexplained.is_empty()
    }

    /// How a request of a route may be sent to leaves.
    pub fn send_policy(&self, now: Timestamp, route: &str, digest: RequestDigest) -> SendPolicy {
        match self.suspects.get(&digest).filter(|suspect| now < suspect.expires_at) {
            Some(Suspect { refusal: Some((until, _)), .. }) if now < *until => {
                SendPolicy::Refused { until: *until }
            }
            Some(Suspect { refusal: Some(_), .. }) => SendPolicy::TrialDue,
            Some(_) => SendPolicy::Suspected,
            None if self.sends_canaries(now, route) => SendPolicy::Canary,
            None => SendPolicy::Unrestricted,
        }
    }

    /// Whether all requests of a route are sent to canaries first.
    fn sends_canaries(&self, now: Timestamp, route: &str) -> bool {
        let lately = |at: &&Timestamp| now.since(**at) < UNEXPLAINED_TTL;
        let ends = self.unexplained.get(route).into_iter().flat_map(BTreeMap::values);
        if ends.filter(lately).take(UNEXPLAINED_FOR_CANARIES).count() >= UNEXPLAINED_FOR_CANARIES {
            return true;
        }
        let refused = |suspect: &&Suspect| {
            let lately = |(until, _): (Timestamp, Duration)| now < until.after(SUSPICION_TTL);
            suspect.refusal.is_some_and(lately) && suspect.route == route
        };
        self.suspects.values().filter(refused).take(REFUSED_FOR_CANARIES).count()
            >= REFUSED_FOR_CANARIES
    }

    /// Whether a request is refused, apart from granted trials.
    pub fn is_refused(&self, now: Timestamp, digest: RequestDigest) -> bool {
        let suspect = self.suspects.get(&digest).filter(|suspect| now < suspect.expires_at);
        suspect.is_some_and(|suspect| suspect.refusal.is_some())
    }

    /// Number of refused requests.
    pub fn refused(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.refusal.is_some()).count()
    }

    /// The finding on a refused request; none if it is not refused.
    pub fn refusal(&self, now: Timestamp, digest: RequestDigest) -> Option<CrashFinding> {
        let suspect = self.suspects.get(&digest)?;
        let (until, _) = suspect.refusal?;
        Some(suspect.finding(digest, Verdict::Refused, until.since(now)))
    }

    /// Refusals that the control tier is not known to have recorded.
    pub fn unrecorded(&self, now: Timestamp) -> Vec<CrashFinding> {
        let unrecorded = self.suspects.iter().filter(|(_, suspect)| !suspect.recorded);
        unrecorded.filter_map(|(digest, _)| self.refusal(now, *digest)).collect()
    }

    /// Drops expired entries. Returns the routes whose requests are all sent to canaries first.
    pub fn canary_routes(&mut self, now: Timestamp) -> BTreeSet<String> {
        self.drop_expired(now);
        let suspected = self.suspects.values().map(|suspect| suspect.route.as_str());
        let routes = suspected.chain(self.unexplained.keys().map(String::as_str));
        routes.filter(|route| self.sends_canaries(now, route)).map(str::to_owned).collect()
    }

    /// Records the termination of a leaf. Returns the finding to report, if any.
    pub fn leaf_ended(&mut self, now: Timestamp, end: LeafEnd<'_>) -> Option<CrashFinding> {
        self.drop_expired(now);
        self.evict_for(end.digest);
        let suspect =
            self.suspects.entry(end.digest).or_insert_with(|| Suspect::new(end.route, now));
        suspect.add(now, end.leaf);
        if suspect.refused_until(now).is_some() {
            return None;
        }
        let ends = self.unexplained.entry(end.route.to_owned()).or_default();
        if ends.len() < MAX_KEPT_LEAVES {
            ends.insert(end.leaf.clone(), now);
        }
        // A request sent before the first termination proves nothing more: leaves that terminate
        // together have the same requests in flight.
        let is_canary = end.alone && end.sent >= suspect.since;
        if is_canary && suspect.leaves >= LEAVES_TO_REFUSE {
            let life = suspect.refuse(now);
            self.unexplained.remove(end.route);
            return Some(suspect.finding(end.digest, Verdict::Refused, life));
        }
        if suspect.leaves >= LEAVES_TO_REPORT && !std::mem::replace(&mut suspect.reported, true) {
            return Some(suspect.finding(end.digest, Verdict::Suspected, SUSPICION_TTL));
        }
        None
    }

    /// Clears a request that a leaf replied to. Returns the previous finding, or
    /// [`Verdict::Cleared`], which has to be reported, if the request was refused.
    pub fn replied(&mut self, digest: RequestDigest) -> Option<CrashFinding> {
        let suspect = self.suspects.remove(&digest)?;
        let verdict = match suspect.refusal {
            Some(_) => Verdict::Cleared,
            None => Verdict::Suspected,
        };
        Some(suspect.finding(digest, verdict, SUSPICION_TTL))
    }

    /// Applies a finding of another broker. Returns whether it changed anything.
    pub fn apply_finding(&mut self, now: Timestamp, finding: &CrashFinding) -> bool {
        self.drop_expired(now);
        self.evict_for(finding.digest);
        let life = Duration::from_millis(finding.for_ms.into());
        let suspect = self.suspects.entry(finding.digest);
        let suspect = suspect.or_insert_with(|| Suspect::new(&finding.route, now));
        suspect.leaves = suspect.leaves.max(finding.leaves);
        let was_reported = std::mem::replace(&mut suspect.reported, true);
        match finding.verdict {
            Verdict::Suspected => {
                suspect.expires_at = suspect.expires_at.max(now.after(life));
                !was_reported
            }
            Verdict::Refused => {
                let changed = suspect.refused_by_others(now, life);
                self.unexplained.remove(&finding.route);
                changed
            }
            Verdict::Cleared => self.suspects.remove(&finding.digest).is_some(),
        }
    }

    /// Applies findings from the replicated state of the control tier, a complete list if
    /// `is_whole`. Returns whether they changed anything.
    pub fn recorded(&mut self, now: Timestamp, findings: &[CrashFinding], is_whole: bool) -> bool {
        let mut changed = false;
        if is_whole {
            let listed: BTreeSet<RequestDigest> =
                findings.iter().map(|finding| finding.digest).collect();
            let before = self.suspects.len();
            self.suspects.retain(|digest, suspect| !suspect.recorded || listed.contains(digest));
            changed = self.suspects.len() < before;
        }
        for finding in findings {
            changed |= self.apply_finding(now, finding);
            if let Some(suspect) = self.suspects.get_mut(&finding.digest) {
                let life = Duration::from_millis(finding.for_ms.into());
                suspect.refuse_for(now, life);
                suspect.recorded = true;
            }
        }
        changed
    }

    /// Drops expired entries.
    fn drop_expired(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        self.unexplained.retain(|_, ends| {
            ends.retain(|_, at| now.since(*at) < UNEXPLAINED_TTL);
            !ends.is_empty()
        });
    }

    /// Evicts the entry that expires first if there is no capacity for another one.
    fn evict_for(&mut self, digest: RequestDigest) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&digest) {
            return;
        }
        let soonest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.expires_at);
        if let Some(digest) = soonest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}

impl Suspect {
    fn new(route: &str, now: Timestamp) -> Self {
        Self {
            route: route.to_owned(),
            seen: BTreeSet::new(),
            leaves: 0,
            since: now,
            refusal: None,
            recorded: false,
            reported: false,
            expires_at: now.after(SUSPICION_TTL),
        }
    }

    /// Counts a leaf that terminated with the request in flight.
    fn add(&mut self, now: Timestamp, leaf: &LeafIdentity) {
        self.expires_at = self.expires_at.max(now.after(SUSPICION_TTL));
        if self.seen.contains(leaf) {
            return;
        }
        if self.seen.len() < MAX_KEPT_LEAVES {
            self.seen.insert(leaf.clone());
        }
        self.leaves = self.leaves.saturating_add(1);
    }

    fn refused_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.refusal.map(|(until, _)| until).filter(|until| now < *until)
    }

    /// Refuses the request with an exponential backoff. Returns the length of the refusal.
    fn refuse(&mut self, now: Timestamp) -> Duration {
        let doubled =
            |(_, life): (Timestamp, Duration)| (life * 2).clamp(FIRST_REFUSAL, MAX_REFUSAL);
        let life = self.refusal.map_or(FIRST_REFUSAL, doubled);
        self.refuse_for(now, life);
        self.recorded = false;
        life
    }

    /// Applies a refusal by other brokers. Returns false if it is already refused for about as
    /// long.
    fn refused_by_others(&mut self, now: Timestamp, life: Duration) -> bool {
        let changed = self.refused_until(now).is_none_or(|until| until < now.after(life / 2));
        if changed {
            self.refuse_for(now, life);
        }
        changed
    }

    fn refuse_for(&mut self, now: Timestamp, life: Duration) {
        self.refusal = Some((now.after(life), life));
        self.reported = true;
        self.expires_at = now.after(REFUSAL_RETENTION);
    }

    fn finding(&self, digest: RequestDigest, verdict: Verdict, life: Duration) -> CrashFinding {
        CrashFinding {
            digest,
            route: self.route.clone(),
            leaves: self.leaves,
            verdict,
            for_ms: u32::try_from(life.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
