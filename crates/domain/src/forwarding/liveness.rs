//! Detection of leaves that have ended but are still listed.
//!
//! The directory keeps naming an ended leaf for a while, and another leaf may have its address by
//! then. A forwarded request that arrives there is covered by no extra-load budget: the service of
//! the other leaf counts it as one beyond the first. A leaf that gives no sign of life after an
//! attempt was late or failed is therefore presumed to have ended until the directory has had time
//! to remove it.
//!
//! A slow leaf whose attempts are cancelled before it replies still accepts connections, so a probe
//! connection without a request is opened to each unresponsive leaf.

use std::time::Duration;

use super::replica_set::ReplicaSettings;
use crate::time::Timestamp;

/// Time between two probe connections: two of them fit into the shortest time after which addresses
/// are usually reassigned.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time from a miss until a probe opened for it has been decided: 0.2 s until the next check, and
/// several round trips to another region.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Next step for an unresponsive leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LivenessStep {
    /// None: the leaf has given a sign of life since.
    Settled,
    /// Wait for a sign of life.
    Wait,
    /// Open a probe connection.
    Probe,
    /// Report that the leaf is presumed to have ended from now on.
    PresumedEnded,
}

/// Liveness of one leaf.
#[derive(Debug)]
pub(super) struct Liveness {
    /// Last sign of life: any reply, or a connection accepted while no other leaf could have the
    /// address; before the first one, the time at which the leaf was listed.
    last_sign: Timestamp,
    /// Whether the leaf has ever replied.
    ever_replied: bool,
    /// Time of the first late or failed attempt since the last sign of life.
    missed: Option<Timestamp>,
    /// Whether the address has refused a connection since the last sign of life.
    refused: bool,
    /// Earliest time of the next probe.
    next_probe: Timestamp,
    /// Whether the presumed end was already reported.
    reported: bool,
}

impl Liveness {
    /// State of a leaf that the directory has just listed.
    pub(super) fn listed(now: Timestamp) -> Self {
        Self {
            last_sign: now,
            ever_replied: false,
            missed: None,
            refused: false,
            next_probe: now,
            reported: false,
        }
    }

    /// Records a reply of any kind.
    pub(super) fn record_reply(&mut self, now: Timestamp) {
        *self = Self { ever_replied: true, ..Self::listed(now) };
    }

    /// Records that a connection at the address was accepted: by the leaf, if no other one can have
    /// the address yet. For a leaf that is rarely asked nothing is known of the time before the
    /// miss; it is assumed to be alive, as pauses are far more common than ends.
    pub(super) fn record_connection_accepted(
        &mut self,
        now: Timestamp,
        settings: &ReplicaSettings,
    ) {
        let is_recent = |since: Timestamp| now.since(since) < settings.address_reuse;
        let rarely_asked =
            |missed: Timestamp| missed.since(self.last_sign) >= settings.address_reuse;
        if is_recent(self.last_sign)
            || self.missed.is_some_and(|missed| rarely_asked(missed) && is_recent(missed))
        {
            self.record_reply(now);
        }
    }

    /// Records a late or failed attempt.
    pub(super) fn record_miss(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        // After the list lag the leaf is tried again, and a new miss starts a new period.
        let lasts = |missed: &Timestamp| now.since(*missed) < settings.list_lag;
        self.missed = self.missed.filter(lasts).or(Some(now));
    }

    /// Records that the address refused a connection.
    pub(super) fn record_connection_refused(&mut self) {
        self.refused = true;
    }

    /// Decides the next step.
    pub(super) fn step(&mut self, now: Timestamp, settings: &ReplicaSettings) -> LivenessStep {
        if self.missed.is_none() {
            return LivenessStep::Settled;
        }
        if self.is_presumed_ended(now, settings) {
            let reported = std::mem::replace(&mut self.reported, true);
            return if reported { LivenessStep::Wait } else { LivenessStep::PresumedEnded };
        }
        self.reported = false;
        if self.refused || now < self.next_probe {
            return LivenessStep::Wait;
        }
        self.next_probe = now.after(PROBE_INTERVAL);
        LivenessStep::Probe
    }

    /// Whether the leaf has most likely ended: its address refuses connections, or after a miss it
    /// has given no sign of life for so long that another leaf may have the address. A leaf that
    /// has never replied may not listen yet and gets that time, too.
    pub(super) fn is_presumed_ended(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let Some(missed) = self.missed.filter(|missed| now.since(*missed) < settings.list_lag)
        else {
            return false;
        };
        let address_may_be_reused = now.since(self.last_sign) >= settings.address_reuse;
        let was_probed = self.refused || now.since(missed) >= PROBE_TIMEOUT;
        address_may_be_reused && was_probed || self.refused && self.ever_replied
    }
}
