//! One connection to one leaf, owned by a task.

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

/// Time within which a connection to a leaf has to open.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Time after the caller's deadline for which a reply is awaited before the connection is closed.
const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Time after a cancellation for which the reply owed is awaited before the connection is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(200);

/// Time within which a probe has to be answered before the connection is closed.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Number of a connection within one broker run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection is told to do.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send a request and read its reply.
    Send(WireRequest),
    /// Cancel a request that another connection carries.
    Cancel(LeafRequestId),
    /// Ask the leaf whether it is leaving.
    Probe,
    /// The reply to this connection's own request is not wanted any more.
    Abandon(LeafRequestId),
}

/// What a connection tells the engine.
#[derive(Debug)]
pub enum LeafMessage {
    /// A request ended.
    Completed {
        /// The leaf.
        leaf: LeafId,
        /// The request.
        request: LeafRequestId,
        /// How it ended.
        completion: LeafCompletion,
        /// Whether the leaf said that it is leaving.
        draining: Option<bool>,
    },
    /// The leaf answered a probe.
    ProbeAnswered {
        /// The leaf.
        leaf: LeafId,
        /// Whether it is leaving.
        draining: bool,
    },
    /// The connection can take the next command.
    Idle {
        /// The leaf.
        leaf: LeafId,
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection is gone.
    Closed {
        /// The leaf.
        leaf: LeafId,
        /// The connection.
        connection: ConnectionId,
    },
}

/// What a connection task is started with.
pub struct ConnectionTask {
    /// The leaf.
    pub leaf: LeafId,
    /// Number of the connection.
    pub connection: ConnectionId,
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Name of this broker run, part of request identifiers.
    pub run: Rc<str>,
    /// Bounds on replies.
    pub limits: Limits,
    /// Where outcomes go.
    pub engine: Tx<EngineMessage>,
}

impl ConnectionTask {
    /// Connects, then carries out commands until the connection fails.
    pub async fn run(self, mut commands: Rx<ConnectionCommand>) {
        let connecting = ClientConnection::connect(self.address, self.limits);
        if let Ok(Ok(connection)) = timeout(CONNECT_TIME, connecting).await {
            let (mut writer, mut reader) = connection.into_split();
            while self.serve_one(&mut writer, &mut reader, &mut commands).await.is_some() {
                let idle = LeafMessage::Idle { leaf: self.leaf, connection: self.connection };
                self.tell(idle);
            }
        }
        self.close(commands);
    }

    /// Carries out one command; none when the connection is of no further use.
    async fn serve_one(
        &self,
        writer: &mut RequestWriter,
        reader: &mut ResponseReader,
        commands: &mut Rx<ConnectionCommand>,
    ) -> Option<()> {
        // The read waits already while the connection is idle, so that a close by the leaf is
        // seen before a request is written.
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
                    // The read that waits is dropped without having taken a byte.
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
                let response = timeout(PROBE_TIME, exchange).await.ok()?.ok()?;
                if let Some(draining) = read_draining(&response) {
                    self.tell(LeafMessage::ProbeAnswered { leaf: self.leaf, draining });
                }
                Some(())
            }
            // The reply came before the word that it is not wanted.
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

    /// Fails the commands that were never written.
    fn close(&self, mut commands: Rx<ConnectionCommand>) {
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let ConnectionCommand::Send(wire_request) = command {
                let completion = LeafCompletion::Failed(LeafFailure::NotSent);
                self.complete(wire_request.request, completion, None);
            }
        }
        self.tell(LeafMessage::Closed { leaf: self.leaf, connection: self.connection });
    }

    fn complete(&self, request: LeafRequestId, completion: LeafCompletion, draining: Option<bool>) {
        let leaf = self.leaf;
        self.tell(LeafMessage::Completed { leaf, request, completion, draining });
    }

    fn tell(&self, message: LeafMessage) {
        // The engine lives as long as the process.
        let _ = self.engine.send(EngineMessage::Leaf(message));
    }
}

/// Whether the word that the request is not wanted any more came before it was written.
fn is_abandoned(commands: &mut Rx<ConnectionCommand>, request: LeafRequestId) -> bool {
    matches!(commands.try_recv(), Ok(ConnectionCommand::Abandon(abandoned)) if abandoned == request)
}

/// Awaits the reply; once it is not wanted any more only for [`CANCEL_GRACE`], so that a leaf
/// which does not answer holds no connection for long. None when no reply came in time.
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
            // The pool gives a busy connection nothing else.
            Some(_) => {}
            // The pool is gone: the leaf left the catalog. What is owed is still awaited.
            None => return exchange.await.ok(),
        }
    }
}
