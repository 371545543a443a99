//! Evaluation of a version by comparing its answers to those of present leaves.
//!
//! An answer is bad if it reports a failure, or if its latency is several times the median of
//! present leaves in the same stratum. A cause that affects leaves of both versions (a zone outage,
//! a burst, a slow shard) makes the same share of both bad. Fisher's exact test accounts for that,
//! also with small counts.

use std::collections::{BTreeMap, BTreeSet};

use statrs::distribution::{Binomial, DiscreteCDF, Hypergeometric};

use super::evidence::{Evidence, OutcomeCounts, Stratum};
use super::latency_bucket::LatencyBucket;
use super::stage::RollBackCause;
use crate::identifiers::LeafIdentity;

/// Latency of a slow answer as a multiple of the median. Leaves that have just started are up to
/// twice as slow, and a first request opens a connection.
const SLOW_FACTOR: f64 = 4.0;
/// Minimum answers of present leaves for a median.
const MIN_MEDIAN_ANSWERS: u32 = 10;

/// Significance level for a rollback. It is low because a rollout runs some hundred tests.
const ROLLBACK_LEVEL: f64 = 1e-4;
/// Significance level of the confirming test without the worst leaf of the version.
const CONFIRMATION_LEVEL: f64 = 1e-4;
/// Significance level at which a single route keeps a version from being healthy.
const SUSPICION_LEVEL: f64 = 0.01;
/// Minimum answers of a version's only responding leaf before it counts for the version: that leaf
/// alone may be faulty, and others may be starting.
const MIN_SINGLE_LEAF_ANSWERS: u64 = 20;
/// Excess share of bad answers over present leaves that callers would notice.
const NOTICEABLE_EXCESS: f64 = 0.1;

/// Excess share of bad answers over present leaves that a healthy version stays below.
const TOLERABLE_EXCESS: f64 = 0.15;
/// Probability that a version with an intolerable excess is evaluated as healthy.
const FALSE_PASS_RATE: f64 = 0.05;

/// Number of answers, and of the bad ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All answers.
    pub all: u64,
    /// Answers that reported failures.
    pub failed: u64,
    /// Slow answers, including those that never came.
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
        // A request that was abandoned early says nothing about latency.
        let never_came: u32 = count(tally.given_up.iter().filter(|(bucket, _)| is_slow(bucket)));
        self.all += u64::from(tally.answers() + tally.failed + never_came);
        self.failed += u64::from(tally.failed);
        self.slow += u64::from(slow + never_came);
    }
}

fn count<'counts>(counts: impl Iterator<Item = (&'counts LatencyBucket, &'counts u32)>) -> u32 {
    counts.map(|(_, count)| count).sum()
}

/// Answers of present leaves and of the target version to comparable requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Answers of present leaves.
    pub present: AnswerCounts,
    /// Answers of the target version.
    pub target: AnswerCounts,
}

impl Comparison {
    /// The p-value: probability of at least as many bad answers of the target version if it is no
    /// worse than present leaves.
    fn p_value(&self) -> f64 {
        let (all, bad) =
            (self.present.all + self.target.all, self.present.bad() + self.target.bad());
        if self.target.bad() == 0 || all == 0 {
            return 1.0;
        }
        let drawn = Hypergeometric::new(all, bad, self.target.all);
        drawn.map_or(1.0, |drawn| drawn.sf(self.target.bad() - 1))
    }

    fn is_worse(&self, level: f64) -> bool {
        let excess = self.target.bad_share() - self.present.bad_share();
        excess >= NOTICEABLE_EXCESS && self.p_value() < level
    }

    /// Whether a version with an intolerable excess would be unlikely to have so few bad answers.
    fn is_no_worse(&self) -> bool {
        let intolerable = (self.present.bad_share() + TOLERABLE_EXCESS).min(1.0);
        let worse = Binomial::new(intolerable, self.target.all);
        worse.is_ok_and(|worse| worse.cdf(self.target.bad()) < FALSE_PASS_RATE)
    }

    /// The larger contribution to the difference: failures or slowness.
    fn cause(&self) -> RollBackCause {
        let share = |part: u64, counts: AnswerCounts| part as f64 / counts.all.max(1) as f64;
        let failing =
            share(self.target.failed, self.target) - share(self.present.failed, self.present);
        let slow = share(self.target.slow, self.target) - share(self.present.slow, self.present);
        if failing >= slow { RollBackCause::Failing } else { RollBackCause::Slow }
    }
}

/// The result of an evaluation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There are too few answers, or they are contradictory.
    Inconclusive,
    /// The version is no worse than present leaves.
    Healthy,
    /// The version is worse than present leaves.
    Regressed(RollBackCause),
}

/// Evaluates a version by all answers so far: over all routes, and on each route, since a fault may
/// affect only one.
pub fn evaluate(evidence: &Evidence) -> Verdict {
    let routes: BTreeSet<&str> =
        evidence.target.keys().map(|stratum| stratum.route.as_str()).collect();
    let on_routes = routes.iter().map(|route| Some(*route));
    let bad = std::iter::once(None).chain(on_routes.clone()).find_map(|route| bad(evidence, route));
    if let Some(cause) = bad {
        return Verdict::Regressed(cause);
    }
    let suspect =
        on_routes.into_iter().any(|route| compare(evidence, route).is_worse(SUSPICION_LEVEL));
    match !suspect && compare(evidence, None).is_no_worse() {
        true => Verdict::Healthy,
        false => Verdict::Inconclusive,
    }
}

/// Compares the answers on a route, or on all routes.
pub fn compare(evidence: &Evidence, route: Option<&str>) -> Comparison {
    compare_without(evidence, route, None)
}

fn bad(evidence: &Evidence, route: Option<&str>) -> Option<RollBackCause> {
    let whole = compare(evidence, route);
    if !whole.is_worse(ROLLBACK_LEVEL) {
        return None;
    }
    let is_bad = match worst_leaf(evidence, route) {
        Some(worst) => compare_without(evidence, route, Some(worst)).is_worse(CONFIRMATION_LEVEL),
        None => whole.target.all >= MIN_SINGLE_LEAF_ANSWERS,
    };
    is_bad.then(|| whole.cause())
}

/// The leaf of the version with the most bad answers on a route; none if there is only one leaf.
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

/// The latency bucket from which on an answer is slow; none while the median is unknown.
fn slow_from(present: &OutcomeCounts) -> Option<LatencyBucket> {
    let answers = present.answers();
    if answers < MIN_MEDIAN_ANSWERS {
        return None;
    }
    let mut counted = 0;
    let median = present.answered.iter().find(|(_, count)| {
        counted += **count;
        counted * 2 >= answers
    });
    median.map(|(bucket, _)| bucket.times(SLOW_FACTOR))
}
