//! The broker's link to a control process, from which it learns the catalog.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gingerkeel_domain::catalog::{Catalog, Change};
use gingerkeel_protocol::{
    FeedMessage, FrameCodec, PROTOCOL_VERSION, ProtocolError, SubscriberMessage, decode_document,
    encode_frame,
};
use gingerkeel_settings::BrokerSettings;
use local_sync::mpsc::unbounded::Tx;
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_codec::FramedRead;
use tracing::{info, warn};

use crate::engine::EngineMessage;

/// Pause between attempts to reach a control process.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Follows the catalog for ever, changing to the next control process when one fails.
pub async fn follow(settings: BrokerSettings, engine: Tx<EngineMessage>) {
    let mut catalog = Catalog::default();
    for control in settings.control.iter().copied().cycle() {
        let Err(error) = follow_one(&settings.name, control, &mut catalog, &engine).await;
        warn!(event = "control_link_lost", %control, %error);
        monoio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn follow_one(
    name: &str,
    control: SocketAddr,
    catalog: &mut Catalog,
    engine: &Tx<EngineMessage>,
) -> Result<std::convert::Infallible, ProtocolError> {
    let stream = TcpStream::connect_addr(control).await?;
    let (read_half, mut writer) = stream.into_split();
    let subscribe = SubscriberMessage::Subscribe {
        protocol_version: PROTOCOL_VERSION,
        revision: catalog.revision().0,
        broker: name.as_bytes().to_vec(),
    };
    send(&mut writer, &subscribe).await?;
    let mut reader = FramedRead::new(read_half, ());
    let mut codec = FrameCodec::<FeedMessage>::default();
    while let Some(message) = reader.next_with(&mut codec).await {
        apply(catalog, message?)?;
        let revision = catalog.revision().0;
        // The engine lives as long as the process.
        let _ = engine.send(EngineMessage::CatalogChanged(Arc::new(catalog.clone())));
        info!(event = "catalog_applied", revision);
        send(&mut writer, &SubscriberMessage::Applied { revision }).await?;
    }
    Err(ProtocolError::Malformed("the control process closed the link".into()))
}

fn apply(catalog: &mut Catalog, message: FeedMessage) -> Result<(), ProtocolError> {
    match message {
        FeedMessage::FullCatalog { document } => {
            let newer: Catalog = decode_document(&document)?;
            if newer.revision() >= catalog.revision() {
                *catalog = newer;
            }
            Ok(())
        }
        FeedMessage::Change { revision, document } => {
            let change: Change = decode_document(&document)?;
            if revision != catalog.revision().0 + 1 {
                return Err(ProtocolError::Malformed(format!("change {revision} out of order")));
            }
            catalog
                .apply(&change)
                .map(|_| ())
                .map_err(|error| ProtocolError::Document(error.to_string()))
        }
        FeedMessage::Refused { protocol_version } => Err(ProtocolError::Malformed(format!(
            "the control process speaks protocol version {protocol_version}"
        ))),
    }
}

async fn send(
    writer: &mut OwnedWriteHalf<TcpStream>,
    message: &SubscriberMessage,
) -> Result<(), ProtocolError> {
    let (result, _) = writer.write_all(encode_frame(message)?).await;
    result?;
    Ok(())
}
