//! Linearizable reads: they wait for a quorum to confirm an index, then for it to be applied.

use std::sync::Arc;

use gingerkeel_domain::cluster::LogIndex;
use gingerkeel_domain::identifiers::ServiceName;
use gingerkeel_domain::rollout::Rollout;
use gingerkeel_domain::routes::AcceptedRoutes;
use gingerkeel_statement::{StatementReply, Subject};
use local_sync::oneshot;

use super::ConnectionId;
use crate::replication::ReadError;

/// A broker's request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTicket {
    /// The broker's connection.
    pub connection: ConnectionId,
    /// Number of the request within the connection.
    pub ticket: u64,
}

/// A read with the sender for its result.
pub enum PendingRead {
    /// A table for an operator.
    Show {
        /// The table to show.
        subject: Subject,
        /// Receives the table.
        reply: oneshot::Sender<Result<StatementReply, ReadError>>,
    },
    /// The route configuration.
    Routes {
        /// Receives the configuration; none if none was accepted yet.
        reply: oneshot::Sender<Result<Option<Arc<AcceptedRoutes>>, ReadError>>,
    },
    /// The newest roll-out of a service.
    Rollout {
        /// The service that is rolled out.
        service: ServiceName,
        /// Receives the roll-out; none if the service had none.
        reply: oneshot::Sender<Result<Option<Rollout>, ReadError>>,
    },
    /// A batch of leases to grant.
    Leases(Vec<LeaseTicket>),
}

struct ConfirmedRead {
    required_index: LogIndex,
    read: PendingRead,
}

/// Reads in progress.
#[derive(Default)]
pub struct Reads {
    confirmed: Vec<ConfirmedRead>,
    requested_leases: Vec<LeaseTicket>,
    confirming_leases: bool,
}

impl Reads {
    /// Queues a request for a lease.
    pub fn request_lease(&mut self, connection: ConnectionId, ticket: u64) {
        self.requested_leases.push(LeaseTicket { connection, ticket });
    }

    /// Starts the next batch of leases; none while a batch is being confirmed. Later requests
    /// cannot join that batch, because its read began before them.
    pub fn next_lease_batch(&mut self) -> Option<Vec<LeaseTicket>> {
        if self.confirming_leases || self.requested_leases.is_empty() {
            return None;
        }
        self.confirming_leases = true;
        Some(std::mem::take(&mut self.requested_leases))
    }

    /// Handles the outcome of a batch of leases; without a quorum no lease is granted.
    pub fn leases_confirmed(
        &mut self,
        tickets: Vec<LeaseTicket>,
        outcome: Result<LogIndex, ReadError>,
    ) {
        self.confirming_leases = false;
        if let Ok(required_index) = outcome {
            self.confirmed
                .push(ConfirmedRead { required_index, read: PendingRead::Leases(tickets) });
        }
    }

    /// Handles the outcome of reads; an error is returned to the requesters.
    pub fn confirmed(&mut self, reads: Vec<PendingRead>, outcome: Result<LogIndex, ReadError>) {
        for read in reads {
            match (&outcome, read) {
                (Ok(required_index), read) => {
                    self.confirmed.push(ConfirmedRead { required_index: *required_index, read })
                }
                (Err(error), PendingRead::Show { reply, .. }) => {
                    // The operator may have disconnected.
                    let _ = reply.send(Err(error.clone()));
                }
                (Err(error), PendingRead::Routes { reply }) => {
                    // The operator may have disconnected.
                    let _ = reply.send(Err(error.clone()));
                }
                (Err(error), PendingRead::Rollout { reply, .. }) => {
                    // The operator may have disconnected.
                    let _ = reply.send(Err(error.clone()));
                }
                (Err(_), PendingRead::Leases(_)) => {}
            }
        }
    }

    /// Takes the reads that can be served once `applied` is applied.
    pub fn due(&mut self, applied: LogIndex) -> Vec<PendingRead> {
        let due = self.confirmed.extract_if(.., |read| read.required_index <= applied);
        due.map(|read| read.read).collect()
    }
}
