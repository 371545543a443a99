//! Operators' calls that wait for their outcome: the log lines that tell why they wait, and the
//! refusal of calls at a process outside the group.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::consensus::{MemberContact, MemberId};
use monoio::time::sleep;
use quick_error::quick_error;
use tracing::info;

use crate::replication::ReplicationStatus;
use crate::replication_client::ReplicationClient;

/// Time for which a call waits before the log says so, and interval between these lines.
const REPORT_AFTER: Duration = Duration::from_secs(1);
/// Interval at which waiting calls are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a process that is no member of the group, and knows no leader, lets calls wait for
/// it to join. Calls at a member wait for the election of a leader instead.
const JOIN_GRACE: Duration = Duration::from_secs(1);

/// Logs an event with the fields of a [`GroupView`] behind its own.
macro_rules! info_with_group {
    ($view:expr, $($field:tt)+) => {
        tracing::info!(
            $($field)+,
            member = $view.member,
            role = $view.role,
            term = $view.term,
            leader = $view.leader,
            last = $view.last,
            commit = $view.commit,
            applied = $view.applied,
            voters = $view.voters,
            silent = $view.silent,
            behind = $view.behind,
            no_vote_from = $view.no_vote_from,
            leader_heard_ms = $view.leader_heard_ms,
            storage_error = $view.storage_error,
        )
    };
}
pub(crate) use info_with_group;

quick_error! {
    /// A call that was refused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallError {
        /// The process cannot carry out any call, now or soon.
        OutsideGroup {
            display("this control process is not a member of the group yet: ask another control process, and check that one of the seeds in its settings runs")
        }
    }
}

/// Kind of an operator's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Replaces the route configuration.
    Routes,
    /// Evacuates or restores a zone.
    Zone,
    /// Begins a roll-out.
    Rollout,
    /// Executes a statement.
    Statement,
    /// Reads routes or a roll-out, confirmed by a quorum.
    Read,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Zone => "zone",
            Self::Rollout => "rollout",
            Self::Statement => "statement",
            Self::Read => "read",
        }
    }
}

/// What a call asks for, and since when.
#[derive(Debug, Clone, Copy)]
struct Call {
    kind: CallKind,
    version: Option<u64>,
    since: Instant,
}

/// The calls that wait.
#[derive(Debug, Default)]
struct Calls {
    waiting: BTreeMap<u64, Call>,
    last_number: u64,
}

/// All calls of operators that wait at this process.
#[derive(Clone)]
pub struct WaitingCalls {
    calls: Rc<RefCell<Calls>>,
    /// Since when the process is outside the group; none while it is a member or knows a leader.
    outside_since: Rc<Cell<Option<Instant>>>,
    replication: ReplicationClient,
}

impl WaitingCalls {
    /// Starts the task that watches the membership and logs why calls wait.
    pub fn start(replication: ReplicationClient) -> Self {
        let outside_since = Rc::default();
        let waiting = Self { calls: Rc::default(), outside_since, replication };
        monoio::spawn(waiting.clone().watch());
        waiting
    }

    /// Registers a call until the returned value is dropped; `version` is that of a configuration.
    pub fn begin(&self, kind: CallKind, version: Option<u64>) -> WaitingCall {
        let call = Call { kind, version, since: Instant::now() };
        let mut calls = self.calls.borrow_mut();
        calls.last_number += 1;
        let number = calls.last_number;
        calls.waiting.insert(number, call);
        WaitingCall { registry: self.clone(), number, call }
    }

    async fn watch(self) {
        let mut reported_at: Option<Instant> = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(status) = self.replication.status().await else {
                return;
            };
            self.note_membership(&status);
            if reported_at.is_none_or(|at| at.elapsed() >= REPORT_AFTER) && self.report(&status) {
                reported_at = Some(Instant::now());
            }
        }
    }

    fn note_membership(&self, status: &ReplicationStatus) {
        let is_outside = !status.is_member() && status.leader.is_none();
        let since = self.outside_since.get().unwrap_or_else(Instant::now);
        self.outside_since.set(is_outside.then_some(since));
    }

    /// Whether the process has been outside the group for longer than joining takes.
    fn is_outside(&self) -> bool {
        self.outside_since.get().is_some_and(|since| since.elapsed() >= JOIN_GRACE)
    }

    /// The call that has waited longest, if that is long enough to be reported.
    fn longest(&self) -> Option<Call> {
        let calls = self.calls.borrow();
        let first = calls.waiting.values().next();
        first.filter(|call| call.since.elapsed() >= REPORT_AFTER).copied()
    }

    /// Logs the call that has waited longest; false if none waits any more.
    fn report(&self, status: &ReplicationStatus) -> bool {
        let Some(call) = self.longest() else {
            return false;
        };
        let view = GroupView::of(status);
        info_with_group!(
            view,
            event = "call_waiting",
            kind = call.kind.as_str(),
            version = call.version,
            waited_ms = milliseconds(call.since.elapsed()),
            calls = self.calls.borrow().waiting.len()
        );
        true
    }
}

