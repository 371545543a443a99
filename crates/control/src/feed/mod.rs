//! The feed listener: accepts brokers' connections.

mod connection;
mod traffic;

use std::io::ErrorKind;
use std::rc::Rc;

use gingerkeel_protocol::{FeedMessage, ProtocolError};
use gingerkeel_transport::{ConnectionMemory, MemoryShare, accept_connections};
use local_sync::mpsc::unbounded::{self, Tx};
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use tracing::info;

use crate::cluster_task::{ClusterMessage, ConnectionId, FeedEvent};
use crate::frames::FrameReader;

use traffic::FeedTraffic;

/// Accepts connections of brokers for the life of the process.
pub async fn serve(listener: TcpListener, cluster: Tx<ClusterMessage>, memory: ConnectionMemory) {
    let mut last_connection = ConnectionId(0);
    let traffic = FeedTraffic::default();
    monoio::spawn(traffic.clone().log_periodically());
    accept_connections(listener, "feed", |stream| {
        // Without room the connection is closed unread.
        let Some(share) = memory.open() else {
            return;
        };
        last_connection.0 += 1;
        let (cluster, traffic) = (cluster.clone(), traffic.clone());
        monoio::spawn(handle_connection(stream, share, last_connection, cluster, traffic));
    })
    .await;
}

async fn handle_connection(
    stream: TcpStream,
    share: Rc<MemoryShare>,
    connection: ConnectionId,
    cluster: Tx<ClusterMessage>,
    traffic: FeedTraffic,
) {
    // Small frames must not be delayed by Nagle's algorithm; without the option they are only
    // slower.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let reader = FrameReader::new(read_half, share);
    let (feed, messages) = unbounded::channel::<FeedMessage>();
    monoio::spawn(connection::write_messages(write_half, messages, traffic));
    let ended = connection::receive_messages(reader, connection, &cluster, feed).await;
    let closed_by_broker = ended.as_ref().err().is_none_or(is_reset);
    if let Err(error) = ended {
        info!(event = "feed_ended", connection = connection.0, %error);
    }
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::Feed(FeedEvent::Closed { connection, closed_by_broker }));
}

/// Whether the connection was reset: the broker's process has ended, while its machine still runs.
fn is_reset(error: &ProtocolError) -> bool {
    matches!(error, ProtocolError::Socket(error) if error.kind() == ErrorKind::ConnectionReset)
}
