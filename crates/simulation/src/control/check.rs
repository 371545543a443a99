//! Checks of a history against the guarantees of the control tier, independent of the code under
//! test.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRefusal, CommandId, Target};
use gingerkeel_domain::consensus::LogIndex;
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;

use super::broker::BrokerIndex;
use super::history::{BrokerSample, CommandRecord, FinalState, History};

/// Maximum time until an accepted change is in force at every serving broker.
const IN_FORCE_BOUND: Duration = Duration::from_secs(7);

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Members applied different commands at the same log index.
    StatesDiverge(LogIndex),
    /// A broker served with a configuration that had been outdated for longer than the limit.
    NotInForce(BrokerIndex, Revision),
    /// A broker reverted to an older configuration.
    Reverted(BrokerIndex, Revision),
    /// An accepted change is missing from the final state or has another revision there.
    AcceptedLost(CommandId),
    /// A change was applied more than once.
    CarriedOutTwice(CommandId),
    /// The outcomes reported for a command differ.
    OutcomesDiffer(CommandId),
    /// Two changes of the same target, based on the same revision, were both accepted.
    ConflictAccepted(CommandId),
    /// A conflict reply does not name the session of the accepted change.
    WrongWinner(CommandId),
    /// No outcome was reported for a command.
    NoOutcome(CommandId),
    /// The final states of the machines differ.
    FinalStatesDiffer,
    /// A broker does not serve with the latest revision at the end.
    BrokerBehind(BrokerIndex),
}

/// Returns all violations in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let diverged = history.divergences.iter().map(|found| found.index);
    violations.extend(diverged.map(Violation::StatesDiverge));
    check_in_force(history, &mut violations);
    check_reverts(history, &mut violations);
    check_commands(history, &mut violations);
    check_races(history, &mut violations);
    check_end(history, &mut violations);
    violations
}

fn accepted_revision(record: &CommandRecord) -> Option<(Timestamp, Revision)> {
    record.outcomes.iter().find_map(|(at, outcome)| match outcome {
        ChangeOutcome::Accepted { revision, .. } => Some((*at, *revision)),
        ChangeOutcome::Refused(_) => None,
    })
}

/// Highest accepted revision at the time of each reported acceptance.
fn acceptances(history: &History) -> BTreeMap<Timestamp, Revision> {
    let mut reported: Vec<(Timestamp, Revision)> =
        history.commands.values().filter_map(accepted_revision).collect();
    reported.sort_unstable();
    let mut highest = Revision(0);
    let rising = reported.into_iter().map(|(at, revision)| {
        highest = highest.max(revision);
        (at, highest)
    });
    rising.collect()
}

fn check_in_force(history: &History, violations: &mut Vec<Violation>) {
    let accepted = acceptances(history);
    for sample in history.samples.iter().filter(|sample| sample.serves) {
        let old_enough = accepted
            .range(..sample.at)
            .rev()
            .find(|(at, _)| sample.at.since(**at) > IN_FORCE_BOUND);
        if old_enough.is_some_and(|(_, revision)| sample.revision < *revision) {
            violations.push(Violation::NotInForce(sample.broker, sample.revision));
            return;
        }
    }
}

/// The revision of a broker process never decreases, and a restarted broker never serves with an
/// older revision than the previous process.
fn check_reverts(history: &History, violations: &mut Vec<Violation>) {
    let mut latest: BTreeMap<BrokerIndex, BrokerSample> = BTreeMap::new();
    for sample in &history.samples {
        if let Some(former) = latest.get(&sample.broker) {
            let same_run = former.run == sample.run;
            if sample.revision < former.revision && (same_run || sample.serves) {
                violations.push(Violation::Reverted(sample.broker, sample.revision));
                return;
            }
        }
        // A restarted broker that does not serve yet must not replace the revision of the previous
        // process.
        let behind = latest
            .get(&sample.broker)
            .is_some_and(|former| former.run != sample.run && !sample.serves);
        if !behind {
            latest.insert(sample.broker, *sample);
        }
    }
}

fn check_commands(history: &History, violations: &mut Vec<Violation>) {
    let Some(last) = history.final_states.first() else {
        return;
    };
    for (id, record) in &history.commands {
        let mut outcomes = record.outcomes.iter().map(|(_, outcome)| outcome);
        match outcomes.next() {
            None => violations.push(Violation::NoOutcome(id.clone())),
            Some(first) if outcomes.any(|other| other != first) => {
                violations.push(Violation::OutcomesDiffer(id.clone()))
            }
            Some(_) => {}
        }
        check_carried_out(last, id, record, violations);
    }
}

fn check_carried_out(
    last: &FinalState,
    id: &CommandId,
    record: &CommandRecord,
    violations: &mut Vec<Violation>,
) {
    let Some((_, revision)) = accepted_revision(record) else {
        return;
    };
    let change = &record.request.change;
    let place = last.changes.iter().find(|accepted| accepted.revision == revision);
    if place.is_none_or(|accepted| accepted.change != *change || accepted.session != id.session) {
        violations.push(Violation::AcceptedLost(id.clone()));
    }
    // Each `DefineCaller` change has a unique caller name.
    let is_own = matches!(change, Change::DefineCaller { .. });
    let copies = last.changes.iter().filter(|accepted| accepted.change == *change).count();
    if is_own && copies > 1 {
        violations.push(Violation::CarriedOutTwice(id.clone()));
    }
}

/// Checks concurrent changes of the contended leaf and zone; only these have a base revision.
fn check_races(history: &History, violations: &mut Vec<Violation>) {
    let mut winners: BTreeMap<(Revision, Target), &CommandId> = BTreeMap::new();
    for (id, record) in &history.commands {
        let (Some(based_on), Some(_)) = (record.request.based_on, accepted_revision(record)) else {
            continue;
        };
        if winners.insert((based_on, Target::of(&record.request.change)), id).is_some() {
            violations.push(Violation::ConflictAccepted(id.clone()));
        }
    }
    for (id, record) in &history.commands {
        for (_, outcome) in &record.outcomes {
            if let ChangeOutcome::Refused(ChangeRefusal::Conflict(_, first, _, revision)) = outcome
                && !was_won_by(history, first.as_str(), *revision)
            {
                violations.push(Violation::WrongWinner(id.clone()));
            }
        }
    }
}

/// Whether the final states contain a change of this session at this revision.
fn was_won_by(history: &History, session: &str, revision: Revision) -> bool {
    history
        .final_states
        .iter()
        .flat_map(|state| &state.changes)
        .any(|accepted| accepted.revision == revision && accepted.session.as_str() == session)
}

fn check_end(history: &History, violations: &mut Vec<Violation>) {
    let Some(first) = history.final_states.first() else {
        return;
    };
    let same =
        |other: &FinalState| other.catalog == first.catalog && other.changes == first.changes;
    if !history.final_states.iter().all(same) {
        violations.push(Violation::FinalStatesDiffer);
    }
    let mut last: BTreeMap<BrokerIndex, &BrokerSample> = BTreeMap::new();
    for sample in &history.samples {
        last.insert(sample.broker, sample);
    }
    let newest = first.catalog.revision();
    for (broker, sample) in last {
        if !sample.serves || sample.revision != newest {
            violations.push(Violation::BrokerBehind(broker));
        }
    }
}
