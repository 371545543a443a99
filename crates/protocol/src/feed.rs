//! The feed from a control process to a broker, and what the broker reports on it.

use binrw::binrw;

use crate::text::{Document, ShortText};

/// A message from a broker to its control process.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubscriberMessage {
    /// Opens the feed.
    #[brw(magic = 1u8)]
    Subscribe {
        /// Version of the frames that the broker speaks.
        protocol_version: u16,
        /// Number of the broker's run, drawn at its start.
        run: u64,
        /// Revision of the catalog that the broker holds; 0 for none.
        revision: u64,
        /// Name of the broker.
        broker: ShortText,
        /// Region in which it runs.
        region: ShortText,
        /// Zone in which it runs.
        zone: ShortText,
    },
    /// The broker asks for a freshness lease.
    #[brw(magic = 2u8)]
    Renew {
        /// Number of the renewal, which the grant repeats.
        ticket: u64,
        /// The revision that it has in force.
        in_force: u64,
    },
    /// The broker has put a revision in force.
    #[brw(magic = 3u8)]
    InForce {
        /// The revision.
        revision: u64,
    },
    /// Charge counters that changed since the last report that was recorded.
    #[brw(magic = 4u8)]
    Charges {
        /// Number of the report, which the receipt repeats.
        sequence: u64,
        /// The run that counted.
        run: u64,
        /// The counters by key, as a document.
        counters: Document,
    },
    /// Leaves that were slow in the broker's requests.
    #[brw(magic = 6u8)]
    SlowLeaves {
        /// What it saw of each, as a document.
        observations: Document,
    },
    /// Requests under which leaves have ended.
    #[brw(magic = 20u8)]
    CrashFindings {
        /// What the broker found, as a document.
        findings: Document,
    },
    /// The broker asks for a trial of a request that is refused.
    #[brw(magic = 22u8)]
    AskTrial {
        /// Number of the question, which the answer repeats.
        ticket: u64,
        /// What it holds of the request, as a document.
        finding: Document,
    },
    /// What tenants used of their quotas since the last such report.
    #[brw(magic = 7u8)]
    Usage {
        /// The report as a document.
        report: Document,
    },
    /// What came to light of roll-outs since the last such report.
    #[brw(magic = 21u8)]
    Rollouts {
        /// The reports as a document.
        reports: Document,
    },
    /// Load and refusals of one service since the last such report.
    #[brw(magic = 5u8)]
    Overload {
        /// The report as a document.
        report: Document,
    },
}

