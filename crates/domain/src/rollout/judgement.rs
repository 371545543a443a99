//! Whether a version is sound, by its answers beside those of present leaves.
//!
//! An answer is bad when it tells of a failure, or took several times as long as half of the answers of present leaves
//! to like requests. What ails leaves of both versions (a zone, a burst, a slow shard) makes as large a share of both
//! bad, which Fisher's exact test takes into account, also where counts are small.

use std::collections::{BTreeMap, BTreeSet};

use statrs::distribution::{Binomial, DiscreteCDF, Hypergeometric};

use super::evidence::{Evidence, OutcomeCounts, Stratum};
use super::latency_bucket::LatencyBucket;
use super::stage::RollBackCause;
use crate::identifiers::LeafIdentity;

/// How many times longer than usual an answer takes that is slow. Leaves that have just started are up to twice as
/// slow, and a first request opens a connection.
const SLOW_FACTOR: f64 = 4.0;
/// Answers of present leaves by which it is known what is usual.
const KNOWN_ANSWERS: u32 = 10;

/// Probability below which chance is no explanation: it is asked some hundred times in a roll-out.
const CERTAIN: f64 = 1e-4;
/// The same of what is left when the worst leaf of a version is left out, as a check on it.
const CONFIRMED: f64 = 1e-4;
/// The same of a route on which a version is not taken for sound.
const SUSPECT: f64 = 0.01;
/// Answers of a version of which only one leaf was heard, before that leaf counts for its version: it may ail by
/// itself, and others may be starting.
const ANSWERS_OF_ONE_LEAF: u64 = 20;
/// Share of bad answers beyond that of present leaves which callers would notice.
const NOTICEABLE: f64 = 0.1;

/// Share of bad answers beyond that of present leaves which a sound version does not have.
const TOLERABLE: f64 = 0.15;
/// Probability at which a version that is worse than tolerable passes for a sound one.
const LET_THROUGH: f64 = 0.05;

/// Answers, and how many of them were bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All of them.
    pub all: u64,
    /// Those that told of failures.
    pub failed: u64,
    /// Those that were slow.
    pub slow: u64,
}

impl AnswerCounts {
    fn bad(self) -> u64 {
        self.failed + self.slow
    }

    fn bad_share(self) -> f64 {
        if self.all == 0 { 0.0 } else { self.bad() as f64 / self.all as f64 }
    }

    fn add(&mut self, tally: &OutcomeCounts, slow_from: Option<LatencyBucket>) {
        let is_slow = |bucket: &LatencyBucket| slow_from.is_some_and(|from| *bucket >= from);
        let slow: u32 = count(tally.answered.iter().filter(|(bucket, _)| is_slow(bucket)));
        // One that was given up early says nothing.
        let never_came: u32 = count(tally.given_up.iter().filter(|(bucket, _)| is_slow(bucket)));
        self.all += u64::from(tally.answers() + tally.failed + never_came);
        self.failed += u64::from(tally.failed);
        self.slow += u64::from(slow + never_came);
    }
}

fn count<'counts>(counts: impl Iterator<Item = (&'counts LatencyBucket, &'counts u32)>) -> u32 {
    counts.map(|(_, count)| count).sum()
}

/// The answers of two versions to like requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Those of present leaves.
    pub present: AnswerCounts,
    /// Those of the version that is rolled out.
    pub target: AnswerCounts,
}

impl Comparison {
    /// Probability of as many bad answers of the version, or more, if it is no worse than present leaves.
    fn chance(&self) -> f64 {
        let (all, bad) =
            (self.present.all + self.target.all, self.present.bad() + self.target.bad());
        if self.target.bad() == 0 || all == 0 {
            return 1.0;
        }
        let drawn = Hypergeometric::new(all, bad, self.target.all);
        drawn.map_or(1.0, |drawn| drawn.sf(self.target.bad() - 1))
    }

    fn is_worse(&self, chance: f64) -> bool {
        let beyond = self.target.bad_share() - self.present.bad_share();
        beyond >= NOTICEABLE && self.chance() < chance
    }

    /// Whether a version that is worse than tolerable would hardly have had so few bad answers.
    fn is_no_worse(&self) -> bool {
        let intolerable = (self.present.bad_share() + TOLERABLE).min(1.0);
        let worse = Binomial::new(intolerable, self.target.all);
        worse.is_ok_and(|worse| worse.cdf(self.target.bad()) < LET_THROUGH)
    }

