//! The replicated state of the control tier.
//!
//! Every control process applies the same commands in the same order to a [`ClusterState`], so all
//! hold the same catalog, sessions, members, hints and charges. Application is deterministic: it
//! reads no clock, and commands carry their proposal time.

mod charges;
mod command;
mod former;
mod history;
mod leaf_health;
mod members;
mod overload;
mod polling;
mod refused_requests;
mod rollouts;
mod sessions;
mod thresholds;
mod wall_time;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, CatalogError, Change};
use crate::crash_suspects::{CrashFinding, Verdict};
use crate::directory::{DirectoryDelta, LeafDirectory};
use crate::identifiers::Revision;
use crate::routes::{AcceptedRoutes, RouteState};

pub use crate::consensus::LogIndex;

pub use charges::{
    ChargeCounter, ChargeKey, ChargeReceipt, ChargeReport, Charges, RUN_RETENTION,
    TOMBSTONE_RETENTION,
};
pub use command::{
    ChangeOutcome, ChangeRefusal, ChangeRequest, Command, CommandBody, CommandId, CommandOutcome,
};
pub use former::{
    FormerAcceptedRoutes, FormerClusterState, FormerRouteState, StateWithoutRefusedRequests,
    StateWithoutRollouts, StateWithoutTenants,
};
pub use history::{AcceptedChange, HISTORY_LIMIT, History, Target};
pub use leaf_health::{LeafHealth, LeafHealthChange, LeafHints};
pub use members::{
    BrokerChange, BrokerRecord, CONTROL_LEASE, ControlRecord, ControlRenewal, DEPARTED_RETENTION,
    DepartedBroker, Members,
};
pub use overload::{BrokerOverload, OverloadAggregator, OverloadSettings};
pub use polling::assigned_poller;
pub use refused_requests::{RefusedRequest, RefusedRequests};
pub use rollouts::RolloutEvidence;
pub use sessions::{OUTCOMES_PER_SESSION, SESSION_LIMIT, SESSION_RETENTION, Sessions};
pub use thresholds::{Threshold, Thresholds};
pub use wall_time::WallTime;

/// The replicated state machine of the control tier.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    applied: LogIndex,
    now: WallTime,
    catalog: Catalog,
    history: History,
    sessions: Sessions,
    members: Members,
    leaf_hints: LeafHints,
    charges: Charges,
    thresholds: Thresholds,
    overload: OverloadAggregator,
    routes: RouteState,
    directory: LeafDirectory,
    rollout_evidence: RolloutEvidence,
    refused_requests: RefusedRequests,
}

impl ClusterState {
    /// Log index of the last applied command.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Replicated time, derived from the proposal times of commands.
    pub fn now(&self) -> WallTime {
        self.now
    }

    /// The operators' catalog.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Recent accepted changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Live control processes and brokers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Leaf health as polled by the control processes.
    pub fn leaf_hints(&self) -> &LeafHints {
        &self.leaf_hints
    }

    /// Usage charges of callers.
    pub fn charges(&self) -> &Charges {
        &self.charges
    }

    /// Load-shedding threshold of each service.
    pub fn thresholds(&self) -> &Thresholds {
        &self.thresholds
    }

    /// The route configuration.
    pub fn routes(&self) -> &RouteState {
        &self.routes
    }

    /// The polled list of leaves.
    pub fn directory(&self) -> &LeafDirectory {
        &self.directory
    }

    /// Roll-out evidence reported by brokers.
    pub fn rollout_evidence(&self) -> &RolloutEvidence {
        &self.rollout_evidence
    }

    /// Requests that brokers refuse because they crash leaves.
    pub fn refused_requests(&self) -> &RefusedRequests {
        &self.refused_requests
    }

