//! Messages of the feed between a control process and a broker, in both directions.

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
        /// Protocol version of the broker.
        protocol_version: u16,
        /// Random identifier of the broker's run, drawn at its start.
        run: u64,
        /// Revision of the catalog that the broker holds; 0 if it holds none.
        revision: u64,
        /// Name of the broker.
        broker: ShortText,
        /// Region in which the broker runs.
        region: ShortText,
        /// Zone in which the broker runs.
        zone: ShortText,
    },
    /// Requests a freshness lease.
    #[brw(magic = 2u8)]
    Renew {
        /// Number of the renewal, echoed by the grant.
        ticket: u64,
        /// The revision that the broker has in force.
        in_force: u64,
    },
    /// Reports that the broker has put a revision in force.
    #[brw(magic = 3u8)]
    InForce {
        /// The revision.
        revision: u64,
    },
    /// Charge counters that changed since the last recorded report.
    #[brw(magic = 4u8)]
    Charges {
        /// Sequence number of the report, echoed by the receipt.
        sequence: u64,
        /// The run that the counters belong to.
        run: u64,
        /// The cumulative counters by key, as a document.
        counters: Document,
    },
    /// Reports leaves that were slow in the broker's requests.
    #[brw(magic = 6u8)]
    SlowLeaves {
        /// Observations by leaf, as a document.
        observations: Document,
    },
    /// Reports requests that were in flight at leaves that terminated.
    #[brw(magic = 20u8)]
    CrashFindings {
        /// The broker's findings, as a document.
        findings: Document,
    },
    /// Asks for a trial of a refused request.
    #[brw(magic = 22u8)]
    AskTrial {
        /// Number of the question, echoed by the answer.
        ticket: u64,
        /// The broker's finding on the request, as a document.
        finding: Document,
    },
    /// Tenants' use of their quotas since the last such report.
    #[brw(magic = 7u8)]
    Usage {
        /// The report as a document.
        report: Document,
    },
    /// Observations of roll-outs since the last such report.
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
    /// The full catalog.
    #[brw(magic = 1u8)]
    FullCatalog {
        /// The catalog as a document.
        catalog: Document,
    },
    /// One change that takes the catalog from `revision - 1` to `revision`.
    #[brw(magic = 2u8)]
    Change {
        /// The revision that the change results in.
        revision: u64,
        /// The change as a document.
        change: Document,
    },
    /// Rejects the subscription.
    #[brw(magic = 3u8)]
    Refused {
        /// Protocol version of the control process.
        protocol_version: u16,
        /// Why the subscription is rejected.
        reason: FeedRefusal,
    },
    /// Grants a freshness lease.
    #[brw(magic = 4u8)]
    Lease {
        /// Number of the renewal that requested the lease.
        ticket: u64,
        /// The revision that was accepted when the renewal arrived.
        revision: u64,
        /// Duration of the lease, counted from the request.
        duration_milliseconds: u32,
    },
    /// Changes to the list of brokers that share the leaves.
    #[brw(magic = 5u8)]
    Brokers {
        /// The delta as a document.
        delta: Document,
    },
    /// The complete list of leaves that reported that they are draining; a hint.
    #[brw(magic = 6u8)]
    Leaving {
        /// Number of leaves that follow.
        #[br(temp)]
        #[bw(calc = leaves.len() as u32)]
        count: u32,
        /// Numbers of the leaves.
        #[br(count = count)]
        leaves: Vec<u32>,
    },
    /// Confirms that a report of charges is part of the cluster's totals.
    #[brw(magic = 7u8)]
    ChargesRecorded {
        /// The run of the report.
        run: u64,
        /// Sequence number of the report within the run.
        sequence: u64,
    },
    /// Sets the lowest class of a service that brokers admit.
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
    /// The full list of leaves.
    #[brw(magic = 11u8)]
    WholeDirectory {
        /// The list as a document.
        directory: Document,
    },
    /// A change of the list of leaves.
    #[brw(magic = 12u8)]
    DirectoryChange {
        /// The delta as a document.
        delta: Document,
    },
    /// Addresses at which the control processes accept brokers' connections.
    #[brw(magic = 13u8)]
    Controls {
        /// The addresses as a document.
        addresses: Document,
    },
    /// Leaves that many brokers report as slow; a hint.
    #[brw(magic = 14u8)]
    LeafWarnings {
        /// The warnings as a document.
        warnings: Document,
    },
    /// Findings of other brokers on requests that may crash leaves; a hint.
    #[brw(magic = 20u8)]
    CrashFindings {
        /// The findings as a document.
        findings: Document,
    },
    /// Changes to the replicated set of refused requests.
    #[brw(magic = 22u8)]
    RefusedRequests {
        /// Whether the findings are the complete set.
        #[br(map = |byte: u8| byte != 0)]
        #[bw(map = |whole: &bool| u8::from(*whole))]
        is_whole: bool,
        /// The findings as a document.
        findings: Document,
    },
    /// Answers a broker that asked for a trial.
    #[brw(magic = 23u8)]
    Trial {
        /// Number of the question.
        ticket: u64,
        /// Whether the broker may send the request to one leaf.
        #[br(map = |byte: u8| byte != 0)]
        #[bw(map = |granted: &bool| u8::from(*granted))]
        granted: bool,
    },
    /// Remaining quotas of tenants, and the latest report of this broker that they include.
    #[brw(magic = 15u8)]
    Usage {
        /// The levels as a document.
        usage: Document,
    },
    /// Rejects a report of charges whose run is settled: the broker continues in a new run.
    #[brw(magic = 8u8)]
    RunSettled {
        /// The run of the report.
        run: u64,
        /// Sequence number of the report within the run.
        sequence: u64,
    },
}

impl FeedMessage {
    /// Name of the message type as written to logs.
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

/// Why a subscription is rejected.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedRefusal {
    /// The protocol versions differ.
    ProtocolVersion = 1,
    /// The broker was removed from the cluster.
    Removed = 2,
    /// The broker's name, region or zone is empty or not UTF-8.
    BadName = 3,
}