    /// Of failures and slowness, what makes more of the difference.
    fn cause(&self) -> RollBackCause {
        let share = |part: u64, counts: AnswerCounts| part as f64 / counts.all.max(1) as f64;
        let failing =
            share(self.target.failed, self.target) - share(self.present.failed, self.present);
        let slow = share(self.target.slow, self.target) - share(self.present.slow, self.present);
        if failing >= slow { RollBackCause::Failing } else { RollBackCause::Slow }
    }
}

/// What the answers say of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There are too few of them, or they are contradictory.
    Inconclusive,
    /// It is no worse than present leaves.
    Healthy,
    /// It is worse.
    Regressed(RollBackCause),
}

/// Judges a version by all answers so far: over all routes, and on each, since a fault may show on one only.
pub fn evaluate(evidence: &Evidence) -> Verdict {
    let routes: BTreeSet<&str> =
        evidence.target.keys().map(|stratum| stratum.route.as_str()).collect();
    let on_routes = routes.iter().map(|route| Some(*route));
    let bad = std::iter::once(None).chain(on_routes.clone()).find_map(|route| bad(evidence, route));
    if let Some(cause) = bad {
        return Verdict::Regressed(cause);
    }
    let suspect = on_routes.into_iter().any(|route| compare(evidence, route).is_worse(SUSPECT));
    match !suspect && compare(evidence, None).is_no_worse() {
        true => Verdict::Healthy,
        false => Verdict::Inconclusive,
    }
}

/// The answers to requests of a route, or of all.
pub fn compare(evidence: &Evidence, route: Option<&str>) -> Comparison {
    compare_without(evidence, route, None)
}

fn bad(evidence: &Evidence, route: Option<&str>) -> Option<RollBackCause> {
    let whole = compare(evidence, route);
    if !whole.is_worse(CERTAIN) {
        return None;
    }
    let is_bad = match worst_leaf(evidence, route) {
        Some(worst) => compare_without(evidence, route, Some(worst)).is_worse(CONFIRMED),
        None => whole.target.all >= ANSWERS_OF_ONE_LEAF,
    };
    is_bad.then(|| whole.cause())
}

/// Of several leaves of the version, the one with the most bad answers to requests of a route.
fn worst_leaf<'evidence>(
    evidence: &'evidence Evidence,
    route: Option<&str>,
) -> Option<&'evidence LeafIdentity> {
    let mut bad_of: BTreeMap<&LeafIdentity, u64> = BTreeMap::new();
    for (stratum, leaves) in &evidence.target {
        let slow_from = evidence.present.get(stratum).and_then(slow_from);
        for (leaf, tally) in leaves {
            let mut counts = AnswerCounts::default();
            if is_of(stratum, route) {
                counts.add(tally, slow_from);
            }
            *bad_of.entry(leaf).or_default() += counts.bad();
        }
    }
    let several = bad_of.len() > 1;
    let worst = bad_of.into_iter().max_by_key(|(_, bad)| *bad);
    worst.filter(|_| several).map(|(leaf, _)| leaf)
}

fn compare_without(
    evidence: &Evidence,
    route: Option<&str>,
    left_out: Option<&LeafIdentity>,
) -> Comparison {
    let mut comparison = Comparison::default();
    for (_, present) in evidence.present.iter().filter(|(one, _)| is_of(one, route)) {
        comparison.present.add(present, slow_from(present));
    }
    for (stratum, leaves) in evidence.target.iter().filter(|(one, _)| is_of(one, route)) {
        let slow_from = evidence.present.get(stratum).and_then(slow_from);
        for (_, tally) in leaves.iter().filter(|(leaf, _)| Some(*leaf) != left_out) {
            comparison.target.add(tally, slow_from);
        }
    }
    comparison
}

fn is_of(stratum: &Stratum, route: Option<&str>) -> bool {
    route.is_none_or(|route| stratum.route == route)
}

/// The class of latencies from which on an answer is slow; none while it is not known what is usual.
fn slow_from(present: &OutcomeCounts) -> Option<LatencyBucket> {
    let answers = present.answers();
    if answers < KNOWN_ANSWERS {
        return None;
    }
    let mut counted = 0;
    let median = present.answered.iter().find(|(_, count)| {
        counted += **count;
        counted * 2 >= answers
    });
    median.map(|(bucket, _)| bucket.times(SLOW_FACTOR))
}
