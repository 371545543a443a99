//! The replicated state of the control tier.
//!
//! Every control process applies the same commands in the same order to a [`ClusterState`] and
//! so holds the same catalog, sessions, members, hints and charges. Nothing here reads a clock:
//! commands carry the time at which they were proposed.

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

/// The state that all control processes agree on.
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
    /// Index of the last command applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The time as the commands tell it.
    pub fn now(&self) -> WallTime {
        self.now
    }

    /// The configuration.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The last accepted changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Control processes and brokers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What the control processes saw of leaves.
    pub fn leaf_hints(&self) -> &LeafHints {
        &self.leaf_hints
    }

    /// What callers are charged.
    pub fn charges(&self) -> &Charges {
        &self.charges
    }

    /// The lowest class admitted, of each service.
    pub fn thresholds(&self) -> &Thresholds {
        &self.thresholds
    }

    /// The configuration of routes.
    pub fn routes(&self) -> &RouteState {
        &self.routes
    }

    /// The list of leaves.
    pub fn directory(&self) -> &LeafDirectory {
        &self.directory
    }

    /// What brokers reported of roll-outs.
    pub fn rollout_evidence(&self) -> &RolloutEvidence {
        &self.rollout_evidence
    }

    /// The requests that no broker sends to leaves.
    pub fn refused_requests(&self) -> &RefusedRequests {
        &self.refused_requests
    }

    /// Applies the command at `index` of the log; one at or before the last is left out.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> CommandOutcome {
        if index <= self.applied {
            return CommandOutcome::AlreadyApplied;
        }
        self.applied = index;
        self.advance_time(command.at);
        match &command.body {
            CommandBody::Change(request) => {
                CommandOutcome::Change(self.change(command.at, request))
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
                // One that was made against another list is made anew with the next poll.
                self.directory.apply(delta);
                CommandOutcome::Recorded
            }
        }
    }

    fn advance_time(&mut self, at: WallTime) {
        self.now = self.now.follow(at);
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
                // Too short-lived to be kept here: brokers are told of it, and forget it by themselves.
                Verdict::Suspected => {}
                Verdict::Refused => self.refused_requests.refuse(self.now, finding),
                Verdict::Cleared => {
                    self.refused_requests.release(finding.digest);
                }
            }
        }
    }

    /// Grants a trial of a request, also of one whose proof was lost on its way here.
    fn grant_trial(&mut self, finding: &CrashFinding) -> bool {
        if self.refused_requests.get(finding.digest).is_none() {
            let due_now = CrashFinding { for_ms: 0, ..finding.clone() };
            self.refused_requests.refuse(self.now, &due_now);
        }
        self.refused_requests.grant_trial(self.now, finding.digest)
    }

    /// A change, once for each session and sequence number.
    fn change(&mut self, at: WallTime, request: &ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.sessions.recorded(request) {
            return outcome;
        }
        let outcome = match self.sessions.admit(&request.id) {
            Ok(()) => self.carry_out(at, request),
            Err(refusal) => return ChangeOutcome::Refused(refusal),
        };
        self.sessions.record(self.now, request, &outcome);
        outcome
    }

    fn carry_out(&mut self, at: WallTime, request: &ChangeRequest) -> ChangeOutcome {
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
        self.check_named(&request.change).map_err(ChangeRefusal::Catalog)?;
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

    /// What a change names has to exist, as far as the catalog does not know it by itself.
    fn check_named(&self, change: &Change) -> Result<(), CatalogError> {
        match change {
            Change::ReleaseRequest(digest) if self.refused_requests.get(*digest).is_none() => {
                Err(CatalogError::RequestNotRefused(*digest))
            }
            _ => self.check_member(change),
        }
    }

    /// A process joins by itself, so its first mention by operators must be one that is live.
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
