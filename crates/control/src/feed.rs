//! Feeds of the catalog to brokers.

use gingerkeel_protocol::{
    FeedMessage, FrameCodec, PROTOCOL_VERSION, ProtocolError, SubscriberMessage, encode_frame,
};
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_codec::FramedRead;
use tracing::{info, warn};

use crate::catalog_task::CatalogMessage;

/// Accepts brokers' connections for ever.
pub async fn serve(listener: TcpListener, catalog: Tx<CatalogMessage>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(converse(stream, catalog.clone()));
            }
            Err(error) => warn!(event = "accept_failed", listener = "feed", %error),
        }
    }
}

async fn converse(stream: TcpStream, catalog: Tx<CatalogMessage>) {
    let (read_half, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read_half, ());
    let (feed, messages) = unbounded::channel();
    monoio::spawn(write_messages(write_half, messages));
    if let Err(error) = follow(&mut reader, &catalog, &feed).await {
        info!(event = "feed_ended", %error);
    }
}

async fn follow(
    reader: &mut FramedRead<OwnedReadHalf<TcpStream>, ()>,
    catalog: &Tx<CatalogMessage>,
    feed: &Tx<FeedMessage>,
) -> Result<(), ProtocolError> {
    let mut codec = FrameCodec::<SubscriberMessage>::default();
    let mut name = None;
    while let Some(message) = reader.next_with(&mut codec).await {
        match (message?, &name) {
            (SubscriberMessage::Subscribe { protocol_version, broker, .. }, None) => {
                if protocol_version != PROTOCOL_VERSION {
                    let refusal = FeedMessage::Refused { protocol_version: PROTOCOL_VERSION };
                    // The writer may have ended; then the broker is gone already.
                    let _ = feed.send(refusal);
                    return Err(ProtocolError::Malformed(format!(
                        "protocol version {protocol_version}"
                    )));
                }
                let broker = String::from_utf8(broker)
                    .map_err(|_| ProtocolError::Malformed("broker name".into()))?;
                name = Some(broker.clone());
                // The catalog task lives as long as the process.
                let _ = catalog.send(CatalogMessage::Subscribe { broker, feed: feed.clone() });
            }
            (SubscriberMessage::Applied { revision }, Some(broker)) => {
                let broker = broker.clone();
                // The catalog task lives as long as the process.
                let _ = catalog.send(CatalogMessage::Applied { broker, revision });
            }
            _ => return Err(ProtocolError::Malformed("message out of order".into())),
        }
    }
    Ok(())
}

async fn write_messages(mut writer: OwnedWriteHalf<TcpStream>, mut messages: Rx<FeedMessage>) {
    while let Some(message) = messages.recv().await {
        let frame = match encode_frame(&message) {
            Ok(frame) => frame,
            Err(error) => {
                warn!(event = "frame_not_sent", %error);
                return;
            }
        };
        let (result, _) = writer.write_all(frame).await;
        if result.is_err() {
            return;
        }
    }
}
