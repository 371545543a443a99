//! A broker's connection: decodes its messages and writes feed messages to it.

use std::time::Duration;

use gingerkeel_domain::catalog::Placement;
use gingerkeel_domain::identifiers::{BrokerName, RegionName, Revision, ZoneName};
use gingerkeel_protocol::{
    FeedMessage, FeedRefusal, PROTOCOL_VERSION, ProtocolError, ShortText, SubscriberMessage,
    decode_document, encode_frame,
};
use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use tracing::warn;

use super::traffic::FeedTraffic;
use crate::cluster_task::{ClusterMessage, ConnectionId, FeedEvent, SubscriberIdentity};
use crate::frames::FrameReader;

/// Time without a message after which a broker is disconnected; it renews its lease every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for writing a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards the broker's messages to the cluster task until the connection ends.
///
/// # Errors
/// A [`ProtocolError`] for a malformed frame, an unexpected message, a timeout or a socket error.
pub async fn receive_messages(
    mut reader: FrameReader,
    connection: ConnectionId,
    cluster: &Tx<ClusterMessage>,
    feed: Tx<FeedMessage>,
) -> Result<(), ProtocolError> {
    let Some(first) = reader.next(IDLE_TIMEOUT).await? else {
        return Ok(());
    };
    let (subscriber, revision) = decode_subscription(first, &feed)?;
    let event = FeedEvent::Subscribed { connection, subscriber, revision, feed };
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::Feed(event));
    while let Some(message) = reader.next(IDLE_TIMEOUT).await? {
        let event = decode_event(message, connection)?;
        // The cluster task lives as long as the process.
        let _ = cluster.send(ClusterMessage::Feed(event));
    }
    Ok(())
}

fn decode_subscription(
    message: SubscriberMessage,
    feed: &Tx<FeedMessage>,
) -> Result<(SubscriberIdentity, Revision), ProtocolError> {
    let SubscriberMessage::Subscribe { protocol_version, run, revision, broker, region, zone } =
        message
    else {
        return Err(ProtocolError::Malformed("first message is not a subscription".into()));
    };
    let refuse = |reason, text: &str| {
        // If the writer has ended, the broker is gone.
        let _ = feed.send(FeedMessage::Refused { protocol_version: PROTOCOL_VERSION, reason });
        ProtocolError::Malformed(text.to_owned())
    };
    if protocol_version != PROTOCOL_VERSION {
        let text = format!("protocol version {protocol_version}");
        return Err(refuse(FeedRefusal::ProtocolVersion, &text));
    }
    let identity = identity(&broker, run, &region, &zone);
    let identity = identity
        .ok_or_else(|| refuse(FeedRefusal::BadName, "name of broker, region or zone is invalid"))?;
    Ok((identity, Revision(revision)))
}

fn identity(
    broker: &ShortText,
    run: u64,
    region: &ShortText,
    zone: &ShortText,
) -> Option<SubscriberIdentity> {
    Some(SubscriberIdentity {
        broker: BrokerName::new(broker.text()?),
        run,
        placement: Placement {
            region: RegionName::new(region.text()?),
            zone: ZoneName::new(zone.text()?),
        },
    })
}

fn decode_event(
    message: SubscriberMessage,
    connection: ConnectionId,
) -> Result<FeedEvent, ProtocolError> {
    match message {
        SubscriberMessage::Renew { ticket, in_force } => {
            Ok(FeedEvent::LeaseRequested { connection, ticket, in_force: Revision(in_force) })
        }
        SubscriberMessage::InForce { revision } => {
            Ok(FeedEvent::InForce { connection, revision: Revision(revision) })
        }
        SubscriberMessage::Charges { sequence, run, counters } => {
            let counters = decode_document(&counters.bytes)?;
            Ok(FeedEvent::ChargesReported { connection, run, sequence, counters })
        }
        SubscriberMessage::Overload { report } => {
            let report = decode_document(&report.bytes)?;
            Ok(FeedEvent::OverloadReported { connection, report })
        }
        SubscriberMessage::SlowLeaves { observations } => {
            let observations = decode_document(&observations.bytes)?;
            Ok(FeedEvent::SlowLeavesReported { connection, observations })
        }
        SubscriberMessage::CrashFindings { findings } => {
            let findings = decode_document(&findings.bytes)?;
            Ok(FeedEvent::CrashesReported { connection, findings })
        }
        SubscriberMessage::AskTrial { ticket, finding } => {
            let finding = decode_document(&finding.bytes)?;
            Ok(FeedEvent::TrialRequested { connection, ticket, finding })
        }
        SubscriberMessage::Usage { report } => {
            let report = decode_document(&report.bytes)?;
            Ok(FeedEvent::UsageReported { connection, report })
        }
        SubscriberMessage::Rollouts { reports } => {
            let reports = decode_document(&reports.bytes)?;
            Ok(FeedEvent::RolloutsReported { reports })
        }
        SubscriberMessage::Subscribe { .. } => {
            Err(ProtocolError::Malformed("second subscription".into()))
        }
    }
}

/// Writes messages until the feed is closed or a write fails or times out.
pub async fn write_messages(
    mut writer: OwnedWriteHalf<TcpStream>,
    mut messages: Rx<FeedMessage>,
    traffic: FeedTraffic,
) {
    while let Some(message) = messages.recv().await {
        let frame = match encode_frame(&message) {
            Ok(frame) => frame,
            Err(error) => {
                warn!(event = "frame_not_sent", %error);
                break;
            }
        };
        traffic.record(message.kind(), frame.len());
        match timeout(WRITE_TIMEOUT, writer.write_all(frame)).await {
            Ok((Ok(_), _)) => {}
            _ => break,
        }
    }
    // The broker may have closed the connection already.
    let _ = writer.shutdown().await;
}