    /// Applies the command at log position `index`; a no-op when it was already applied.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> CommandOutcome {
        if index <= self.applied {
            return CommandOutcome::AlreadyApplied;
        }
        self.applied = index;
        self.advance_time(command.at);
        match &command.body {
            CommandBody::Change(request) => {
                CommandOutcome::Change(self.apply_change(command.at, request))
            }
            CommandBody::RenewControl(renewal) => {
                self.members.renew_control(self.now, renewal);
                CommandOutcome::Recorded
            }
            CommandBody::ReportBrokers { control, changes } => {
                self.members.report_brokers(self.now, control, changes);
                CommandOutcome::Recorded
            }
            CommandBody::ReportLeaves { control, changes } => {
                self.leaf_hints.report(control, changes, &self.catalog);
                CommandOutcome::Recorded
            }
            CommandBody::ReportCharges(reports) => {
                let now = self.now;
                let receipts = reports.iter().map(|report| self.charges.record(now, report));
                CommandOutcome::Charges(receipts.collect())
            }
            CommandBody::ReportOverload(reports) => {
                let settings = OverloadSettings::default();
                for report in reports {
                    self.overload.report(&settings, self.now, report, &mut self.thresholds);
                }
                CommandOutcome::Recorded
            }
            CommandBody::SetThreshold { service, threshold } => {
                self.thresholds.set(service.clone(), *threshold);
                CommandOutcome::Recorded
            }
            CommandBody::ReplaceFormerRoutes(former) => {
                let routes = AcceptedRoutes::from((**former).clone());
                CommandOutcome::Routes(self.routes.replace(&Arc::new(routes)))
            }
            CommandBody::ReplaceRoutes(routes) => {
                CommandOutcome::Routes(self.routes.replace(routes))
            }
            CommandBody::ReportFormerDirectory(former) => {
                self.directory.apply(&DirectoryDelta::from(former.clone()));
                CommandOutcome::Recorded
            }
            CommandBody::ReportRollouts(reports) => {
                CommandOutcome::Rollouts(self.report_rollouts(command.at, reports))
            }
            CommandBody::AdvanceRollout(step) => CommandOutcome::Rollouts(
                self.advance_rollout(command.at, step).into_iter().collect(),
            ),
            CommandBody::ReportCrashes(findings) => {
                self.report_crashes(findings);
                CommandOutcome::Recorded
            }
            CommandBody::GrantTrial { finding, .. } => {
                CommandOutcome::Trial { granted: self.grant_trial(finding) }
            }
            CommandBody::ReportDirectory(delta) => {
                // A delta against another list is discarded; the next poll creates a new one.
                self.directory.apply(delta);
                CommandOutcome::Recorded
            }
        }
    }

    fn advance_time(&mut self, at: WallTime) {
        self.now = self.now.advance_to(at);
        self.sessions.expire(self.now);
        self.members.expire(self.now);
        self.charges.settle(self.now);
        self.thresholds.expire(self.now);
        self.overload.expire(&OverloadSettings::default(), self.now);
        self.refused_requests.expire(self.now);
    }

    fn report_crashes(&mut self, findings: &[CrashFinding]) {
        for finding in findings {
            match finding.verdict {
                // Too short-lived to replicate: brokers are notified and expire it on their own.
                Verdict::Suspected => {}
                Verdict::Refused => self.refused_requests.refuse(self.now, finding),
                Verdict::Cleared => {
                    self.refused_requests.release(finding.digest);
                }
            }
        }
    }

    /// Grants a trial of a request. A refusal that was lost in transit is recorded first.
    fn grant_trial(&mut self, finding: &CrashFinding) -> bool {
        if self.refused_requests.get(finding.digest).is_none() {
            let due_now = CrashFinding { for_ms: 0, ..finding.clone() };
            self.refused_requests.refuse(self.now, &due_now);
        }
        self.refused_requests.grant_trial(self.now, finding.digest)
    }

    /// Applies a change at most once per session and sequence number.
    fn apply_change(&mut self, at: WallTime, request: &ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.sessions.recorded(request) {
            return outcome;
        }
        let outcome = match self.sessions.admit(&request.id) {
            Ok(()) => self.execute(at, request),
            Err(refusal) => return ChangeOutcome::Refused(refusal),
        };
        self.sessions.record(self.now, request, &outcome);
        outcome
    }

    fn execute(&mut self, at: WallTime, request: &ChangeRequest) -> ChangeOutcome {
        match self.try_change(at, request) {
            Ok(revision) => ChangeOutcome::Accepted { revision, at },
            Err(refusal) => ChangeOutcome::Refused(refusal),
        }
    }

    fn try_change(
        &mut self,
        at: WallTime,
        request: &ChangeRequest,
    ) -> Result<Revision, ChangeRefusal> {
        if let Some(based_on) = request.based_on {
            self.history.check(self.catalog.revision(), based_on, &request.change)?;
        }
        self.check_references(&request.change).map_err(ChangeRefusal::Catalog)?;
        let revision = self.catalog.apply(&request.change).map_err(ChangeRefusal::Catalog)?;
        if let Change::ReleaseRequest(digest) = &request.change {
            self.refused_requests.release(*digest);
        }
        self.history.push(AcceptedChange {
            revision,
            at,
            session: request.id.session.clone(),
            change: request.change.clone(),
        });
        self.members.forget_removed(self.now, &request.change);
        self.leaf_hints.forget_removed(&request.change);
        Ok(revision)
    }

    /// Checks objects named by a change that the catalog itself does not hold.
    fn check_references(&self, change: &Change) -> Result<(), CatalogError> {
        match change {
            Change::ReleaseRequest(digest) if self.refused_requests.get(*digest).is_none() => {
                Err(CatalogError::RequestNotRefused(*digest))
            }
            _ => self.check_member(change),
        }
    }

    /// Brokers join on their own, so a change may also name a live broker outside the catalog.
    fn check_member(&self, change: &Change) -> Result<(), CatalogError> {
        match change {
            Change::SetBrokerState { broker, .. } | Change::RemoveBroker(broker) => {
                let known = self.catalog.brokers().contains_key(broker)
                    || self.members.brokers().contains_key(broker);
                if known { Ok(()) } else { Err(CatalogError::UnknownBroker(broker.clone())) }
            }
            _ => Ok(()),
        }
    }
}
