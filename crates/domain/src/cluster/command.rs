//! Commands of the replicated log and their outcomes.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{
    BrokerChange, BrokerOverload, ChargeReceipt, ChargeReport, ControlRenewal,
    FormerAcceptedRoutes, LeafHealthChange, Threshold, WallTime,
};
use crate::catalog::{CatalogError, Change};
use crate::crash_suspects::CrashFinding;
use crate::directory::{DirectoryDelta, FormerDirectoryDelta};
use crate::identifiers::{BrokerName, ControlName, Revision, ServiceName, SessionName};
use crate::rollout::{RolloutAdvance, RolloutReport};
use crate::routes::{AcceptedRoutes, ReplaceOutcome, RouteVersion};

/// A command of the replicated log with its proposal time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Proposal time by the proposer's clock.
    pub at: WallTime,
    /// Operation to apply.
    pub body: CommandBody,
}

/// Operation of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandBody {
    /// An operator changes the catalog.
    Change(ChangeRequest),
    /// A control process renews its lease.
    RenewControl(ControlRenewal),
    /// A control process reports changes among the brokers that it feeds.
    ReportBrokers {
        /// The control process.
        control: ControlName,
        /// What changed.
        changes: Vec<BrokerChange>,
    },
    /// A control process reports changes among the leaves that it polls.
    ReportLeaves {
        /// The control process.
        control: ControlName,
        /// What changed.
        changes: Vec<LeafHealthChange>,
    },
    /// Charge counters, one report for each broker run.
    ReportCharges(Vec<ChargeReport>),
    /// Overload reports of brokers, which set the thresholds.
    ReportOverload(Vec<BrokerOverload>),
    /// Sets or removes the load-shedding threshold of a service.
    SetThreshold {
        /// Service that the threshold applies to.
        service: ServiceName,
        /// New threshold; `None` admits every class.
        threshold: Option<Threshold>,
    },
    /// An operator replaced the route configuration, in the layout of releases without tenants.
    /// Decoded from existing logs only; no longer proposed.
    ReplaceFormerRoutes(Arc<FormerAcceptedRoutes>),
    /// The poller reported changes to the list of leaves, in the layout of releases without
    /// software versions. Decoded from existing logs only; no longer proposed.
    ReportFormerDirectory(FormerDirectoryDelta),
    /// An operator replaces the route configuration.
    ReplaceRoutes(Arc<AcceptedRoutes>),
    /// The poller reports changes to the list of leaves.
    ReportDirectory(DirectoryDelta),
    /// A control process reports the roll-out evidence of the brokers that it feeds.
    ReportRollouts(Vec<RolloutReport>),
    /// The leader advances a roll-out to another stage.
    AdvanceRollout(RolloutAdvance),
    /// A control process reports the brokers' findings on requests that may crash leaves.
    ReportCrashes(Vec<CrashFinding>),
    /// A broker asks for permission to try a refused request on one leaf.
    GrantTrial {
        /// The requesting broker.
        broker: BrokerName,
        /// Number of the request, echoed in the response.
        ticket: u64,
        /// The broker's finding on the refused request.
        finding: CrashFinding,
    },
}

impl CommandBody {
    /// Version of the route configuration that the command puts in force, if any.
    pub fn routes_version(&self) -> Option<RouteVersion> {
        match self {
            Self::ReplaceFormerRoutes(former) => Some(former.version()),
            Self::ReplaceRoutes(routes) => Some(routes.configuration.version),
            _ => None,
        }
    }
}

/// Idempotency key of an operator's command, the same for every resend.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId {
    /// The operator's session.
    pub session: SessionName,
    /// Number of the command within the session; strictly increasing.
    pub sequence: u64,
}

impl fmt::Display for CommandId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.session, self.sequence)
    }
}

/// An operator's change to the catalog.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Idempotency key of the request.
    pub id: CommandId,
    /// Revision that the change is based on; `None` skips the conflict check.
    pub based_on: Option<Revision>,
    /// The requested change.
    pub change: Change,
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command was already included in the state.
    AlreadyApplied,
    /// Outcome of a catalog change.
    Change(ChangeOutcome),
    /// The report is part of the state.
    Recorded,
    /// Receipts of charge reports, in the order of the reports.
    Charges(Vec<ChargeReceipt>),
    /// Roll-outs that advanced to another stage.
    Rollouts(Vec<RolloutAdvance>),
    /// Outcome of a broker's request for a trial.
    Trial {
        /// Whether the broker may try the request.
        granted: bool,
    },
    /// Outcome of a replacement of the route configuration.
    Routes(ReplaceOutcome),
}

/// Outcome of a catalog change; recorded and returned to resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is applied.
    Accepted {
        /// Catalog revision that the change created.
        revision: Revision,
        /// Proposal time of the change.
        at: WallTime,
    },
    /// The change was rejected and had no effect.
    Refused(ChangeRefusal),
}

quick_error! {
    /// Reason for a rejected change; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ChangeRefusal {
        /// A conflicting change was accepted since the base revision.
        Conflict(target: String, first: SessionName, at: WallTime, revision: Revision) {
            display("{target} was changed first by session {first} at revision {revision} ({} ms since 1970): inspect it with SHOW, then repeat the change AT REVISION {revision} or later", at.0)
        }
        /// The base revision is newer than the newest accepted one.
        RevisionAhead(named: Revision, newest: Revision) {
            display("revision {named} does not exist yet, the newest is {newest}: name a revision reported by SHOW REVISION")
        }
        /// The history no longer covers all changes since the base revision.
        RevisionForgotten(named: Revision, oldest: Revision) {
            display("revision {named} is too old to check for conflicts, the oldest usable one is {oldest}: inspect the state with SHOW and name the current revision")
        }
        /// The sequence number was already used for a different command.
        SequenceReused(id: CommandId) {
            display("command {id} was another one: number each new command higher than the last")
        }
        /// A newer command of the session was executed, and no outcome of this one is recorded.
        SequenceForgotten(id: CommandId) {
            display("command {id} is older than the recorded ones and was not executed now: check with SHOW whether it was executed before, and number new commands higher")
        }
        /// The limit of recorded sessions is reached.
        TooManySessions(limit: u64) {
            display("all {limit} sessions are in use: reuse one with --session, or wait until idle ones expire")
        }
        /// The change is invalid for the catalog.
        Catalog(error: CatalogError) {
            display("{error}")
        }
    }
}
