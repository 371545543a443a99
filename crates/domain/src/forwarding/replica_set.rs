//! The leaves of one service as one broker sees them, and the choice of one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::eligibility::{Exclusion, Exclusions, NoLeafReason};
use super::load_report::LoadReport;
use super::replica::{Distance, Outcome, Replica};
use super::signs_of_life::LifeStep;
use crate::directory::ListedLeaf;
use crate::identifiers::LeafIdentity;
use crate::leaf_warnings::WarningCause;
use crate::time::Timestamp;

/// Share by which costs are varied at random, so that brokers do not all choose alike.
const COST_VARIATION: f64 = 0.1;
/// Weight of one answer in the ordinary latency of a service.
const ORDINARY_SMOOTHING: f64 = 0.05;
/// Most that one answer counts, in ordinary latencies: a few slow leaves do not make it ordinary.
const LARGEST_SAMPLE: f64 = 3.0;

/// Time for which an answer of a leaf speaks against the word of others that it refuses requests.
const OWN_WORD: Duration = Duration::from_millis(500);

/// Time after the end of a leaf from which on another one may have its address, where settings say
/// nothing else: platforms that hand addresses out anew do so after seconds.
const DEFAULT_ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// The same of how long the list names a leaf that has ended: twice the five seconds that were seen.
const DEFAULT_LIST_LAG: Duration = Duration::from_secs(10);

/// Bounds of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSettings {
    /// Latency that is assumed of a service of which nothing is known.
    pub baseline_latency: Duration,
    /// Time after which an observation counts little.
    pub observation_decay: Duration,
    /// What another zone of the region costs.
    pub region_cost: Duration,
    /// What another region costs.
    pub far_cost: Duration,
    /// What a new connection costs in the own zone, and to another region.
    pub connect_cost: [Duration; 2],
    /// How much occupied slots count.
    pub in_flight_weight: f64,
    /// Time for which a failing leaf is left out at first.
    pub ejection: Duration,
    /// Time for which a leaf that owes an answer is asked last, at first.
    pub suspicion: Duration,
    /// Time for which a leaf that refused work is asked last.
    pub rejection_pause: Duration,
    /// Time after the end of a leaf from which on another one may have its address.
    pub address_reuse: Duration,
    /// Longest time for which the list goes on naming a leaf that has ended.
    pub list_lag: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            baseline_latency: Duration::from_millis(30),
            observation_decay: Duration::from_secs(2),
            region_cost: Duration::from_millis(10),
            far_cost: Duration::from_millis(60),
            connect_cost: [Duration::from_millis(3), Duration::from_millis(30)],
            in_flight_weight: 0.5,
            ejection: Duration::from_millis(500),
            suspicion: Duration::from_millis(300),
            rejection_pause: Duration::from_millis(100),
            address_reuse: DEFAULT_ADDRESS_REUSE,
            list_lag: DEFAULT_LIST_LAG,
        }
    }
}

impl ReplicaSettings {
    pub(super) fn connect_cost(&self, distance: Distance) -> f64 {
        let [near, far] = self.connect_cost;
        match distance {
            Distance::Far => far.as_secs_f64(),
            Distance::Zone | Distance::Region => near.as_secs_f64(),
        }
    }

    pub(super) fn distance_cost(&self, distance: Distance) -> Duration {
        match distance {
            Distance::Zone => Duration::ZERO,
            Distance::Region => self.region_cost,
            Distance::Far => self.far_cost,
        }
    }
}

/// How good a choice is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Sound,
    Suspect,
}

/// What a request to a leaf would be sent over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// A connection that lies ready.
    Idle,
    /// A connection that is still to be opened.
    Openable,
    /// Nothing: this broker uses all connections to the leaf that it may open.
    Exhausted,
}

/// A chosen leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The leaf.
    pub leaf: LeafIdentity,
    /// Whether it answered as expected lately, as far as is known.
    pub sound: bool,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    /// Ask this leaf.
    Ask(Choice),
    /// Wait for a connection: a leaf to which none can be had now is better than all others.
    Wait {
        /// The leaf to ask where there is no time to wait.
        otherwise: Option<Choice>,
    },
    /// No leaf can be asked.
    NoLeaf(NoLeafReason),
}

/// A leaf with what speaks for it, the less the better.
type Candidate<'set> = (Tier, f64, &'set LeafIdentity);

/// Leaves that have missed, by what to do about them.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnresponsiveLeaves {
    /// A connection is to be opened to each, to learn whether it is there.
    pub to_check: Vec<LeafIdentity>,
    /// They are presumed to have ended from now on.
    pub presumed_ended: Vec<LeafIdentity>,
}

