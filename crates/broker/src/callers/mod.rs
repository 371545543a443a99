//! Accepts callers' connections and serves HTTP on them.

mod connection;
mod refusal;
mod request;
mod response;

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_settings::BrokerSettings;
use gingerkeel_transport::{ConnectionMemory, Latch, Limits, accept_until};
use local_sync::mpsc::unbounded::Tx;
use local_sync::semaphore::Semaphore;
use monoio::net::{TcpListener, TcpStream};

use crate::engine::EngineMessage;
use connection::{CallerConnection, ConnectionBounds};
use refusal::{ConnectionRefusal, RefusalResponder};
pub use response::MEMORY_RETRY_AFTER;

/// Serves callers, with a limit on open connections.
pub struct CallerServer {
    engine: Tx<EngineMessage>,
    stop: Latch,
    memory: ConnectionMemory,
    limits: Limits,
    idle_time: Duration,
    permits: Rc<Semaphore>,
    refusal_responder: RefusalResponder,
    next_connection: u32,
}

impl CallerServer {
    /// Creates a server without connections.
    pub fn new(
        engine: Tx<EngineMessage>,
        stop: Latch,
        memory: ConnectionMemory,
        settings: &BrokerSettings,
    ) -> Self {
        let limits = Limits {
            body_bytes: settings.body_bytes as usize,
            message_time: Duration::from_millis(u64::from(settings.request_time_ms)),
            ..Limits::default()
        };
        Self {
            engine,
            stop,
            memory,
            limits,
            idle_time: Duration::from_millis(u64::from(settings.idle_time_ms)),
            permits: Rc::new(Semaphore::new(settings.caller_connections as usize)),
            refusal_responder: RefusalResponder::new(limits),
            next_connection: 0,
        }
    }

    /// Accepts connections until `closing` is set, then closes the listener and waits until the
    /// last refusals are sent.
    pub async fn run(mut self, listener: TcpListener, closing: Latch) {
        accept_until(listener, "callers", closing.wait(), |stream| self.accepted(stream)).await;
        self.refusal_responder.finish().await;
    }

    fn accepted(&mut self, stream: TcpStream) {
        // Without room the connection is closed unread.
        let Some(share) = self.memory.open() else {
            return;
        };
        if self.stop.is_set() {
            self.refusal_responder.refuse(stream, share, ConnectionRefusal::Stopping);
            return;
        }
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            self.refusal_responder.refuse(stream, share, ConnectionRefusal::TooMany);
            return;
        };
        let number = self.next_connection;
        self.next_connection = self.next_connection.wrapping_add(1);
        let stop = self.stop.clone();
        let bounds = ConnectionBounds { limits: self.limits, idle_time: self.idle_time };
        let engine = self.engine.clone();
        let connection = CallerConnection::new(number, stream, bounds, share, engine.clone(), stop);
        // The engine lives as long as the process.
        let _ = engine.send(EngineMessage::CallerConnected);
        monoio::spawn(async move {
            connection.run().await;
            drop(permit);
            let _ = engine.send(EngineMessage::CallerDisconnected);
        });
    }
}
