//! The leaves of one service as one broker sees them, and the selection of a leaf for an attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::eligibility::{Exclusion, Exclusions, NoLeafReason};
use super::liveness::LivenessStep;
use super::load_report::LoadReport;
use super::replica::{Distance, Outcome, Replica};
use crate::directory::ListedLeaf;
use crate::identifiers::LeafIdentity;
use crate::leaf_warnings::WarningCause;
use crate::time::Timestamp;

/// Relative random variation of costs, so that brokers do not all choose the same leaf.
const COST_VARIATION: f64 = 0.1;
/// Weight of one answer in the baseline latency of a service.
const BASELINE_SMOOTHING: f64 = 0.05;
/// Upper bound of a sample, as a multiple of the baseline latency: a few slow leaves do not raise
/// the baseline.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Time for which a leaf's answer to this broker overrides other brokers' warning that it refuses
/// requests.
const OWN_ANSWER_PRECEDENCE: Duration = Duration::from_millis(500);

/// Default of `address_reuse`: platforms that reassign addresses do so after seconds.
const DEFAULT_ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Default of `list_lag`: twice the five seconds observed.
const DEFAULT_LIST_LAG: Duration = Duration::from_secs(10);

/// Parameters of leaf selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSettings {
    /// Latency assumed for a service before its first answer.
    pub baseline_latency: Duration,
    /// Time constant by which an observed latency decays to the baseline.
    pub observation_decay: Duration,
    /// Cost of a leaf in another zone of the region.
    pub region_cost: Duration,
    /// Cost of a leaf in another region.
    pub far_cost: Duration,
    /// Cost of opening a connection within the region, and to another region.
    pub connect_cost: [Duration; 2],
    /// Weight of the share of occupied slots in the expected cost.
    pub in_flight_weight: f64,
    /// Initial ejection time of a failing leaf.
    pub ejection: Duration,
    /// Initial time for which a leaf with a late attempt is deprioritized.
    pub suspicion: Duration,
    /// Time for which a leaf that refused work is deprioritized.
    pub rejection_pause: Duration,
    /// Time after the end of a leaf from which another leaf may have its address.
    pub address_reuse: Duration,
    /// Longest time for which the directory keeps naming an ended leaf.
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

/// Preference class of a leaf; costs are compared only within a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Healthy,
    Suspect,
}

/// Availability of a connection to a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// An idle connection is available.
    Idle,
    /// A new connection may be opened.
    Openable,
    /// All connections that this broker may open to the leaf are in use.
    Exhausted,
}

/// A selected leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Identity of the leaf.
    pub leaf: LeafIdentity,
    /// Whether the leaf is not under suspicion.
    pub sound: bool,
}

/// Result of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    /// Send the request to this leaf.
    Ask(Choice),
    /// Wait for a connection: the best leaf has none available now.
    Wait {
        /// Fallback leaf when there is no time to wait.
        otherwise: Option<Choice>,
    },
    /// No leaf is eligible.
    NoLeaf(NoLeafReason),
}

/// A leaf with its preference class and cost; the least is selected.
type Candidate<'set> = (Tier, f64, &'set LeafIdentity);

/// Unresponsive leaves, by the action they need.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnresponsiveLeaves {
    /// Leaves to which a probe connection is to be opened.
    pub to_check: Vec<LeafIdentity>,
    /// Leaves that are presumed to have ended from now on.
    pub presumed_ended: Vec<LeafIdentity>,
}

/// The leaves of one service with their observed state.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    replicas: BTreeMap<LeafIdentity, Replica>,
    /// Leaves with a late or failed attempt, and possibly no sign of life since.
    unresponsive: BTreeSet<LeafIdentity>,
    /// Smoothed latency of the answers of this service in seconds, `None` before the first one.
    baseline: Option<f64>,
}

impl ReplicaSet {
    /// Applies a directory entry; returns whether the leaf is new.
    pub fn list(&mut self, now: Timestamp, leaf: &ListedLeaf, distance: Distance) -> bool {
        let known = self.replicas.len();
        let replica = self.replicas.entry(leaf.identity.clone());
        replica.or_insert_with(|| Replica::new(now, leaf, distance)).update(now, leaf, distance);
        self.replicas.len() > known
    }

