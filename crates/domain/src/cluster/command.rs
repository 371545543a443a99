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

/// One command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// When it was proposed, by the proposer's clock.
    pub at: WallTime,
    /// What is to be done.
    pub body: CommandBody,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandBody {
    /// An operator changes the catalog.
    Change(ChangeRequest),
    /// A control process renews its lease.
    RenewControl(ControlRenewal),
    /// A control process tells what changed among the brokers that it feeds.
    ReportBrokers {
        /// The control process.
        control: ControlName,
        /// What changed.
        changes: Vec<BrokerChange>,
    },
    /// A control process tells what changed among the leaves that it polls.
    ReportLeaves {
        /// The control process.
        control: ControlName,
        /// What changed.
        changes: Vec<LeafHealthChange>,
    },
    /// Counters of charges, one report for each broker run.
    ReportCharges(Vec<ChargeReport>),
    /// What brokers reported of their overload, which sets thresholds.
    ReportOverload(Vec<BrokerOverload>),
    /// Sets the lowest class that brokers admit.
    SetThreshold {
        /// The service.
        service: ServiceName,
        /// The threshold; none admits every class.
        threshold: Option<Threshold>,
    },
    /// An operator replaced the configuration of routes, in the layout of releases that knew no tenants: it
    /// is read from logs, and not proposed any more.
    ReplaceFormerRoutes(Arc<FormerAcceptedRoutes>),
    /// The poller told what changed in the list of leaves, in the layout of releases that knew no versions of
    /// their software: it is read from logs, and not proposed any more.
    ReportFormerDirectory(FormerDirectoryDelta),
    /// An operator replaces the configuration of routes.
    ReplaceRoutes(Arc<AcceptedRoutes>),
    /// The poller tells what changed in the list of leaves.
    ReportDirectory(DirectoryDelta),
    /// A control process tells what came to light of roll-outs at the brokers that it feeds.
    ReportRollouts(Vec<RolloutReport>),
    /// The leader finds that a roll-out is to go on.
    AdvanceRollout(RolloutAdvance),
    /// A control process tells which requests crash leaves, or do not, as brokers found.
    ReportCrashes(Vec<CrashFinding>),
    /// A broker asks whether it may try a refused request at one leaf.
    GrantTrial {
        /// The broker.
        broker: BrokerName,
        /// Number of its question, which the answer repeats.
        ticket: u64,
        /// What it holds of the request.
        finding: CrashFinding,
    },
}

impl CommandBody {
    /// The version of a configuration of routes that replaces the one in force.
    pub fn routes_version(&self) -> Option<RouteVersion> {
        match self {
            Self::ReplaceFormerRoutes(former) => Some(former.version()),
            Self::ReplaceRoutes(routes) => Some(routes.configuration.version),
            _ => None,
        }
    }
}

/// Identifies an operator's command over all resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId {
    /// The operator's session.
    pub session: SessionName,
    /// Number of the command within the session; greater than that of the command before.
    pub sequence: u64,
}

impl fmt::Display for CommandId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.session, self.sequence)
    }
}

/// An operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Its identity.
    pub id: CommandId,
    /// The revision that the operator looked at; none accepts whatever came since.
    pub based_on: Option<Revision>,
    /// The change.
    pub change: Change,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It was part of the state before.
    AlreadyApplied,
    /// Of a change.
    Change(ChangeOutcome),
    /// The report is part of the state.
    Recorded,
    /// Of charges, in the order of the reports.
    Charges(Vec<ChargeReceipt>),
    /// Of news of roll-outs: those that went on to another stage.
    Rollouts(Vec<RolloutAdvance>),
    /// Of a trial that a broker asked for.
    Trial {
        /// Whether the broker may try the request.
        granted: bool,
    },
    /// Of a replacement of the routes.
    Routes(ReplaceOutcome),
}

/// What became of a change; recorded for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It is accepted.
    Accepted {
        /// Revision of the catalog that it gave.
        revision: Revision,
        /// When it was proposed.
        at: WallTime,
    },
    /// It changed nothing.
    Refused(ChangeRefusal),
}

quick_error! {
    /// Why a change was refused; each message names the remedy.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ChangeRefusal {
        /// Another change of the same thing was accepted since the revision that was named.
        Conflict(target: String, first: SessionName, at: WallTime, revision: Revision) {
            display("{target} was changed first by session {first} at revision {revision} ({} ms since 1970): look at it with SHOW, then repeat the change AT REVISION {revision} or later", at.0)
        }
        /// The revision that was named is not reached.
        RevisionAhead(named: Revision, newest: Revision) {
            display("revision {named} is not accepted yet, the newest is {newest}: name a revision that SHOW REVISION gave")
        }
        /// The changes since the revision that was named are not kept any more.
        RevisionForgotten(named: Revision, oldest: Revision) {
            display("revision {named} is too old to compare with, the oldest is {oldest}: look again with SHOW and name the new revision")
        }
        /// The number was used for another command.
        SequenceReused(id: CommandId) {
            display("command {id} was another one: number each new command higher than the last")
        }
        /// A newer command of the session was carried out, and this one is not recorded.
        SequenceForgotten(id: CommandId) {
            display("command {id} is older than the recorded ones, and was not carried out now: look with SHOW whether it was before, and number new commands higher")
        }
        /// No further session can be recorded.
        TooManySessions(limit: u64) {
            display("{limit} sessions are in use: go on in one of them with --session, or wait until idle ones expire")
        }
        /// The catalog refuses the change.
        Catalog(error: CatalogError) {
            display("{error}")
        }
    }
}
