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

/// Sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// A control machine.
    Machine(MachineIndex),
    /// A broker.
    Broker(BrokerIndex),
    /// An operator.
    Operator(OperatorIndex),
}

/// Number of a broker's link. Messages of earlier links are discarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkNumber(pub u64);

/// A message in transit.
#[derive(Debug, Clone)]
pub enum Message {
    /// Consensus message between control machines.
    Peer(Envelope),
    /// Connection request of a broker.
    Connect(BrokerIndex, LinkNumber),
    /// Subscription of a broker that has this revision.
    Subscribe(BrokerIndex, LinkNumber, Revision),
    /// Lease request of a broker, with its ticket.
    Renew(BrokerIndex, LinkNumber, u64),
    /// Feed message to a broker.
    Feed(LinkNumber, FeedContent),
    /// Change request of an operator.
    Request(OperatorIndex, ChangeRequest),
    /// Request of an operator for the accepted revision.
    AskRevision(OperatorIndex),
    /// The outcome of a change.
    Reply(ChangeRequest, ChangeOutcome),
    /// The accepted revision, confirmed by a quorum.
    RevisionIs(Revision),
}

/// Content of a feed message.
#[derive(Debug, Clone)]
pub enum FeedContent {
    /// The link is open.
    Open,
    /// The link is broken.
    Broken,
    /// The full catalog.
    FullCatalog(Arc<Catalog>),
    /// One change with its revision.
    Change(Revision, Change),
    /// A granted lease.
    Grant(LeaseGrant),
}