    /// Removes the leaves for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&LeafIdentity) -> bool) {
        self.replicas.retain(|identity, _| keep(identity));
    }

    /// Identities of the known leaves.
    pub fn identities(&self) -> impl Iterator<Item = &LeafIdentity> {
        self.replicas.keys()
    }

    /// Whether a leaf is known and in service: not leaving, not ejected, its address not taken, and
    /// not presumed ended.
    pub fn is_in_service(
        &self,
        leaf: &LeafIdentity,
        now: Timestamp,
        settings: &ReplicaSettings,
    ) -> bool {
        self.replicas.get(leaf).is_some_and(|replica| replica.is_in_service(now, settings))
    }

    /// Whether no leaf is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Selects a leaf that is not in `tried`. `reach` gives the availability of a connection or the
    /// reason why the request may not go to a leaf; `variation` gives random numbers from 0 to 1.
    pub fn choose(
        &self,
        now: Timestamp,
        settings: &ReplicaSettings,
        tried: &[LeafIdentity],
        reach: impl Fn(&LeafIdentity) -> Result<Connectivity, Exclusion>,
        mut variation: impl FnMut() -> f64,
    ) -> Selection {
        let baseline = self.baseline(settings);
        let (mut best, mut exhausted): (Option<Candidate>, Option<Candidate>) = (None, None);
        let mut exclusions = Exclusions::default();
        // When all leaves of a service seem to have ended, the cause may be this broker's own
        // network link, so that none is excluded for it.
        let any_in_service =
            self.replicas.values().any(|replica| replica.is_in_service(now, settings));
        for (identity, replica) in &self.replicas {
            let presumed_ended = any_in_service && replica.is_presumed_ended(now, settings);
            let eligible = eligible(identity, replica, now, presumed_ended, tried, &reach);
            let connectivity = match eligible {
                Ok(connectivity) => connectivity,
                Err(reason) => {
                    exclusions.add(reason);
                    continue;
                }
            };
            let tier = tier(replica, now);
            let cost = replica.expected_cost(now, settings, baseline)
                + replica.connection_cost(settings, baseline, connectivity);
            let candidate = (tier, cost * (1.0 + COST_VARIATION * variation()), identity);
            match connectivity {
                Connectivity::Exhausted => keep_better(&mut exhausted, candidate),
                Connectivity::Idle | Connectivity::Openable => keep_better(&mut best, candidate),
            }
        }
        match (best, exhausted) {
            (None, None) => Selection::NoLeaf(exclusions.reason()),
            (Some(best), None) => Selection::Ask(Choice::from(best)),
            (Some(best), Some(exhausted)) if !is_better(exhausted, best) => {
                Selection::Ask(Choice::from(best))
            }
            (best, Some(_)) => Selection::Wait { otherwise: best.map(Choice::from) },
        }
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.in_flight += 1;
        }
    }

    /// Records that a connection to a leaf's address was accepted.
    pub fn record_connection_accepted(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        leaf: &LeafIdentity,
    ) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.liveness.record_connection_accepted(now, settings);
        }
    }

    /// Records that a leaf's address refused a connection.
    pub fn record_connection_refused(&mut self, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.liveness.record_connection_refused();
        }
    }

    /// Returns the unresponsive leaves that need a probe or are newly presumed to have ended.
    pub fn check_unresponsive(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
    ) -> UnresponsiveLeaves {
        let mut found = UnresponsiveLeaves::default();
        let replicas = &mut self.replicas;
        self.unresponsive.retain(|leaf| {
            let replica = replicas.get_mut(leaf).filter(|replica| !replica.is_address_taken());
            let step =
                replica.map_or(LivenessStep::Settled, |known| known.liveness.step(now, settings));
            match step {
                LivenessStep::Probe => found.to_check.push(leaf.clone()),
                LivenessStep::PresumedEnded => found.presumed_ended.push(leaf.clone()),
                LivenessStep::Settled | LivenessStep::Wait => {}
            }
            step != LivenessStep::Settled
        });
        found
    }

    /// Records that an attempt has exceeded its expected latency.
    pub fn mark_late(&mut self, now: Timestamp, settings: &ReplicaSettings, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.mark_late(now, settings);
            self.unresponsive.insert(leaf.clone());
        }
    }

    /// Records that an attempt got no answer within its deadline.
    pub fn mark_silent(&mut self, now: Timestamp, settings: &ReplicaSettings, leaf: &LeafIdentity) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.mark_silent(now, settings);
            self.unresponsive.insert(leaf.clone());
        }
    }

    /// Deprioritizes a leaf until `until` because other brokers find it slow, failing or refusing.
    /// An answer at normal latency to this broker ends a warning of slowness. A leaf that has just
    /// answered this broker is not taken for refusing: a broker that asks a leaf that often has
    /// better evidence of its own, and all brokers would turn away from the leaf at once.
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
                if !replica.has_answered_within(OWN_ANSWER_PRECEDENCE, now) {
                    replica.failing_until = replica.failing_until.max(until);
                }
            }
        }
    }

    /// Records the load that a leaf reported with an answer.
    pub fn record_load(&mut self, now: Timestamp, leaf: &LeafIdentity, report: LoadReport) {
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.load.observe(now, report);
        }
    }

    /// The latest load report of a leaf, while it is current.
    pub fn load(&self, now: Timestamp, leaf: &LeafIdentity) -> Option<LoadReport> {
        self.replicas.get(leaf)?.load.current(now)
    }

    /// Records the outcome of an attempt.
    pub fn finish(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
        leaf: &LeafIdentity,
        outcome: Outcome,
    ) {
        let baseline = self.baseline(settings);
        if let Outcome::Answered(latency) = outcome {
            let sample = latency.as_secs_f64().min(baseline * MAX_SAMPLE_RATIO);
            self.baseline = Some(baseline + BASELINE_SMOOTHING * (sample - baseline));
        }
        if let Some(replica) = self.replicas.get_mut(leaf) {
            replica.finish(now, settings, baseline, outcome);
            if matches!(outcome, Outcome::Failed | Outcome::ConnectionRefused) {
                self.unresponsive.insert(leaf.clone());
            }
        }
    }

    fn baseline(&self, settings: &ReplicaSettings) -> f64 {
        self.baseline.unwrap_or(settings.baseline_latency.as_secs_f64())
    }
}

impl From<Candidate<'_>> for Choice {
    fn from((tier, _, leaf): Candidate<'_>) -> Self {
        Self { leaf: leaf.clone(), sound: tier == Tier::Healthy }
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

/// Checks whether a leaf may be asked; returns the availability of its connection.
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
    if replica.is_suspect(now) { Tier::Suspect } else { Tier::Healthy }
}
