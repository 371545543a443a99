//! What one broker holds of the requests under which leaves have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CrashFinding, REFUSAL_RETENTION, RequestDigest, Verdict};
use crate::identifiers::LeafIdentity;
use crate::time::Timestamp;

/// Requests that are kept: far more than are under way at a broker when all leaves end at once.
const MOST_SUSPECTS: usize = 1024;
/// Leaves that are kept of one request, to count each once.
const KEPT_LEAVES: usize = 128;
/// Time for which a request stays suspected after its last leaf has ended, or after a refusal: a crashed leaf
/// needs seconds to minutes to be back, and callers come again within that.
const SUSPICION_LIFE: Duration = Duration::from_secs(60);
/// Ends from which on others are told: one leaf may end for any reason.
const LEAVES_TO_TELL: u32 = 2;
/// Ends from which on a request is refused, the last of them while it was under way at that leaf alone.
const LEAVES_TO_REFUSE: u32 = 2;
/// Time until the first trial may be asked for: several times what a leaf needs to be back and warm. A wrong verdict
/// costs the callers of one request that long.
const FIRST_REFUSAL: Duration = Duration::from_secs(30);
/// Longest time until a broker asks again, and longest time until a caller is asked to come back.
const LONGEST_REFUSAL: Duration = Duration::from_secs(300);
/// Leaves that a broker saw end under requests of a route, none of which is known to crash them, from which on all
/// requests of the route go to few leaves first: the one that does may come here next.
const UNEXPLAINED_FOR_CANARIES: usize = 2;
/// Time for which such an end counts: callers come again within that, and others find out which request it is.
const UNEXPLAINED_LIFE: Duration = Duration::from_secs(10);
/// Different refused requests of a route from which on all its requests go to few leaves first: whatever they have in
/// common crashes leaves, and the next one is not known by its digest.
const REFUSED_FOR_CANARIES: usize = 2;

/// How a request is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPolicy {
    /// As ever.
    Unrestricted,
    /// Requests of its route have crashed leaves lately: to few leaves first.
    Canary,
    /// Leaves have ended under it: to one leaf at a time.
    Suspected,
    /// To nobody until then.
    Refused {
        /// When a trial may be asked for.
        until: Timestamp,
    },
    /// To nobody, unless a trial at one leaf is granted.
    TrialDue,
}

/// A leaf ended while a request was under way at it.
#[derive(Debug, Clone, Copy)]
pub struct LeafEnd<'end> {
    /// The request.
    pub digest: RequestDigest,
    /// Name of its route.
    pub route: &'end str,
    /// The leaf.
    pub leaf: &'end LeafIdentity,
    /// When the request was sent to it.
    pub sent: Timestamp,
    /// Whether the request was under way at no other leaf meanwhile.
    pub alone: bool,
}

/// What is held of one request.
#[derive(Debug)]
struct Suspect {
    route: String,
    /// Leaves that this broker saw end under it.
    seen: BTreeSet<LeafIdentity>,
    /// Leaves that ended under it, as far as is known.
    leaves: u32,
    /// Since when it is known that a leaf has ended under it.
    since: Timestamp,
    /// From when on a trial may be asked for, and how long that takes; none where it is not refused.
    refusal: Option<(Timestamp, Duration)>,
    /// Whether the control tier has the refusal in its replicated state.
    recorded: bool,
    /// Whether others were told that it is suspected, or have told so.
    told: bool,
    forgotten_at: Timestamp,
}

/// The requests under which leaves have ended.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Leaves that ended under requests of a route, and when, since a request of the route was refused last.
    unexplained: BTreeMap<String, BTreeMap<LeafIdentity, Timestamp>>,
}

