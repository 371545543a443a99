//! Simulated broker: its dispatcher, and the mutants that alter its input and output.

use gingerkeel_domain::admission::RefusalReason;
use gingerkeel_domain::dispatch::{Dispatcher, DispatcherSettings, Effect, Event, LeafCompletion};
use gingerkeel_domain::identifiers::{
    BrokerRun, IndexVersion, LeafRequestId, PartitionEpoch, QueryId, Snapshot,
};
use gingerkeel_domain::query::{LeafFailure, LeafReply, MissingReason, QueryOutcome};
use gingerkeel_domain::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::fault::Mutant;

/// Index of a broker in the simulated world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BrokerIndex(pub usize);

/// A simulated broker process.
pub struct BrokerModel {
    /// Dispatcher under test.
    pub dispatcher: Dispatcher,
    /// Whether the process has been killed or has stopped.
    pub dead: bool,
    /// Time of the earliest scheduled timer event.
    pub armed: Option<Timestamp>,
    /// Identifier of the next query.
    pub next_query: u64,
    mutant: Option<Mutant>,
}

impl BrokerModel {
    /// Creates a broker whose dispatcher draws random numbers from `seed`.
    pub fn new(seed: u64, run: BrokerRun, mutant: Option<Mutant>) -> Self {
        let settings = DispatcherSettings { run, ..DispatcherSettings::default() };
        Self {
            dispatcher: Dispatcher::new(settings, Box::new(Pcg64::seed_from_u64(seed))),
            dead: false,
            armed: None,
            next_query: 0,
            mutant,
        }
    }

    /// Handles an event, with the changes of the mutant to the event and its effects.
    pub fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        let event = self.alter_event(event);
        let first = effects.len();
        self.dispatcher.handle(now, event, effects);
        for effect in &mut effects[first..] {
            self.alter_effect(effect);
        }
    }

    fn alter_event(&self, event: Event) -> Event {
        match (self.mutant, event) {
            (Some(Mutant::EveryQueryRepeatable), Event::Submitted(mut submission)) => {
                submission.repeatable = true;
                Event::Submitted(submission)
            }
            (Some(mutant), Event::LeafCompleted { leaf, request, completion, draining }) => {
                let (request, completion) = self.alter_completion(mutant, request, completion);
                let draining = draining.filter(|_| mutant != Mutant::NoDrainMarks);
                Event::LeafCompleted { leaf, request, completion, draining }
            }
            // Without this, a probe response would still report the drain.
            (Some(Mutant::NoDrainMarks), Event::ProbeAnswered { leaf, .. }) => {
                Event::ProbeAnswered { leaf, draining: false }
            }
            (_, event) => event,
        }
    }

    fn alter_completion(
        &self,
        mutant: Mutant,
        request: LeafRequestId,
        completion: LeafCompletion,
    ) -> (LeafRequestId, LeafCompletion) {
        match (mutant, completion) {
            (Mutant::BrokenMeansNotSent, LeafCompletion::Failed(_)) => {
                (request, LeafCompletion::Failed(LeafFailure::NotSent))
            }
            (
                Mutant::EveryReplyOfSnapshot,
                LeafCompletion::Replied(LeafReply::Result { body, .. }),
            ) => {
                let snapshot = requested_snapshot(&body);
                (request, LeafCompletion::Replied(LeafReply::Result { snapshot, body }))
            }
            (Mutant::RepliesOfOthers, completion) => {
                let query = QueryId(request.query.0 + 1);
                (LeafRequestId { query, ..request }, completion)
            }
            (_, completion) => (request, completion),
        }
    }

    fn alter_effect(&self, effect: &mut Effect) {
        let Effect::Answer { outcome, .. } = effect else {
            return;
        };
        match (self.mutant, &mut *outcome) {
            (Some(Mutant::MissingShardsHidden), QueryOutcome::Answered(answer)) => {
                answer.missing.clear();
            }
            (Some(Mutant::UnknownShardsSaidNotRun), QueryOutcome::Answered(answer)) => {
                answer.missing.iter_mut().for_each(|shard| shard.reason = MissingReason::NotRun);
            }
            (Some(Mutant::UnknownSaidNotRun), QueryOutcome::Unknown { retry_after, .. }) => {
                let reason = RefusalReason::LeavesRefused;
                *outcome = QueryOutcome::NotRun { reason, retry_after: *retry_after };
            }
            _ => {}
        }
    }
}

/// Extracts the requested snapshot from the end of a simulated leaf's response body.
fn requested_snapshot(body: &[u8]) -> Snapshot {
    let text = String::from_utf8_lossy(body);
    let asked = text.rsplit('=').next().unwrap_or_default();
    let (epoch, version) = asked.split_once('.').unwrap_or(("0", "0"));
    Snapshot {
        epoch: PartitionEpoch(epoch.parse().unwrap_or_default()),
        version: IndexVersion(version.parse().unwrap_or_default()),
    }
}
