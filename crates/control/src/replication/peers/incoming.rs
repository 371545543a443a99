//! Connections that peers open.

use std::time::Duration;

use gingerkeel_domain::consensus::{Envelope, MemberId};
use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_protocol::{
    Document, FrameCodec, PeerFrame, PeerRefusal, ProtocolError, ShortText, decode_document,
    encode_frame,
};
use local_sync::mpsc::unbounded::Tx;
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use monoio_codec::FramedRead;
use tracing::{info, warn};

use super::directory::{Directory, member};
use crate::replication::messages::{PeerUsageReport, TaskEvent};

/// Time that a process has to say who it is, and between two messages after that.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

type Reader = FramedRead<OwnedReadHalf<TcpStream>, ()>;
type Writer = OwnedWriteHalf<TcpStream>;

/// Accepts peers' connections for ever.
pub async fn serve(listener: TcpListener, directory: Directory, events: Tx<TaskEvent>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(converse(stream, directory.clone(), events.clone()));
            }
            Err(error) => {
                warn!(event = "accept_failed", listener = "peers", %error);
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(stream: TcpStream, directory: Directory, events: Tx<TaskEvent>) {
    // Without it messages are only slower.
    let _ = stream.set_nodelay(true);
    let (read_half, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(read_half, ());
    if let Err(error) = receive(&mut reader, &mut writer, &directory, &events).await {
        info!(event = "peer_connection_ended", direction = "in", %error);
    }
}

async fn receive(
    reader: &mut Reader,
    writer: &mut Writer,
    directory: &Directory,
    events: &Tx<TaskEvent>,
) -> Result<(), ProtocolError> {
    let Some(peer) = welcome(reader, writer, directory, events).await? else {
        return Ok(());
    };
    while let Some(frame) = next(reader).await? {
        match frame {
            PeerFrame::Probe => {
                let identity = directory.own_identity();
                send(writer, &PeerFrame::ProbeReply { identity }).await?
            }
            PeerFrame::Consensus { document } => {
                let envelope: Envelope = decode_document(&document)?;
                if envelope.from != peer {
                    return Err(ProtocolError::Malformed(format!(
                        "{peer} speaks for {}",
                        envelope.from
                    )));
                }
                if events.send(TaskEvent::Received(envelope)).is_err() {
                    return Ok(());
                }
            }
            PeerFrame::Usage { control, usage } => {
                let used = understand_usage(&control, &usage)?;
                if events.send(TaskEvent::PeerUsageReceived(peer, used)).is_err() {
                    return Ok(());
                }
            }
            PeerFrame::LeafWarnings { warnings } => {
                let warnings = decode_document(&warnings.bytes)?;
                if events.send(TaskEvent::PeerWarningsReceived(peer, warnings)).is_err() {
                    return Ok(());
                }
            }
            _ => return Err(ProtocolError::Malformed("message out of order".into())),
        }
    }
    Ok(())
}

fn understand_usage(
    control: &ShortText,
    usage: &Document,
) -> Result<PeerUsageReport, ProtocolError> {
    let name = control.text().map(ControlName::new);
    let control = name.ok_or_else(|| ProtocolError::Malformed("a sender without a name".into()))?;
    Ok(PeerUsageReport { control, usage: decode_document(&usage.bytes)? })
}

/// Takes the greeting; gives the peer if it is welcome.
async fn welcome(
    reader: &mut Reader,
    writer: &mut Writer,
    directory: &Directory,
    events: &Tx<TaskEvent>,
) -> Result<Option<MemberId>, ProtocolError> {
    let Some(PeerFrame::Hello { protocol_version, identity, cluster }) = next(reader).await? else {
        return Err(ProtocolError::Malformed("no greeting".into()));
    };
    if let Err(reason) = directory.check_hello(protocol_version, &cluster, identity) {
        let (node, reason_text) = (identity.node, explain(reason));
        warn!(event = "peer_refused", node, reason = reason_text);
        send(writer, &PeerFrame::Refused { reason }).await?;
        return Ok(None);
    }
    send(writer, &PeerFrame::Welcome { identity: directory.own_identity() }).await?;
    // The log's task may have ended with the process.
    let _ = events.send(TaskEvent::PeerKnown);
    Ok(Some(member(identity)))
}

async fn next(reader: &mut Reader) -> Result<Option<PeerFrame>, ProtocolError> {
    let mut codec = FrameCodec::<PeerFrame>::default();
    match timeout(SILENCE_LIMIT, reader.next_with(&mut codec)).await {
        Ok(frame) => frame.transpose(),
        Err(_) => Err(ProtocolError::Malformed("silence".into())),
    }
}

pub(super) async fn send(writer: &mut Writer, frame: &PeerFrame) -> Result<(), ProtocolError> {
    let (result, _) = writer.write_all(encode_frame(frame)?).await;
    result?;
    Ok(())
}

/// Why a connection was refused, and the remedy.
pub(super) fn explain(reason: PeerRefusal) -> &'static str {
    match reason {
        PeerRefusal::ProtocolVersion => "another protocol version: run the same release on both",
        PeerRefusal::Cluster => "another cluster: correct `cluster` or `peers` in the settings",
        PeerRefusal::UnknownPeer => "unknown peer: name the machine in `peers` on all of them",
        PeerRefusal::EarlierIncarnation => {
            "a later data folder of the machine was seen: use that one, or an empty one"
        }
    }
}