/// The leaves of one service.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    replicas: BTreeMap<LeafIdentity, Replica>,
    /// Those of them that have missed and may have given no sign of life since.
    missing: BTreeSet<LeafIdentity>,
    /// What an answer of this service ordinarily takes, in seconds; none before the first.
    ordinary: Option<f64>,
}

impl ReplicaSet {
    /// Takes over what the directory says of a leaf; gives whether it is new.
    pub fn list(&mut self, now: Timestamp, leaf: &ListedLeaf, distance: Distance) -> bool {
        let known = self.replicas.len();
        let replica = self.replicas.entry(leaf.identity.clone());
        replica.or_insert_with(|| Replica::new(now, leaf, distance)).list(now, leaf, distance);
        self.replicas.len() > known
    }

    /// Forgets the leaves that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&LeafIdentity) -> bool) {
        self.replicas.retain(|identity, _| keep(identity));
    }

    /// The leaves that are known.
    pub fn identities(&self) -> impl Iterator<Item = &LeafIdentity> {
        self.replicas.keys()
    }

    /// Whether a leaf is there, as far as is known, and not left out for its failures.
    pub fn is_in_service(
        &self,
        leaf: &LeafIdentity,
        now: Timestamp,
        settings: &ReplicaSettings,
    ) -> bool {
        self.replicas.get(leaf).is_some_and(|replica| replica.is_there(now, settings))
    }

    /// Whether no leaf is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Chooses a leaf other than those of `tried`. `reach` tells by what a leaf is reached, or why
    /// the request may not go there; `variation` gives numbers from 0 to 1.
    pub fn choose(
        &self,
        now: Timestamp,
        settings: &ReplicaSettings,
        tried: &[LeafIdentity],
        reach: impl Fn(&LeafIdentity) -> Result<Connectivity, Exclusion>,
        mut variation: impl FnMut() -> f64,
    ) -> Selection {
        let ordinary = self.ordinary(settings);
        let (mut best, mut exhausted): (Option<Candidate>, Option<Candidate>) = (None, None);
        let mut left_out = Exclusions::default();
        // Where all leaves of a service seem to have ended, the cause may be this broker's own link.
        let any_there = self.replicas.values().any(|replica| replica.is_there(now, settings));
        for (identity, replica) in &self.replicas {
            let presumed_ended = any_there && replica.is_presumed_ended(now, settings);
            let eligible = eligible(identity, replica, now, presumed_ended, tried, &reach);
            let connectivity = match eligible {
                Ok(connectivity) => connectivity,
                Err(reason) => {
                    left_out.add(reason);
                    continue;
                }
            };
            let tier = tier(replica, now);
            let cost = replica.expected_cost(now, settings, ordinary)
                + replica.connection_cost(settings, ordinary, connectivity);
            let candidate = (tier, cost * (1.0 + COST_VARIATION * variation()), identity);
            match connectivity {
                Connectivity::Exhausted => keep_better(&mut exhausted, candidate),
                Connectivity::Idle | Connectivity::Openable => keep_better(&mut best, candidate),
            }
        }
        match (best, exhausted) {
            (None, None) => Selection::NoLeaf(left_out.reason()),
            (Some(best), None) => Selection::Ask(Choice::from(best)),
            (Some(best), Some(exhausted)) if !is_better(exhausted, best) => {
                Selection::Ask(Choice::from(best))
            }
            (best, Some(_)) => Selection::Wait { otherwise: best.map(Choice::from) },
        }
    }

    /// An attempt at a leaf begins.
    pub fn begin(&mut self, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.in_flight += 1;
        }
    }

    /// Somebody took a connection at a leaf's address.
    pub fn record_connection_accepted(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        leaf: &LeafIdentity,
    ) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.life.took_connection(now, settings);
        }
    }

    /// Nobody listens at a leaf's address.
    pub fn record_connection_refused(&mut self, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.life.refused_connection();
        }
    }

    /// What to do about the leaves that have missed.
    pub fn check_unresponsive(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
    ) -> UnresponsiveLeaves {
        let mut found = UnresponsiveLeaves::default();
        let replicas = &mut self.replicas;
        self.missing.retain(|leaf| {
            let replica = replicas.get_mut(leaf).filter(|replica| !replica.is_address_taken());
            let step = replica.map_or(LifeStep::Settled, |known| known.life.step(now, settings));
            match step {
                LifeStep::Check => found.to_check.push(leaf.clone()),
                LifeStep::PresumedEnded => found.presumed_ended.push(leaf.clone()),
                LifeStep::Settled | LifeStep::Wait => {}
            }
            step != LifeStep::Settled
        });
        found
    }

    /// An attempt has waited longer than expected.
    pub fn mark_late(&mut self, now: Timestamp, settings: &ReplicaSettings, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.mark_late(now, settings);
            self.missing.insert(leaf.clone());
        }
    }

    /// An attempt got no answer in the whole time that it had.
    pub fn mark_silent(&mut self, now: Timestamp, settings: &ReplicaSettings, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.mark_silent(now, settings);
            self.missing.insert(leaf.clone());
        }
    }

    /// Many brokers find a leaf slow, failing or refusing: it is asked last until then. An ordinary answer to this
    /// broker shows that it is not slow any more. One that has just answered this broker is not taken for refusing:
    /// where a broker asks a leaf that often, its own word is the better one, and others would all turn away at once.
    pub fn warn(
        &mut self,
        now: Timestamp,
        leaf: &LeafIdentity,
        cause: WarningCause,
        until: Timestamp,
    ) {
        let Some(replica) = self.replicas.get_mut(leaf) else {
            return;
        };
        match cause {
            WarningCause::Slow => replica.slow_until = until,
            WarningCause::Failing => replica.failing_until = until,
            WarningCause::Refusing => {
                if !replica.has_answered_within(OWN_WORD, now) {
                    replica.failing_until = replica.failing_until.max(until);
                }
            }
        }
    }

    /// A leaf said on an answer how loaded it is.
    pub fn record_load(&mut self, now: Timestamp, leaf: &LeafIdentity, report: LoadReport) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.load.observe(now, report);
        }
    }

    /// The load that a leaf reported lately.
    pub fn load(&self, now: Timestamp, leaf: &LeafIdentity) -> Option<LoadReport> {
        self.replicas.get(leaf)?.load.current(now)
    }

    /// An attempt at a leaf has ended.
    pub fn finish(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        leaf: &LeafIdentity,
        outcome: Outcome,
    ) {
        let ordinary = self.ordinary(settings);
        if let Outcome::Answered(latency) = outcome {
            let sample = latency.as_secs_f64().min(ordinary * LARGEST_SAMPLE);
            self.ordinary = Some(ordinary + ORDINARY_SMOOTHING * (sample - ordinary));
        }
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.finish(now, settings, ordinary, outcome);
            if matches!(outcome, Outcome::Failed | Outcome::ConnectionRefused) {
                self.missing.insert(leaf.clone());
            }
        }
    }

    fn ordinary(&self, settings: &ReplicaSettings) -> f64 {
        self.ordinary.unwrap_or(settings.baseline_latency.as_secs_f64())
    }
}

