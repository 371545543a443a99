//! Table of the request keys of one broker run, with the outcomes of their requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{KeyedRequest, RequestKey};
use crate::identifiers::{BrokerName, BrokerRun, CallerName, QueryId};
use crate::query::{QueryOutcome, UnrecordedReason};
use crate::time::Timestamp;

/// Limits of a request key table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLimits {
    /// Greatest number of keys in the table.
    pub keys: usize,
    /// Greatest total size of recorded answers in bytes; beyond it the oldest are evicted.
    pub recorded_bytes: usize,
    /// Time from issue, or from the outcome, until a key expires.
    pub lifetime: Duration,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self { keys: 65_536, recorded_bytes: 32 * 1024 * 1024, lifetime: Duration::from_secs(120) }
    }
}

/// The table is full: no key can be issued until one expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeysExhausted {
    /// Time until the next key expires.
    pub retry_after: Duration,
}

/// How a request under a key is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The request is the first under the key and runs.
    Execute,
    /// The request waits for the outcome of this running query.
    Attach(QueryId),
    /// The request has ended with this outcome.
    Recorded(QueryOutcome),
    /// There is no record of whether the request ran.
    Unrecorded(UnrecordedReason),
    /// The key was used by a request with another digest; this request is refused.
    UsedByOtherRequest,
}

#[derive(Debug)]
enum KeyState {
    Issued,
    Running { query: QueryId, digest: u64 },
    Recorded { outcome: QueryOutcome, digest: u64 },
}

#[derive(Debug)]
struct Entry {
    caller: CallerName,
    expires: Timestamp,
    state: KeyState,
}

/// A scheduled expiry of a key; a later one may have superseded it.
#[derive(Debug, Clone, Copy)]
struct Expiry {
    due: Timestamp,
    sequence: u64,
}

/// Request key table of one broker run.
#[derive(Debug)]
pub struct RequestKeys {
    broker: BrokerName,
    run: BrokerRun,
    limits: KeyLimits,
    next_sequence: u64,
    entries: BTreeMap<u64, Entry>,
    /// Ordered by time, because all keys have the same lifetime.
    expiries: VecDeque<Expiry>,
    /// Sequence numbers of the keys whose outcome is recorded.
    recorded: BTreeSet<u64>,
    recorded_bytes: usize,
}

impl RequestKeys {
    /// An empty table for a broker run.
    pub fn new(broker: BrokerName, run: BrokerRun, limits: KeyLimits) -> Self {
        Self {
            broker,
            run,
            limits,
            next_sequence: 0,
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            recorded: BTreeSet::new(),
            recorded_bytes: 0,
        }
    }

    /// Issues a key to a caller.
    ///
    /// # Errors
    /// [`KeysExhausted`] when the table is full.
    pub fn issue(
        &mut self,
        now: Timestamp,
        caller: CallerName,
    ) -> Result<RequestKey, KeysExhausted> {
        self.expire(now);
        if self.entries.len() >= self.limits.keys {
            let next = self.expiries.front().map_or(now, |expiry| expiry.due);
            return Err(KeysExhausted { retry_after: next.since(now) });
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let expires = self.schedule_expiry(now, sequence);
        self.entries.insert(sequence, Entry { caller, expires, state: KeyState::Issued });
        Ok(RequestKey { broker: self.broker.clone(), run: self.run, sequence })
    }

    /// Decides on a request under a key. If the request runs, it runs as `query`.
    pub fn claim(
        &mut self,
        now: Timestamp,
        caller: &CallerName,
        request: &KeyedRequest,
        query: QueryId,
    ) -> Claim {
        self.expire(now);
        let key = &request.key;
        if key.broker != self.broker || key.run != self.run {
            return Claim::Unrecorded(UnrecordedReason::OtherRun);
        }
        let entry = self.entries.get_mut(&key.sequence).filter(|entry| entry.caller == *caller);
        let Some(entry) = entry else {
            return Claim::Unrecorded(UnrecordedReason::NotKnown);
        };
        match &entry.state {
            KeyState::Issued => {
                entry.state = KeyState::Running { query, digest: request.digest };
                Claim::Execute
            }
            KeyState::Running { digest, .. } | KeyState::Recorded { digest, .. }
                if *digest != request.digest =>
            {
                Claim::UsedByOtherRequest
            }
            KeyState::Running { query, .. } => Claim::Attach(*query),
            KeyState::Recorded { outcome, .. } => Claim::Recorded(outcome.clone()),
        }
    }

    /// Records the outcome of the query that ran under a key. After `NotRun` the key can be used
    /// again.
    pub fn record(&mut self, now: Timestamp, key: &RequestKey, outcome: &QueryOutcome) {
        let Some(KeyState::Running { digest, .. }) =
            self.entries.get(&key.sequence).map(|entry| &entry.state)
        else {
            return;
        };
        let state = match outcome {
            QueryOutcome::NotRun { .. } => KeyState::Issued,
            outcome => KeyState::Recorded { outcome: outcome.clone(), digest: *digest },
        };
        if matches!(state, KeyState::Recorded { .. }) {
            self.recorded.insert(key.sequence);
            self.recorded_bytes += size(outcome);
        }
        let expires = self.schedule_expiry(now, key.sequence);
        if let Some(entry) = self.entries.get_mut(&key.sequence) {
            entry.state = state;
            entry.expires = expires;
        }
        self.evict_excess();
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn schedule_expiry(&mut self, now: Timestamp, sequence: u64) -> Timestamp {
        let due = now.after(self.limits.lifetime);
        self.expiries.push_back(Expiry { due, sequence });
        due
    }

    /// Removes expired keys, except those whose query is still running.
    fn expire(&mut self, now: Timestamp) {
        while let Some(expiry) = self.expiries.front().copied().filter(|expiry| expiry.due <= now) {
            self.expiries.pop_front();
            let entry = self.entries.get(&expiry.sequence);
            let ended = entry.is_some_and(|entry| {
                entry.expires <= now && !matches!(entry.state, KeyState::Running { .. })
            });
            if ended {
                self.remove(expiry.sequence);
            }
        }
    }

    /// Evicts keys with recorded outcomes, oldest key first, until the outcomes fit the limit.
    fn evict_excess(&mut self) {
        while self.recorded_bytes > self.limits.recorded_bytes {
            let Some(oldest) = self.recorded.first().copied() else {
                return;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, sequence: u64) {
        if let Some(Entry { state: KeyState::Recorded { outcome, .. }, .. }) =
            self.entries.remove(&sequence)
        {
            self.recorded.remove(&sequence);
            self.recorded_bytes -= size(&outcome);
        }
    }
}

fn size(outcome: &QueryOutcome) -> usize {
    match outcome {
        QueryOutcome::Answered(answer) | QueryOutcome::Unknown { known: answer, .. } => {
            answer.parts.iter().map(|part| part.body.len()).sum()
        }
        QueryOutcome::NotRun { .. } | QueryOutcome::Unrecorded(_) => 0,
    }
}
