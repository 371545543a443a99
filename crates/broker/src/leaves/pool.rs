//! The connections of this broker to one leaf.

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

/// What a leaf is asked to do.
#[derive(Debug)]
pub enum LeafWork {
    /// Run a request.
    Send(WireRequest),
    /// Cancel one.
    Cancel(LeafRequestId),
    /// Ask the leaf whether it is leaving.
    Probe,
}

/// A connection and the request whose reply it is owed.
struct PooledConnection {
    commands: Tx<ConnectionCommand>,
    carries: Option<LeafRequestId>,
}

/// The connections of this broker to one leaf; at most `limit` of them are open.
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
    /// A pool without connections; they open on demand.
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

    /// Carries out work on an idle connection, a new one, or the next that becomes idle.
    pub fn submit(&mut self, work: LeafWork, next_connection: &mut u64) {
        match work {
            LeafWork::Send(request) => {
                self.waiting.push_back(ConnectionCommand::Send(request));
            }
            LeafWork::Cancel(request) if self.withdraw(request) => {}
            LeafWork::Cancel(request) if self.abandon(request) => {
                self.waiting.push_front(ConnectionCommand::Cancel(request));
            }
            // The reply is on its way to the engine already.
            LeafWork::Cancel(_) => {}
            // Replies to what the busy connections carry will have the mark.
            LeafWork::Probe if self.is_busy() => {}
            LeafWork::Probe => self.waiting.push_back(ConnectionCommand::Probe),
        }
        self.assign(next_connection);
    }

    /// Whether a probe would have to wait for a connection.
    fn is_busy(&self) -> bool {
        self.idle.is_empty() && self.connections.len() >= self.limit
    }

    /// Address of the leaf.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the number of connections; surplus ones close once they are idle.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// A connection can take the next command.
    pub fn connection_idle(&mut self, connection: ConnectionId, next_connection: &mut u64) {
        if self.connections.len() > self.limit {
            self.connections.remove(&connection);
            return;
        }
        if let Some(pooled) = self.connections.get_mut(&connection) {
            pooled.carries = None;
            self.idle.push(connection);
        }
        self.assign(next_connection);
    }

    /// A connection is gone.
    pub fn connection_closed(&mut self, connection: ConnectionId, next_connection: &mut u64) {
        self.connections.remove(&connection);
        self.idle.retain(|candidate| *candidate != connection);
        self.assign(next_connection);
    }

    /// Takes back a request that no connection has yet; it was not run.
    fn withdraw(&mut self, request: LeafRequestId) -> bool {
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

    /// Tells the connection that carries a request that its reply is not wanted any more; false
    /// when no connection carries it.
    fn abandon(&mut self, request: LeafRequestId) -> bool {
        let carrier = self.connections.values().find(|pooled| pooled.carries == Some(request));
        carrier
            .is_some_and(|pooled| pooled.commands.send(ConnectionCommand::Abandon(request)).is_ok())
    }

    fn assign(&mut self, next_connection: &mut u64) {
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
            pooled.carries = carried_request(&command);
            // A connection that closed just now fails what it is given as not sent.
            let _ = pooled.commands.send(command);
        }
    }

    fn open(&mut self, next_connection: &mut u64, command: ConnectionCommand) {
        let connection = ConnectionId(*next_connection);
        *next_connection += 1;
        let (sender, commands) = unbounded::channel();
        let carries = carried_request(&command);
        // The receiver is held below.
        let _ = sender.send(command);
        self.connections.insert(connection, PooledConnection { commands: sender, carries });
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

fn carried_request(command: &ConnectionCommand) -> Option<LeafRequestId> {
    match command {
        ConnectionCommand::Send(wire_request) => Some(wire_request.request),
        ConnectionCommand::Cancel(_) | ConnectionCommand::Abandon(_) | ConnectionCommand::Probe => {
            None
        }
    }
}