/// A message from a control process to a broker.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedMessage {
    /// The whole catalog.
    #[brw(magic = 1u8)]
    FullCatalog {
        /// The catalog as a document.
        catalog: Document,
    },
    /// One change that takes the catalog from `revision - 1` to `revision`.
    #[brw(magic = 2u8)]
    Change {
        /// The revision that the change gives.
        revision: u64,
        /// The change as a document.
        change: Document,
    },
    /// The broker cannot be served.
    #[brw(magic = 3u8)]
    Refused {
        /// Version of the frames that the control process speaks.
        protocol_version: u16,
        /// Why.
        reason: FeedRefusal,
    },
    /// A freshness lease.
    #[brw(magic = 4u8)]
    Lease {
        /// Number of the renewal that asked for it.
        ticket: u64,
        /// The revision that was accepted when the renewal came.
        revision: u64,
        /// How long it lasts from when it was asked for.
        duration_milliseconds: u32,
    },
    /// What changed among the brokers that share the leaves, as a document.
    #[brw(magic = 5u8)]
    Brokers {
        /// The delta.
        delta: Document,
    },
    /// Leaves that said that they are leaving, all of them; a hint.
    #[brw(magic = 6u8)]
    Leaving {
        /// How many.
        #[br(temp)]
        #[bw(calc = leaves.len() as u32)]
        count: u32,
        /// Their numbers.
        #[br(count = count)]
        leaves: Vec<u32>,
    },
    /// A report of charges is part of the totals.
    #[brw(magic = 7u8)]
    ChargesRecorded {
        /// The run that counted.
        run: u64,
        /// Number of the report within the run.
        sequence: u64,
    },
    /// The lowest class of a service that brokers admit.
    #[brw(magic = 9u8)]
    Threshold {
        /// Name of the service.
        service: ShortText,
        /// Priority of the class; 255 admits every class.
        lowest_admitted: u8,
    },
    /// The configuration of routes.
    #[brw(magic = 10u8)]
    Routes {
        /// The configuration as a document.
        configuration: Document,
    },
    /// The whole list of leaves.
    #[brw(magic = 11u8)]
    WholeDirectory {
        /// The list as a document.
        directory: Document,
    },
    /// What changed in the list of leaves.
    #[brw(magic = 12u8)]
    DirectoryChange {
        /// The delta as a document.
        delta: Document,
    },
    /// Where the control processes take brokers' connections.
    #[brw(magic = 13u8)]
    Controls {
        /// The addresses as a document.
        addresses: Document,
    },
    /// Leaves that many brokers find slow; a hint.
    #[brw(magic = 14u8)]
    LeafWarnings {
        /// The warnings as a document.
        warnings: Document,
    },
    /// Requests under which leaves have ended, as other brokers found; a hint.
    #[brw(magic = 20u8)]
    CrashFindings {
        /// The findings as a document.
        findings: Document,
    },
    /// Requests that the replicated state refuses, or does not any more.
    #[brw(magic = 22u8)]
    RefusedRequests {
        /// Whether no others are refused.
        #[br(map = |byte: u8| byte != 0)]
        #[bw(map = |whole: &bool| u8::from(*whole))]
        is_whole: bool,
        /// The findings as a document.
        findings: Document,
    },
    /// The answer to a broker that asked for a trial.
    #[brw(magic = 23u8)]
    Trial {
        /// Number of the question.
        ticket: u64,
        /// Whether the broker may send it to one leaf.
        #[br(map = |byte: u8| byte != 0)]
        #[bw(map = |granted: &bool| u8::from(*granted))]
        granted: bool,
    },
    /// How much of tenants' quotas is left, and which report of this broker that contains.
    #[brw(magic = 15u8)]
    Usage {
        /// The levels as a document.
        usage: Document,
    },
    /// The run that was reported is settled: the broker counts on in a new one.
    #[brw(magic = 8u8)]
    RunSettled {
        /// The run that counted.
        run: u64,
        /// Number of the report within the run.
        sequence: u64,
    },
}

impl FeedMessage {
    /// What it tells, in one or two words, as logs say it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::FullCatalog { .. } => "full_catalog",
            Self::Change { .. } => "change",
            Self::Refused { .. } => "refused",
            Self::Lease { .. } => "lease",
            Self::Brokers { .. } => "brokers",
            Self::Leaving { .. } => "leaving",
            Self::ChargesRecorded { .. } => "charges_recorded",
            Self::Threshold { .. } => "threshold",
            Self::Routes { .. } => "routes",
            Self::WholeDirectory { .. } => "whole_directory",
            Self::DirectoryChange { .. } => "directory_change",
            Self::Controls { .. } => "controls",
            Self::LeafWarnings { .. } => "leaf_warnings",
            Self::CrashFindings { .. } => "crash_findings",
            Self::RefusedRequests { .. } => "refused_requests",
            Self::Trial { .. } => "trial",
            Self::Usage { .. } => "usage",
            Self::RunSettled { .. } => "run_settled",
        }
    }
}

/// Why a broker is not served.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedRefusal {
    /// The versions of the frames differ.
    ProtocolVersion = 1,
    /// Operators removed the broker.
    Removed = 2,
    /// Its name, region or zone is not UTF-8 or empty.
    BadName = 3,
}
