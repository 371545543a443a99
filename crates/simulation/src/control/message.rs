//! Messages between control machines, brokers and operators.

use std::sync::Arc;

use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest};
use gingerkeel_domain::consensus::Envelope;
use gingerkeel_domain::feed::LeaseGrant;
use gingerkeel_domain::identifiers::Revision;

use super::broker::BrokerIndex;
use super::machine::MachineIndex;
use super::operator::OperatorIndex;

/// One end of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A control machine.
    Machine(MachineIndex),
    /// A broker.
    Broker(BrokerIndex),
    /// An operator.
    Operator(OperatorIndex),
}

/// Number of a broker's link; a message of an earlier link is not for the present one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkNumber(pub u64);

/// A message on its way.
#[derive(Debug, Clone)]
pub enum Message {
    /// Of the replicated log.
    Peer(Envelope),
    /// A broker opens a link.
    Connect(BrokerIndex, LinkNumber),
    /// A broker subscribes on a link, holding this revision.
    Subscribe(BrokerIndex, LinkNumber, Revision),
    /// A broker asks for a lease.
    Renew(BrokerIndex, LinkNumber, u64),
    /// Of a feed, to a broker.
    Feed(LinkNumber, FeedContent),
    /// An operator sends a change.
    Request(OperatorIndex, ChangeRequest),
    /// An operator asks for the accepted revision.
    AskRevision(OperatorIndex),
    /// The outcome of a change.
    Reply(ChangeRequest, ChangeOutcome),
    /// The accepted revision, confirmed by a quorum.
    RevisionIs(Revision),
}

/// What a feed carries.
#[derive(Debug, Clone)]
pub enum FeedContent {
    /// The link is open.
    Open,
    /// The link is broken.
    Broken,
    /// The whole catalog.
    FullCatalog(Arc<Catalog>),
    /// One change.
    Change(Revision, Change),
    /// A lease.
    Grant(LeaseGrant),
}
