//! Connections that peers open to this process.

use std::rc::Rc;
use std::time::Duration;

use gingerkeel_domain::consensus::{Envelope, MemberId, NodeNumber};
use gingerkeel_domain::identifiers::ControlName;
use gingerkeel_protocol::{
    Document, PeerFrame, PeerIdentity, PeerRefusal, ProtocolError, ShortText, decode_document,
    encode_frame,
};
use gingerkeel_transport::{ConnectionMemory, MemoryShare, accept_connections};
use local_sync::mpsc::unbounded::Tx;
use monoio::io::{AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use tracing::{info, warn};

use super::directory::{PeerDirectory, member};
use crate::frames::FrameReader;
use crate::replication::messages::{PeerUsageReport, TaskEvent};

/// Time limit for the handshake, and afterwards between two messages of a peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Frames of a peer that are handled before other tasks run: the runtime switches tasks only when one
/// waits, and a peer that sends faster than this process reads never lets it wait.
const FRAMES_PER_TURN: u32 = 64;
/// Pause after so many frames.
const TURN_PAUSE: Duration = Duration::from_millis(1);

type Writer = OwnedWriteHalf<TcpStream>;

/// Accepts connections of peers for the life of the process.
pub async fn serve(
    listener: TcpListener,
    directory: PeerDirectory,
    events: Tx<TaskEvent>,
    memory: ConnectionMemory,
) {
    accept_connections(listener, "peers", |stream| {
        // Without room the connection is closed unread.
        if let Some(share) = memory.open() {
            monoio::spawn(handle_connection(stream, share, directory.clone(), events.clone()));
        }
    })
    .await;
}

async fn handle_connection(
    stream: TcpStream,
    share: Rc<MemoryShare>,
    directory: PeerDirectory,
    events: Tx<TaskEvent>,
) {
    // Without the option messages are only slower.
    let _ = stream.set_nodelay(true);
    let (read_half, mut writer) = stream.into_split();
    let mut reader = FrameReader::new(read_half, share);
    if let Err(error) = receive(&mut reader, &mut writer, &directory, &events).await {
        info!(event = "peer_connection_ended", direction = "in", %error);
    }
}

async fn receive(
    reader: &mut FrameReader,
    writer: &mut Writer,
    directory: &PeerDirectory,
    events: &Tx<TaskEvent>,
) -> Result<(), ProtocolError> {
    let Some(peer) = handshake(reader, writer, directory, events).await? else {
        return Ok(());
    };
    let mut frames_left = FRAMES_PER_TURN;
    while let Some(frame) = reader.next(IDLE_TIMEOUT).await? {
        frames_left -= 1;
        if frames_left == 0 {
            sleep(TURN_PAUSE).await;
            frames_left = FRAMES_PER_TURN;
        }
        match frame {
            PeerFrame::Probe => {
                let identity = directory.own_identity();
                send(writer, &PeerFrame::ProbeReply { identity }).await?
            }
            PeerFrame::Consensus { document } => {
                let envelope: Envelope = decode_document(&document)?;
                if envelope.from != peer {
                    return Err(ProtocolError::Malformed(format!(
                        "message from {peer} names {} as its sender",
                        envelope.from
                    )));
                }
                if events.send(TaskEvent::Received(envelope)).is_err() {
                    return Ok(());
                }
            }
            PeerFrame::Usage { control, usage } => {
                let report = decode_usage(&control, &usage)?;
                if events.send(TaskEvent::PeerUsageReceived(peer, report)).is_err() {
                    return Ok(());
                }
            }
            PeerFrame::LeafWarnings { warnings } => {
                let warnings = decode_document(&warnings.bytes)?;
                if events.send(TaskEvent::PeerWarningsReceived(peer, warnings)).is_err() {
                    return Ok(());
                }
            }
            _ => return Err(ProtocolError::Malformed("unexpected message".into())),
        }
    }
    Ok(())
}

fn decode_usage(control: &ShortText, usage: &Document) -> Result<PeerUsageReport, ProtocolError> {
    let name = control.text().map(ControlName::new);
    let control =
        name.ok_or_else(|| ProtocolError::Malformed("usage report without a sender name".into()))?;
    Ok(PeerUsageReport { control, usage: decode_document(&usage.bytes)? })
}

/// Performs the handshake; none if the peer was refused.
async fn handshake(
    reader: &mut FrameReader,
    writer: &mut Writer,
    directory: &PeerDirectory,
    events: &Tx<TaskEvent>,
) -> Result<Option<MemberId>, ProtocolError> {
    let hello = reader.next(IDLE_TIMEOUT).await?;
    let Some(PeerFrame::Hello { protocol_version, identity, cluster }) = hello else {
        return Err(ProtocolError::Malformed("no handshake".into()));
    };
    if let Err(reason) = directory.check_hello(protocol_version, &cluster, identity) {
        let (node, reason_text) = (identity.node, refusal_text(reason));
        warn!(event = "peer_refused", node, reason = reason_text);
        send(writer, &refusal(reason, directory, identity)).await?;
        return Ok(None);
    }
    send(writer, &PeerFrame::Welcome { identity: directory.own_identity() }).await?;
    // The replication task may have ended with the process.
    let _ = events.send(TaskEvent::PeerIdentified);
    Ok(Some(member(identity)))
}

/// The frame that refuses a connection. A process whose folder counts as an earlier one is told the
/// later incarnation, so that it can draw one above it if its folder is new.
fn refusal(reason: PeerRefusal, directory: &PeerDirectory, identity: PeerIdentity) -> PeerFrame {
    let latest = directory.latest_incarnation(NodeNumber(identity.node));
    match (reason, latest) {
        (PeerRefusal::EarlierIncarnation, Some(latest)) => {
            PeerFrame::Superseded { incarnation: latest.0 }
        }
        _ => PeerFrame::Refused { reason },
    }
}

pub(super) async fn send(writer: &mut Writer, frame: &PeerFrame) -> Result<(), ProtocolError> {
    let writing = timeout(IDLE_TIMEOUT, writer.write_all(encode_frame(frame)?)).await;
    let (result, _) = writing.map_err(|_| ProtocolError::TimedOut("the peer does not read"))?;
    result?;
    Ok(())
}

/// The reason of a refusal with its remedy, for the log.
pub(super) fn refusal_text(reason: PeerRefusal) -> &'static str {
    match reason {
        PeerRefusal::ProtocolVersion => "another protocol version: run the same release on both",
        PeerRefusal::Cluster => "another cluster: correct `cluster` or `peers` in the settings",
        PeerRefusal::UnknownPeer => "unknown peer: name the machine in `peers` on all of them",
        PeerRefusal::EarlierIncarnation => {
            "a later data folder of the machine was seen: use that one, or an empty one"
        }
    }
}
