//! Callers' connections and the HTTP exchange on them.

mod connection;
mod request;
mod response;

use gingerkeel_settings::BrokerSettings;
use gingerkeel_transport::Limits;
use local_sync::mpsc::unbounded::Tx;
use monoio::net::TcpListener;
use tracing::warn;

use crate::engine::EngineMessage;
use connection::CallerConnection;

/// Accepts callers' connections for ever.
pub async fn serve(listener: TcpListener, engine: Tx<EngineMessage>, settings: BrokerSettings) {
    let limits = Limits { body_bytes: settings.body_bytes as usize, ..Limits::default() };
    let mut next_connection: u32 = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection =
                    CallerConnection::new(next_connection, stream, limits, engine.clone());
                next_connection = next_connection.wrapping_add(1);
                monoio::spawn(connection.run());
            }
            Err(error) => warn!(event = "accept_failed", listener = "callers", %error),
        }
    }
}
