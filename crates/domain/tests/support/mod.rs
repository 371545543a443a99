//! Test harness: a dispatcher with a small catalog and a manual clock.
#![allow(dead_code)]

pub mod cluster;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::catalog::{
    AnswerPolicy, CallerAccount, Catalog, Change, ClassPolicy, Leaf, LeafState, Placement,
};
use gingerkeel_domain::dispatch::{
    Dispatcher, DispatcherSettings, Effect, Event, LeafCompletion, SchedulingPolicy,
};
use gingerkeel_domain::identifiers::{
    BrokerName, CallerName, ClassName, IndexVersion, LeafId, PartitionEpoch, QueryId, RegionName,
    ServiceName, ShardId, Snapshot, ZoneName,
};
use gingerkeel_domain::query::{
    Answer, LeafFailure, LeafReply, NotRunReason, OutgoingRequest, QueryOutcome, Submission,
};
use gingerkeel_domain::request_key::{KeyedRequest, RequestKey};
use gingerkeel_domain::time::Timestamp;
use rand_pcg::Pcg64;

/// Seed of all random choices.
const SEED: u128 = 0x6b65_656c;

/// Budget that is larger than any test spends.
const AMPLE: u64 = 1_000_000_000;

pub fn caller() -> CallerName {
    CallerName::new("caller")
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn placement(region: &str, zone: &str) -> Placement {
    Placement { region: RegionName::new(region), zone: ZoneName::new(zone) }
}

pub fn leaf(id: u32, place: Placement) -> Leaf {
    Leaf {
        id: LeafId(id),
        address: ([127, 0, 0, 1], 1000 + id as u16).into(),
        placement: place,
        slots: 4,
        connection_limit: 100,
        state: LeafState::Active,
    }
}

pub fn service() -> ServiceName {
    ServiceName::new("tickets")
}

pub fn snapshot(epoch: u64, version: u64) -> Snapshot {
    Snapshot { epoch: PartitionEpoch(epoch), version: IndexVersion(version) }
}

pub fn class(name: &str, answer_policy: AnswerPolicy) -> ClassPolicy {
    ClassPolicy {
        name: ClassName::new(name),
        priority: 0,
        queue_limit: 100,
        price: 3,
        answer_policy,
        default_deadline: millis(1000),
    }
}

/// A catalog with one service whose shard `s` has the replicas `shards[s]`, all in one zone,
/// published at version 1 of epoch 0.
pub fn catalog(shards: &[&[u32]], answer_policy: AnswerPolicy) -> Catalog {
    let mut catalog = Catalog::default();
    let mut ids: Vec<u32> = shards.iter().flat_map(|replicas| replicas.iter().copied()).collect();
    ids.sort_unstable();
    ids.dedup();
    for id in ids {
        change(&mut catalog, Change::AddLeaf(leaf(id, placement("south", "a"))));
    }
    change(&mut catalog, Change::DefineService { service: service(), concurrency: 100 });
    let policy = class("urgent", answer_policy);
    change(&mut catalog, Change::DefineClass { service: service(), policy });
    define_caller(&mut catalog);
    assign(&mut catalog, shards);
    publish(&mut catalog, 1);
    catalog
}

pub fn change(catalog: &mut Catalog, change: Change) {
    catalog.apply(&change).expect("the change is valid");
}

/// Gives the test caller a budget larger than any test spends.
pub fn define_caller(catalog: &mut Catalog) {
    let account = CallerAccount { budget_per_second: AMPLE, burst: AMPLE };
    change(catalog, Change::DefineCaller { caller: caller(), account });
}

pub fn assign(catalog: &mut Catalog, shards: &[&[u32]]) {
    for (shard, replicas) in shards.iter().enumerate() {
        let shard = ShardId(shard as u32);
        let leaves = replicas.iter().copied().map(LeafId).collect();
        change(catalog, Change::AssignShard { service: service(), shard, leaves });
    }
}

pub fn publish(catalog: &mut Catalog, version: u64) {
    let version = IndexVersion(version);
    change(catalog, Change::PublishVersion { service: service(), version });
}

pub fn repartition(catalog: &mut Catalog, shards: &[&[u32]]) {
    let count = shards.len() as u32;
    change(catalog, Change::Repartition { service: service(), shards: count });
    assign(catalog, shards);
}

/// Dispatcher with its catalog and a manual clock.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub catalog: Catalog,
    pub now: Timestamp,
    next_query: u64,
}

impl Harness {
    pub fn new(shards: &[&[u32]]) -> Self {
        Self::with_policy(shards, AnswerPolicy::Full)
    }

    pub fn with_policy(shards: &[&[u32]], answer_policy: AnswerPolicy) -> Self {
        Self::with_catalog(catalog(shards, answer_policy), SchedulingPolicy::Standard)
    }

    pub fn with_catalog(catalog: Catalog, policy: SchedulingPolicy) -> Self {
        let settings = DispatcherSettings {
            policy,
            ..DispatcherSettings::new(BrokerName::new("broker"), placement("south", "a"))
        };
        let random = Box::new(Pcg64::new(SEED, SEED));
        let dispatcher = Dispatcher::new(settings, random);
        let now = Timestamp::from_micros(1_000_000);
        let mut harness = Self { dispatcher, catalog, now, next_query: 0 };
        harness.reconfigure(|_| {});
        harness
    }