impl From<Candidate<'_>> for Choice {
    fn from((tier, _, leaf): Candidate<'_>) -> Self {
        Self { leaf: leaf.clone(), sound: tier == Tier::Sound }
    }
}

fn is_better(candidate: Candidate, than: Candidate) -> bool {
    candidate.0 < than.0 || (candidate.0 == than.0 && candidate.1 < than.1)
}

fn keep_better<'set>(best: &mut Option<Candidate<'set>>, candidate: Candidate<'set>) {
    if best.is_none_or(|best| is_better(candidate, best)) {
        *best = Some(candidate);
    }
}

/// By what a leaf is reached, or why it may not be asked.
fn eligible(
    identity: &LeafIdentity,
    replica: &Replica,
    now: Timestamp,
    presumed_ended: bool,
    tried: &[LeafIdentity],
    reach: impl Fn(&LeafIdentity) -> Result<Connectivity, Exclusion>,
) -> Result<Connectivity, NoLeafReason> {
    if replica.leaving {
        return Err(NoLeafReason::Excluded(Exclusion::Leaving));
    }
    if replica.is_address_taken() {
        return Err(NoLeafReason::Excluded(Exclusion::AddressTaken));
    }
    if tried.contains(identity) {
        return Err(NoLeafReason::AllTried);
    }
    let connectivity = reach(identity).map_err(NoLeafReason::Excluded)?;
    if replica.is_ejected(now) {
        return Err(NoLeafReason::Excluded(Exclusion::Ejected));
    }
    if presumed_ended {
        return Err(NoLeafReason::Excluded(Exclusion::PresumedEnded));
    }
    Ok(connectivity)
}

fn tier(replica: &Replica, now: Timestamp) -> Tier {
    if replica.is_suspect(now) { Tier::Suspect } else { Tier::Sound }
}
