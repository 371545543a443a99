//! Connection pool of one leaf.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::identifiers::{LeafId, LeafRequestId};
use gingerkeel_domain::query::{LeafReply, NotRunReason};
use gingerkeel_transport::Limits;
use local_sync::mpsc::unbounded::{self, Tx};

use super::connection::{ConnectionCommand, ConnectionId, ConnectionTask, LeafMessage};
use super::wire::WireRequest;
use crate::engine::EngineMessage;

/// Work for a leaf.
#[derive(Debug)]
pub enum LeafWork {
    /// Run a request.
    Send(WireRequest),
    /// Cancel a request.
    Cancel(LeafRequestId),
    /// Ask the leaf whether it is leaving.
    Probe,
}

/// A connection and the request in flight on it.
struct PooledConnection {
    commands: Tx<ConnectionCommand>,
    in_flight: Option<LeafRequestId>,
}

/// Connections of this broker to one leaf, at most `limit` of them.
pub struct LeafPool {
    leaf: LeafId,
    address: SocketAddr,
    limit: usize,
    run: Rc<str>,
    limits: Limits,
    engine: Tx<EngineMessage>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    idle: Vec<ConnectionId>,
    waiting: VecDeque<ConnectionCommand>,
}

impl LeafPool {
    /// Creates an empty pool; connections open on demand.
    pub fn new(
        leaf: LeafId,
        address: SocketAddr,
        limit: usize,
        run: Rc<str>,
        limits: Limits,
        engine: Tx<EngineMessage>,
    ) -> Self {
        Self {
            leaf,
            address,
            limit,
            run,
            limits,
            engine,
            connections: BTreeMap::new(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Runs work on an idle connection, on a new one, or on the next that becomes idle.
    pub fn submit(&mut self, work: LeafWork, next_connection: &mut u64) {
        match work {
            LeafWork::Send(request) => {
                self.waiting.push_back(ConnectionCommand::Send(request));
            }
            LeafWork::Cancel(request) if self.remove_waiting(request) => {}
            LeafWork::Cancel(request) if self.abandon(request) => {
                self.waiting.push_front(ConnectionCommand::Cancel(request));
            }
            // The engine is already receiving the reply.
            LeafWork::Cancel(_) => {}
            // The replies to the requests in flight carry the draining header, too.
            LeafWork::Probe if self.is_busy() => {}
            LeafWork::Probe => self.waiting.push_back(ConnectionCommand::Probe),
        }
        self.dispatch_waiting(next_connection);
    }

    /// Whether a probe would have to wait for a connection.
    fn is_busy(&self) -> bool {
        self.idle.is_empty() && self.connections.len() >= self.limit
    }

    /// Address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the connection limit; surplus connections close once they are idle.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Handles a connection that can take the next command.
    pub fn connection_idle(&mut self, connection: ConnectionId, next_connection: &mut u64) {
        if self.connections.len() > self.limit {
            self.connections.remove(&connection);
            return;
        }
        if let Some(pooled) = self.connections.get_mut(&connection) {
            pooled.in_flight = None;
            self.idle.push(connection);
        }
        self.dispatch_waiting(next_connection);
    }

    /// Handles a connection that has closed.
    pub fn connection_closed(&mut self, connection: ConnectionId, next_connection: &mut u64) {
        self.connections.remove(&connection);
        self.idle.retain(|candidate| *candidate != connection);
        self.dispatch_waiting(next_connection);
    }

    /// Removes a request that still waits for a connection and completes it as not run.
    fn remove_waiting(&mut self, request: LeafRequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|command| {
            !matches!(command, ConnectionCommand::Send(waiting) if waiting.request == request)
        });
        if self.waiting.len() == before {
            return false;
        }
        let completion = LeafCompletion::Replied(LeafReply::NotRun(NotRunReason::Cancelled));
        let message =
            LeafMessage::Completed { leaf: self.leaf, request, completion, draining: None };
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::Leaf(message));
        true
    }

    /// Tells the connection on which a request is in flight to abandon it; false if there is none.
    fn abandon(&mut self, request: LeafRequestId) -> bool {
        let pooled = self.connections.values().find(|pooled| pooled.in_flight == Some(request));
        pooled
            .is_some_and(|pooled| pooled.commands.send(ConnectionCommand::Abandon(request)).is_ok())
    }

    fn dispatch_waiting(&mut self, next_connection: &mut u64) {
        while let Some(command) = self.waiting.pop_front() {
            let Some(connection) = self.idle.pop() else {
                if self.connections.len() >= self.limit {
                    self.waiting.push_front(command);
                    return;
                }
                self.open(next_connection, command);
                continue;
            };
            let Some(pooled) = self.connections.get_mut(&connection) else {
                self.waiting.push_front(command);
                continue;
            };
            pooled.in_flight = request_of(&command);
            // A connection that has just closed fails the command as not sent.
            let _ = pooled.commands.send(command);
        }
    }

    fn open(&mut self, next_connection: &mut u64, command: ConnectionCommand) {
        let connection = ConnectionId(*next_connection);
        *next_connection += 1;
        let (sender, commands) = unbounded::channel();
        let in_flight = request_of(&command);
        // The receiver is still held, so that this cannot fail.
        let _ = sender.send(command);
        self.connections.insert(connection, PooledConnection { commands: sender, in_flight });
        let task = ConnectionTask {
            leaf: self.leaf,
            connection,
            address: self.address,
            run: self.run.clone(),
            limits: self.limits,
            engine: self.engine.clone(),
        };
        monoio::spawn(task.run(commands));
    }
}

fn request_of(command: &ConnectionCommand) -> Option<LeafRequestId> {
    match command {
        ConnectionCommand::Send(wire_request) => Some(wire_request.request),
        ConnectionCommand::Cancel(_) | ConnectionCommand::Abandon(_) | ConnectionCommand::Probe => {
            None
        }
    }
}