/// A call that waits, until it is dropped.
pub struct WaitingCall {
    registry: WaitingCalls,
    number: u64,
    call: Call,
}

impl WaitingCall {
    /// Carries out the call, unless the process is outside the group. What the call has proposed by
    /// then may still be accepted.
    ///
    /// # Errors
    /// [`CallError::OutsideGroup`]: another control process may carry it out.
    pub async fn carry_out<T>(&self, call: impl Future<Output = T>) -> Result<T, CallError> {
        monoio::select! {
            biased;
            outcome = call => Ok(outcome),
            () = self.wait_until_outside() => Err(self.refuse().await),
        }
    }

    async fn wait_until_outside(&self) {
        while !self.registry.is_outside() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn refuse(&self) -> CallError {
        let (Call { kind, version, .. }, view) = (self.call, self.group().await);
        info!(
            event = "call_refused_outside_group",
            kind = kind.as_str(),
            version,
            waited_ms = self.waited_ms(),
            member = view.member,
            role = view.role,
            term = view.term,
            leader = view.leader,
            last = view.last,
            storage_error = view.storage_error,
        );
        CallError::OutsideGroup
    }

    /// Time since the call began, in milliseconds.
    pub fn waited_ms(&self) -> u64 {
        milliseconds(self.call.since.elapsed())
    }

    /// The group as this process knows it now.
    pub async fn group(&self) -> GroupView {
        let status = self.registry.replication.status().await;
        status.as_ref().map(GroupView::of).unwrap_or_default()
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.registry.calls.borrow_mut().waiting.remove(&self.number);
    }
}

/// The group as a process knows it, in the form of log fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Whether the process is a member by its own log.
    pub member: bool,
    /// Its role.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader that it knows, or `none`.
    pub leader: String,
    /// Last entry of its log.
    pub last: u64,
    /// Its commit index.
    pub commit: u64,
    /// Last entry that was passed to the state machine.
    pub applied: u64,
    /// Number of voters.
    pub voters: usize,
    /// At a leader: each voter that has not answered for the election timeout, with the
    /// milliseconds.
    pub silent: Option<String>,
    /// At a leader with entries to commit: each voter that answers and lacks some, with its last one.
    pub behind: Option<String>,
    /// At a candidate: the voters that have not answered in this round of votes or pre-votes.
    pub no_vote_from: Option<String>,
    /// At any other process: milliseconds since a leader was last heard of.
    pub leader_heard_ms: Option<u64>,
    /// Why the disk accepts no writes.
    pub storage_error: Option<String>,
}

impl GroupView {
    fn of(status: &ReplicationStatus) -> Self {
        let silent =
            |voter: &MemberContact| format!("{}:{}", voter.member, milliseconds(voter.silent_for));
        let behind = |voter: &MemberContact| format!("{}:{}", voter.member, voter.matched.0);
        Self {
            member: status.is_member(),
            role: format!("{:?}", status.role),
            term: status.term.0,
            leader: status.leader.map_or("none".to_owned(), |leader| leader.to_string()),
            last: status.last.0,
            commit: status.commit.0,
            applied: status.applied.0,
            voters: status.voters(),
            silent: joined(status.silent_voters().map(silent)),
            behind: joined(status.voters_behind().map(behind)),
            no_vote_from: joined(status.voters_without_answer.iter().map(MemberId::to_string)),
            leader_heard_ms: status.leader_silent_for.map(milliseconds),
            storage_error: status.storage_error.clone(),
        }
    }
}

/// The parts as one value; none without parts.
fn joined(parts: impl Iterator<Item = String>) -> Option<String> {
    let parts: Vec<String> = parts.collect();
    (!parts.is_empty()).then(|| parts.join(","))
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