impl CrashSuspects {
    /// Whether nothing is held of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.unexplained.is_empty()
    }

    /// How a request of a route is to be sent.
    pub fn send_policy(&self, now: Timestamp, route: &str, digest: RequestDigest) -> SendPolicy {
        match self.suspects.get(&digest).filter(|suspect| now < suspect.forgotten_at) {
            Some(Suspect { refusal: Some((until, _)), .. }) if now < *until => {
                SendPolicy::Refused { until: *until }
            }
            Some(Suspect { refusal: Some(_), .. }) => SendPolicy::TrialDue,
            Some(_) => SendPolicy::Suspected,
            None if self.sends_canaries(now, route) => SendPolicy::Canary,
            None => SendPolicy::Unrestricted,
        }
    }

    /// Whether so many requests of a route have crashed leaves that all of them go to few leaves first.
    fn sends_canaries(&self, now: Timestamp, route: &str) -> bool {
        let lately = |at: &&Timestamp| now.since(**at) < UNEXPLAINED_LIFE;
        let ends = self.unexplained.get(route).into_iter().flat_map(BTreeMap::values);
        if ends.filter(lately).take(UNEXPLAINED_FOR_CANARIES).count() >= UNEXPLAINED_FOR_CANARIES {
            return true;
        }
        let refused = |suspect: &&Suspect| {
            let lately = |(until, _): (Timestamp, Duration)| now < until.after(SUSPICION_LIFE);
            suspect.refusal.is_some_and(lately) && suspect.route == route
        };
        self.suspects.values().filter(refused).take(REFUSED_FOR_CANARIES).count()
            >= REFUSED_FOR_CANARIES
    }

    /// Whether a request is to be sent to nobody, but for a trial that is granted.
    pub fn is_refused(&self, now: Timestamp, digest: RequestDigest) -> bool {
        let suspect = self.suspects.get(&digest).filter(|suspect| now < suspect.forgotten_at);
        suspect.is_some_and(|suspect| suspect.refusal.is_some())
    }

    /// How many requests are refused.
    pub fn refused(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.refusal.is_some()).count()
    }

    /// What is held of a refused request; none where it is not refused.
    pub fn refusal(&self, now: Timestamp, digest: RequestDigest) -> Option<CrashFinding> {
        let suspect = self.suspects.get(&digest)?;
        let (until, _) = suspect.refusal?;
        Some(suspect.finding(digest, Verdict::Refused, until.since(now)))
    }

    /// The refusals that the control tier does not have yet, as far as is known here.
    pub fn unrecorded(&self, now: Timestamp) -> Vec<CrashFinding> {
        let unrecorded = self.suspects.iter().filter(|(_, suspect)| !suspect.recorded);
        unrecorded.filter_map(|(digest, _)| self.refusal(now, *digest)).collect()
    }

    /// Forgets what has ended; gives the routes whose requests all go to few leaves first.
    pub fn canary_routes(&mut self, now: Timestamp) -> BTreeSet<String> {
        self.forget(now);
        let suspected = self.suspects.values().map(|suspect| suspect.route.as_str());
        let routes = suspected.chain(self.unexplained.keys().map(String::as_str));
        routes.filter(|route| self.sends_canaries(now, route)).map(str::to_owned).collect()
    }

    /// A leaf has ended under a request. Gives what others are to be told.
    pub fn leaf_ended(&mut self, now: Timestamp, end: LeafEnd<'_>) -> Option<CrashFinding> {
        self.forget(now);
        self.make_room(end.digest);
        let suspect =
            self.suspects.entry(end.digest).or_insert_with(|| Suspect::new(end.route, now));
        suspect.add(now, end.leaf);
        if suspect.refused_until(now).is_some() {
            return None;
        }
        let ends = self.unexplained.entry(end.route.to_owned()).or_default();
        if ends.len() < KEPT_LEAVES {
            ends.insert(end.leaf.clone(), now);
        }
        // What was sent before the first end says nothing more: leaves that end together do so with the
        // same requests under way.
        let is_canary = end.alone && end.sent >= suspect.since;
        if is_canary && suspect.leaves >= LEAVES_TO_REFUSE {
            let life = suspect.refuse(now);
            self.unexplained.remove(end.route);
            return Some(suspect.finding(end.digest, Verdict::Refused, life));
        }
        if suspect.leaves >= LEAVES_TO_TELL && !std::mem::replace(&mut suspect.told, true) {
            return Some(suspect.finding(end.digest, Verdict::Suspected, SUSPICION_LIFE));
        }
        None
    }

    /// A leaf has replied to a request, which has thus not crashed it. Gives what was held of it: [`Verdict::Cleared`],
    /// which others are to be told, where it was refused.
    pub fn replied(&mut self, digest: RequestDigest) -> Option<CrashFinding> {
        let suspect = self.suspects.remove(&digest)?;
        let verdict = match suspect.refusal {
            Some(_) => Verdict::Cleared,
            None => Verdict::Suspected,
        };
        Some(suspect.finding(digest, verdict, SUSPICION_LIFE))
    }

    /// Another broker's finding; gives whether it is news.
    pub fn apply_finding(&mut self, now: Timestamp, finding: &CrashFinding) -> bool {
        self.forget(now);
        self.make_room(finding.digest);
        let life = Duration::from_millis(finding.for_ms.into());
        let suspect = self.suspects.entry(finding.digest);
        let suspect = suspect.or_insert_with(|| Suspect::new(&finding.route, now));
        suspect.leaves = suspect.leaves.max(finding.leaves);
        let was_told = std::mem::replace(&mut suspect.told, true);
        match finding.verdict {
            Verdict::Suspected => {
                suspect.forgotten_at = suspect.forgotten_at.max(now.after(life));
                !was_told
            }
            Verdict::Refused => {
                let is_news = suspect.refused_by_others(now, life);
                self.unexplained.remove(&finding.route);
                is_news
            }
            Verdict::Cleared => self.suspects.remove(&finding.digest).is_some(),
        }
    }

    /// The control tier has this in its replicated state, as all that it has if it `is_whole`; gives whether it is news.
    pub fn recorded(&mut self, now: Timestamp, findings: &[CrashFinding], is_whole: bool) -> bool {
        let mut is_news = false;
        if is_whole {
            let listed: BTreeSet<RequestDigest> =
                findings.iter().map(|finding| finding.digest).collect();
            let before = self.suspects.len();
            self.suspects.retain(|digest, suspect| !suspect.recorded || listed.contains(digest));
            is_news = self.suspects.len() < before;
        }
        for finding in findings {
            is_news |= self.apply_finding(now, finding);
            if let Some(suspect) = self.suspects.get_mut(&finding.digest) {
                let life = Duration::from_millis(finding.for_ms.into());
                suspect.refuse_for(now, life);
                suspect.recorded = true;
            }
        }
        is_news
    }

    /// Forgets what has ended.
    fn forget(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| now < suspect.forgotten_at);
        self.unexplained.retain(|_, ends| {
            ends.retain(|_, at| now.since(*at) < UNEXPLAINED_LIFE);
            !ends.is_empty()
        });
    }

    /// Drops what is forgotten soonest where there is no room for one more.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.suspects.len() < MOST_SUSPECTS || self.suspects.contains_key(&digest) {
            return;
        }
        let soonest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.forgotten_at);
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
            told: false,
            forgotten_at: now.after(SUSPICION_LIFE),
        }
    }

    /// A leaf has ended under it.
    fn add(&mut self, now: Timestamp, leaf: &LeafIdentity) {
        self.forgotten_at = self.forgotten_at.max(now.after(SUSPICION_LIFE));
        if self.seen.contains(leaf) {
            return;
        }
        if self.seen.len() < KEPT_LEAVES {
            self.seen.insert(leaf.clone());
        }
        self.leaves = self.leaves.saturating_add(1);
    }

    fn refused_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.refusal.map(|(until, _)| until).filter(|until| now < *until)
    }

    /// Refuses it: each time for twice as long as the time before.
    fn refuse(&mut self, now: Timestamp) -> Duration {
        let doubled =
            |(_, life): (Timestamp, Duration)| (life * 2).clamp(FIRST_REFUSAL, LONGEST_REFUSAL);
        let life = self.refusal.map_or(FIRST_REFUSAL, doubled);
        self.refuse_for(now, life);
        self.recorded = false;
        life
    }

    /// Gives whether it was not refused for about as long already.
    fn refused_by_others(&mut self, now: Timestamp, life: Duration) -> bool {
        let is_news = self.refused_until(now).is_none_or(|until| until < now.after(life / 2));
        if is_news {
            self.refuse_for(now, life);
        }
        is_news
    }

    fn refuse_for(&mut self, now: Timestamp, life: Duration) {
        self.refusal = Some((now.after(life), life));
        self.told = true;
        self.forgotten_at = now.after(REFUSAL_RETENTION);
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
