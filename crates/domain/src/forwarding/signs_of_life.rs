//! What one broker has seen of whether a leaf is there.
//!
//! The list goes on naming a leaf that has ended for a while, and another leaf may have its address by
//! then. A request of a caller that arrives there is one that no budget covers: the service of the other
//! leaf counts it as one beyond the first of its request. So a leaf that gives no sign of life after an
//! attempt has missed is presumed to have ended, until the list has had the time to say so.
//!
//! A slow leaf, given up before it replies, still takes connections: one is opened to each leaf that has
//! missed, without a request.

use std::time::Duration;

use super::replica_set::ReplicaSettings;
use crate::time::Timestamp;

/// Time between two connections that are opened to learn whether a leaf is there: two of them fit into the
/// shortest time after which addresses are usually handed out anew.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time from a miss until a connection that is opened then has been taken, or has not: 0.2 s until somebody looks,
/// and the way to another region and back, several times.
const CHECK_TIME: Duration = Duration::from_secs(1);

/// What there is to do about a leaf that has missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LifeStep {
    /// Nothing: it has given a sign since.
    Settled,
    /// To wait for a sign.
    Wait,
    /// To open a connection, to learn whether it is there.
    Check,
    /// To tell that it is presumed to have ended from now on.
    PresumedEnded,
}

/// Signs of life of one leaf.
#[derive(Debug)]
pub(super) struct SignsOfLife {
    /// The last sign: a reply, whatever it said, or a connection that was taken while nobody else could have
    /// the address; before the first one, that the list names the leaf.
    seen: Timestamp,
    /// Whether there was one.
    was_there: bool,
    /// The first attempt since that was late or failed.
    missed: Option<Timestamp>,
    /// Whether its address refused a connection since.
    refused: bool,
    /// When a connection may be opened next to learn whether it is there.
    check_due: Timestamp,
    /// Whether it was told that the leaf is presumed to have ended.
    told: bool,
}

impl SignsOfLife {
    /// The list names the leaf.
    pub(super) fn listed(now: Timestamp) -> Self {
        Self {
            seen: now,
            was_there: false,
            missed: None,
            refused: false,
            check_due: now,
            told: false,
        }
    }

    /// The leaf replied.
    pub(super) fn replied(&mut self, now: Timestamp) {
        *self = Self { was_there: true, ..Self::listed(now) };
    }

    /// Somebody took a connection at the address: the leaf, if another one cannot have the address yet. Of a leaf
    /// that is rarely asked nothing is known of the time before it missed; what is likely counts then, as
    /// pauses are far more common than ends.
    pub(super) fn took_connection(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        let fresh = |since: Timestamp| now.since(since) < settings.address_reuse;
        let rarely_asked = |missed: Timestamp| missed.since(self.seen) >= settings.address_reuse;
        if fresh(self.seen)
            || self.missed.is_some_and(|missed| rarely_asked(missed) && fresh(missed))
        {
            self.replied(now);
        }
    }

    /// An attempt is late, or failed.
    pub(super) fn missed(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        // Once the list has had its time the leaf is tried again: its time begins anew.
        let lasts = |missed: &Timestamp| now.since(*missed) < settings.list_lag;
        self.missed = self.missed.filter(lasts).or(Some(now));
    }

    /// Nobody listens at the address of the leaf.
    pub(super) fn refused_connection(&mut self) {
        self.refused = true;
    }

    /// What to do about the leaf now.
    pub(super) fn step(&mut self, now: Timestamp, settings: &ReplicaSettings) -> LifeStep {
        if self.missed.is_none() {
            return LifeStep::Settled;
        }
        if self.is_presumed_ended(now, settings) {
            let told = std::mem::replace(&mut self.told, true);
            return if told { LifeStep::Wait } else { LifeStep::PresumedEnded };
        }
        self.told = false;
        if self.refused || now < self.check_due {
            return LifeStep::Wait;
        }
        self.check_due = now.after(CHECK_INTERVAL);
        LifeStep::Check
    }

    /// Whether the leaf has most likely ended: its address refuses connections, or it has missed and given
    /// no sign for so long that another leaf may have the address. One that has never given any may not have
    /// begun to listen: it gets that time, too.
    pub(super) fn is_presumed_ended(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let Some(missed) = self.missed.filter(|missed| now.since(*missed) < settings.list_lag)
        else {
            return false;
        };
        let may_be_taken = now.since(self.seen) >= settings.address_reuse;
        let was_checked = self.refused || now.since(missed) >= CHECK_TIME;
        may_be_taken && was_checked || self.refused && self.was_there
    }
}
