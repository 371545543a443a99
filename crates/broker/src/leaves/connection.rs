//! A connection to a leaf; one task owns it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::dispatch::LeafCompletion;
use gingerkeel_domain::identifiers::{LeafId, LeafRequestId};
use gingerkeel_domain::query::{LeafFailure, LeafReply, NotRunReason};
use gingerkeel_transport::{
    ClientConnection, HttpResponse, Limits, RequestWriter, ResponseReader, TransportError,
};
use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::time::error::Elapsed;
use monoio::time::timeout;

use super::wire::{WireRequest, cancellation, probe, read_draining, read_reply};
use crate::engine::EngineMessage;

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after the caller's deadline a reply is awaited before the connection is closed.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// How long after a cancellation the pending reply is awaited before the connection is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(200);

/// Timeout of a probe; the connection is closed afterwards.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of a connection, unique within the broker run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A command to a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send a request and read its reply.
    Send(WireRequest),
    /// Cancel a request in flight on another connection.
    Cancel(LeafRequestId),
    /// Ask the leaf whether it is draining.
    Probe,
    /// Stop waiting for the reply to the request in flight on this connection.
    Abandon(LeafRequestId),
}

/// An event of a connection, for the engine.
#[derive(Debug)]
pub enum LeafMessage {
    /// A request has completed.
    Completed {
        /// The leaf.
        leaf: LeafId,
        /// The request.
        request: LeafRequestId,
        /// The reply, or why there is none.
        completion: LeafCompletion,
        /// Whether the leaf is draining, if its reply says so.
        draining: Option<bool>,
    },
    /// The leaf answered a probe.
    ProbeAnswered {
        /// The leaf.
        leaf: LeafId,
        /// Whether the leaf is draining.
        draining: bool,
    },
    /// The connection can take the next command.
    Idle {
        /// The leaf.
        leaf: LeafId,
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection has closed.
    Closed {
        /// The leaf.
        leaf: LeafId,
        /// The connection.
        connection: ConnectionId,
    },
}

/// Parameters of a connection task.
pub struct ConnectionTask {
    /// The leaf.
    pub leaf: LeafId,
    /// Number of the connection.
    pub connection: ConnectionId,
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Name of this broker run, a prefix of request identifiers.
    pub run: Rc<str>,
    /// Limits of replies.
    pub limits: Limits,
    /// Receives the events.
    pub engine: Tx<EngineMessage>,
}

impl ConnectionTask {
    /// Connects, then executes commands until the connection fails.
    pub async fn run(self, mut commands: Rx<ConnectionCommand>) {
        let connecting = ClientConnection::connect(self.address, self.limits);
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, connecting).await {
            let (mut writer, mut reader) = connection.into_split();
            while self.execute_next(&mut writer, &mut reader, &mut commands).await.is_some() {
                let idle = LeafMessage::Idle { leaf: self.leaf, connection: self.connection };
                self.notify_engine(idle);
            }
        }
        self.close(commands);
    }

    /// Executes one command; none if the connection can no longer be used.
    async fn execute_next(
        &self,
        writer: &mut RequestWriter,
        reader: &mut ResponseReader,
        commands: &mut Rx<ConnectionCommand>,
    ) -> Option<()> {
        // Reading starts while the connection is idle, so that a close by the leaf is noticed
        // before a request is written.
        let mut receiving = pin!(reader.receive());
        let command = monoio::select! {
            _ = &mut receiving => None,
            command = commands.recv() => command,
        }?;
        match command {
            ConnectionCommand::Send(wire_request) => {
                let request = wire_request.request;
                if is_abandoned(commands, request) {
                    let reply = LeafReply::NotRun(NotRunReason::Cancelled);
                    self.complete(request, LeafCompletion::Replied(reply), None);
                    // The pending read is dropped before it has consumed a byte.
                    return Some(());
                }
                let wait = wire_request.time_left + REPLY_GRACE;
                let exchange = async {
                    writer.send(wire_request.to_http(&self.run)).await?;
                    receiving.await
                };
                let response = await_reply(timeout(wait, exchange), commands, request).await;
                self.finish(request, response)
            }
            ConnectionCommand::Cancel(request) => {
                let exchange = async {
                    writer.send(cancellation(&self.run, request)).await?;
                    receiving.await
                };
                timeout(REPLY_GRACE, exchange).await.ok()?.ok().map(|_| ())
            }
            ConnectionCommand::Probe => {
                let exchange = async {
                    writer.send(probe()).await?;
                    receiving.await
                };
                let response = timeout(PROBE_TIMEOUT, exchange).await.ok()?.ok()?;
                if let Some(draining) = read_draining(&response) {
                    self.notify_engine(LeafMessage::ProbeAnswered { leaf: self.leaf, draining });
                }
                Some(())
            }
            // The reply arrived before the command to abandon it.
            ConnectionCommand::Abandon(_) => Some(()),
        }
    }

    fn finish(
        &self,
        request: LeafRequestId,
        response: Option<Result<HttpResponse, TransportError>>,
    ) -> Option<()> {
        let Some(Ok(response)) = response else {
            self.complete(request, LeafCompletion::Failed(LeafFailure::Broken), None);
            return None;
        };
        let draining = read_draining(&response);
        let completion = read_reply(&self.run, request, response);
        let broken = completion == LeafCompletion::Failed(LeafFailure::Broken);
        self.complete(request, completion, draining);
        (!broken).then_some(())
    }

    /// Fails the requests that were never written.
    fn close(&self, mut commands: Rx<ConnectionCommand>) {
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let ConnectionCommand::Send(wire_request) = command {
                let completion = LeafCompletion::Failed(LeafFailure::NotSent);
                self.complete(wire_request.request, completion, None);
            }
        }
        self.notify_engine(LeafMessage::Closed { leaf: self.leaf, connection: self.connection });
    }

    fn complete(&self, request: LeafRequestId, completion: LeafCompletion, draining: Option<bool>) {
        let leaf = self.leaf;
        self.notify_engine(LeafMessage::Completed { leaf, request, completion, draining });
    }

    fn notify_engine(&self, message: LeafMessage) {
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::Leaf(message));
    }
}

/// Whether the request was abandoned before it was written.
fn is_abandoned(commands: &mut Rx<ConnectionCommand>, request: LeafRequestId) -> bool {
    matches!(commands.try_recv(), Ok(ConnectionCommand::Abandon(abandoned)) if abandoned == request)
}

/// Awaits the reply; after an abandon command only for [`CANCEL_GRACE`], so that an unresponsive
/// leaf does not occupy the connection. None if no reply arrived in time.
async fn await_reply(
    exchange: impl Future<Output = Result<Result<HttpResponse, TransportError>, Elapsed>>,
    commands: &mut Rx<ConnectionCommand>,
    request: LeafRequestId,
) -> Option<Result<HttpResponse, TransportError>> {
    let mut exchange = pin!(exchange);
    loop {
        let command = monoio::select! {
            response = &mut exchange => return response.ok(),
            command = commands.recv() => command,
        };
        match command {
            Some(ConnectionCommand::Abandon(abandoned)) if abandoned == request => {
                return timeout(CANCEL_GRACE, exchange).await.ok()?.ok();
            }
            // The pool sends no other command to a busy connection.
            Some(_) => {}
            // The pool was dropped: the leaf left the catalog. The pending reply is still awaited.
            None => return exchange.await.ok(),
        }
    }
}