    /// Edits the catalog and hands it to the dispatcher.
    pub fn reconfigure(&mut self, edit: impl FnOnce(&mut Catalog)) -> Vec<Effect> {
        edit(&mut self.catalog);
        self.handle(Event::CatalogChanged(Arc::new(self.catalog.clone())))
    }

    pub fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.dispatcher.handle(self.now, event, &mut effects);
        effects
    }

    /// Submits a query with a deadline one second from now.
    pub fn submit(&mut self, repeatable: bool) -> Vec<Effect> {
        let submission = self.submission(repeatable);
        self.handle(Event::Submitted(submission))
    }

    /// A new query with a deadline one second from now.
    pub fn submission(&mut self, repeatable: bool) -> Submission {
        let query = QueryId(self.next_query);
        self.next_query += 1;
        Submission {
            query,
            service: service(),
            class: ClassName::new("urgent"),
            caller: caller(),
            deadline: self.now.after(millis(1000)),
            repeatable,
            key: None,
        }
    }

    /// Submits a non-repeatable query under a key; returns its number and the effects.
    pub fn submit_keyed(
        &mut self,
        caller: CallerName,
        key: &RequestKey,
        digest: u64,
        deadline: Duration,
    ) -> (QueryId, Vec<Effect>) {
        let query = QueryId(self.next_query);
        self.next_query += 1;
        let effects = self.handle(Event::Submitted(Submission {
            query,
            service: service(),
            class: ClassName::new("urgent"),
            caller,
            deadline: self.now.after(deadline),
            repeatable: false,
            key: Some(KeyedRequest { key: key.clone(), digest }),
        }));
        (query, effects)
    }

    /// Advances the time by `span`, firing the timers that fall due.
    pub fn wait(&mut self, span: Duration) -> Vec<Effect> {
        let end = self.now.after(span);
        let mut effects = Vec::new();
        while let Some(due) = self.dispatcher.next_timer().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            effects.extend(self.handle(Event::TimerElapsed));
        }
        self.now = end;
        effects
    }

    pub fn complete(
        &mut self,
        sending: OutgoingRequest,
        completion: LeafCompletion,
    ) -> Vec<Effect> {
        self.complete_marked(sending, completion, None)
    }

    pub fn complete_marked(
        &mut self,
        sending: OutgoingRequest,
        completion: LeafCompletion,
        draining: Option<bool>,
    ) -> Vec<Effect> {
        let OutgoingRequest { request, leaf, .. } = sending;
        self.handle(Event::LeafCompleted { leaf, request, completion, draining })
    }

    /// Completes a request with a result for the requested snapshot.
    pub fn answer(&mut self, sending: OutgoingRequest) -> Vec<Effect> {
        self.complete(sending, result(sending.snapshot))
    }

    pub fn refuse(&mut self, sending: OutgoingRequest, reason: NotRunReason) -> Vec<Effect> {
        self.complete(sending, LeafCompletion::Replied(LeafReply::NotRun(reason)))
    }

    pub fn fail(&mut self, sending: OutgoingRequest, failure: LeafFailure) -> Vec<Effect> {
        self.complete(sending, LeafCompletion::Failed(failure))
    }

    /// Runs queries to completion with leaves that answer after `latency(leaf)`; returns the number
    /// of requests to each leaf of `0..leaves`.
    pub fn run_queries(
        &mut self,
        count: usize,
        leaves: usize,
        latency: impl Fn(LeafId) -> Duration,
    ) -> Vec<usize> {
        let mut requests = vec![0; leaves];
        for _ in 0..count {
            let start = self.now;
            let mut pending: Vec<(Timestamp, OutgoingRequest)> = Vec::new();
            let mut fresh = sends(&self.submit(true));
            loop {
                for sending in fresh.drain(..) {
                    requests[sending.leaf.0 as usize] += 1;
                    pending.push((self.now.after(latency(sending.leaf)), sending));
                }
                pending.sort_by_key(|(due, sending)| (*due, sending.request));
                if pending.is_empty() {
                    break;
                }
                let (due, sending) = pending.remove(0);
                let mut effects = self.wait(due.since(self.now));
                effects.extend(self.answer(sending));
                fresh = sends(&effects);
            }
            self.wait(millis(20).saturating_sub(self.now.since(start)));
        }
        requests
    }
}

pub fn result(snapshot: Snapshot) -> LeafCompletion {
    LeafCompletion::Replied(LeafReply::Result { snapshot, body: Bytes::from_static(b"hit") })
}

pub fn sends(effects: &[Effect]) -> Vec<OutgoingRequest> {
    let sent = |effect: &Effect| match effect {
        Effect::Send { sending, .. } => Some(*sending),
        _ => None,
    };
    effects.iter().filter_map(sent).collect()
}

pub fn cancels(effects: &[Effect]) -> Vec<LeafId> {
    let cancelled = |effect: &Effect| match effect {
        Effect::Cancel { leaf, .. } => Some(*leaf),
        _ => None,
    };
    effects.iter().filter_map(cancelled).collect()
}

pub fn outcome(effects: &[Effect]) -> Option<QueryOutcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

/// Answer among the effects; panics on another outcome or none.
pub fn answered(effects: &[Effect]) -> Answer {
    match outcome(effects) {
        Some(QueryOutcome::Answered(answer)) => answer,
        other => panic!("no answer but {other:?}"),
    }
}
