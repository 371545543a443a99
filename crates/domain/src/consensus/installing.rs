//! Snapshots: creation, chunked transfer and installation.

use bytes::{Bytes, BytesMut};

use super::configuration::ConfigurationHistory;
use super::leading::AppendMode;
use super::message::{AppendOutcome, Message, ReadRound};
use super::node::Node;
use super::progress::{ProgressState, SnapshotTransfer};
use super::ready::SnapshotWrite;
use super::settings::ConsensusSettings;
use super::types::{LogIndex, LogPosition, MemberId, Snapshot, SnapshotMetadata};
use crate::time::Timestamp;

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    metadata: SnapshotMetadata,
    data: BytesMut,
}

impl Node {
    /// Records the state machine's snapshot as of `index` and compacts the log.
    ///
    /// No-op when a later snapshot exists or `index` has not been applied.
    pub fn snapshot_taken(&mut self, index: LogIndex, data: Bytes) {
        let latest = self.snapshot.as_ref().map_or(LogIndex(0), Snapshot::index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= latest || index > self.applied {
            return;
        }
        let position = LogPosition { term, index };
        let configuration = self.configurations.at(index).clone();
        let metadata = SnapshotMetadata { position, configuration };
        let snapshot = Snapshot { metadata, data };
        self.snapshot = Some(snapshot.clone());
        self.unissued_snapshot = Some(SnapshotWrite { snapshot, replaces_log: false });
        let ConsensusSettings { trailing_entries, trailing_bytes, .. } = self.settings;
        let base = self.log.base_before(index, trailing_entries, trailing_bytes);
        self.log.compact(base);
        self.configurations.compact(base);
    }

    /// Number of entries applied since the latest snapshot.
    pub fn applied_since_snapshot(&self) -> u64 {
        let latest = self.snapshot.as_ref().map_or(LogIndex(0), Snapshot::index);
        self.applied.0 - latest.0.min(self.applied.0)
    }

    pub(super) fn start_snapshot_transfer(&mut self, to: MemberId) {
        // A transfer starts only when the log base is above zero, which implies a snapshot.
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if let Some(progress) = self.progress_mut(to) {
            progress.state = ProgressState::Snapshot(SnapshotTransfer { snapshot, received: 0 });
        }
        self.send_snapshot_part(to);
    }

    fn send_snapshot_part(&mut self, to: MemberId) {
        let limit = self.settings.snapshot_chunk_bytes;
        let Some(progress) = self.progress(to) else {
            return;
        };
        let ProgressState::Snapshot(transfer) = &progress.state else {
            return;
        };
        let data = &transfer.snapshot.data;
        let start = usize::try_from(transfer.received).unwrap_or(usize::MAX).min(data.len());
        let end = start.saturating_add(limit).min(data.len());
        let part = Message::SnapshotRequest {
            metadata: transfer.snapshot.metadata.clone(),
            offset: transfer.received,
            length: data.len() as u64,
            data: data.slice(start..end),
        };
        self.send_once_in_term(to, part);
    }

    /// Resends the unacknowledged chunk of each transfer.
    pub(super) fn resend_snapshots(&mut self) {
        for member in self.configuration().clone().members() {
            self.send_snapshot_part(member);
        }
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        now: Timestamp,
        from: MemberId,
        index: LogIndex,
        received: u64,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_durable_contact(now);
        let ProgressState::Snapshot(transfer) = &mut progress.state else {
            return;
        };
        if transfer.snapshot.index() == index && transfer.received != received {
            transfer.received = received;
            self.send_snapshot_part(from);
        }
    }

    pub(super) fn handle_snapshot_part(
        &mut self,
        now: Timestamp,
        from: MemberId,
        metadata: SnapshotMetadata,
        offset: u64,
        length: u64,
        data: &[u8],
    ) {
        self.follow(now, from);
        if metadata.position.index <= self.commit {
            self.accept_up_to(from, self.commit);
            return;
        }
        if length > self.settings.snapshot_bytes_limit {
            return;
        }
        let index = metadata.position.index;
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.metadata == metadata => incoming,
            _ => IncomingSnapshot { metadata, data: BytesMut::new() },
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received < length {
            self.incoming = Some(incoming);
            self.send(from, Message::SnapshotResponse { index, received });
            return;
        }
        let snapshot = Snapshot { metadata: incoming.metadata, data: incoming.data.freeze() };
        self.install(snapshot);
        self.accept_up_to(from, index);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.metadata.position;
        if self.log.term_at(position.index) == Some(position.term) {
            // The log already holds everything that the snapshot covers.
            self.commit = position.index;
            return;
        }
        self.log.reset(position);
        let configuration = snapshot.metadata.configuration.clone();
        self.configurations = ConfigurationHistory::new(position.index, configuration);
        self.commit = position.index;
        self.applied = position.index;
        self.snapshot = Some(snapshot.clone());
        self.unissued_snapshot = Some(SnapshotWrite { snapshot, replaces_log: true });
    }

    fn accept_up_to(&mut self, leader: MemberId, matched: LogIndex) {
        let outcome = AppendOutcome::Accepted { matched };
        self.send(leader, Message::AppendResponse { outcome, round: ReadRound(0) });
    }

    /// Sends entries or a heartbeat at once to a newly added member.
    pub(super) fn send_initial_append(&mut self, member: MemberId) {
        self.send_append(member, AppendMode::Always);
    }
}

impl Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub fn index(&self) -> LogIndex {
        self.metadata.position.index
    }
}
