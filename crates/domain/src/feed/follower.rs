//! State machine of a broker that follows the replicated catalog.
//!
//! The rules, whose reasons are in `docs/design/configuration-in-force.md`:
//!
//! - The revision in force never decreases, whichever control process feeds the broker.
//! - A lease starts when the broker requests it, by the broker's own clock, and so never outlasts
//!   what the control process granted, however late the grant arrives.
//! - A grant names the revision that was accepted when the lease was requested; the lease is valid
//!   once the broker has that revision in force.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

use crate::catalog::{Catalog, Change};
use crate::identifiers::Revision;
use crate::time::Timestamp;

/// Timing of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerSettings {
    /// Interval between lease renewals.
    pub renewal_interval: Duration,
    /// Time without a grant after which the broker switches to another control process.
    pub silence_limit: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_secs(1),
            silence_limit: Duration::from_millis(1500),
        }
    }
}

quick_error! {
    /// Why the broker switches to another control process.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FeedFault {
        /// The control process offers a catalog older than the one in force.
        Older(offered: Revision, in_force: Revision) {
            display("revision {offered} is older than {in_force}, which is in force: check that the control process is not cut off or of another cluster")
        }
        /// A change does not directly follow the revision in force.
        Gap(offered: Revision, in_force: Revision) {
            display("change {offered} does not follow on {in_force}: asking for what lies between")
        }
        /// The catalog rejects a change.
        Inapplicable(revision: Revision, reason: String) {
            display("change {revision} cannot be applied ({reason}): run the same release at both ends")
        }
        /// No grant arrived within the silence limit.
        LeaseTimeout {
            display("no lease was granted in time: check that a quorum of control processes is up and reachable")
        }
    }
}

/// A freshness lease as granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Number of the renewal that requested the lease.
    pub ticket: u64,
    /// The accepted revision, from a quorum-confirmed read that began after the renewal arrived.
    pub revision: Revision,
    /// Duration of the lease, counted from the request.
    pub duration: Duration,
}

/// Input to a follower.
#[derive(Debug, Clone)]
pub enum FollowerEvent {
    /// A link to a control process was established.
    Connected,
    /// The link was lost.
    Disconnected,
    /// The full catalog arrived.
    FullCatalog(Catalog),
    /// A change arrived.
    Change {
        /// The revision that the change results in.
        revision: Revision,
        /// The change.
        change: Change,
    },
    /// A lease was granted.
    Granted(LeaseGrant),
    /// The time given by [`FollowerState::next_timer`] has been reached.
    TimerElapsed,
}

/// Action requested by a follower.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEffect {
    /// Subscribe on the link, stating the revision held.
    Subscribe(Revision),
    /// Request a lease.
    Renew {
        /// Number of the renewal.
        ticket: u64,
        /// The revision in force.
        in_force: Revision,
    },
    /// Put this catalog in force and report its revision.
    PutInForce(Arc<Catalog>),
    /// The lease is valid until this time; no query may start later.
    FreshUntil(Timestamp),
    /// Close the link and connect to another control process.
    GiveUp(FeedFault),
}

#[derive(Debug, Clone, Copy)]
struct Renewal {
    ticket: u64,
    requested_at: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct PendingLease {
    revision: Revision,
    until: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Link {
    next_renewal: Timestamp,
    last_grant: Timestamp,
}

/// The state of a follower.
#[derive(Debug, Clone)]
pub struct FollowerState {
    settings: FollowerSettings,
    catalog: Arc<Catalog>,
    fresh_until: Timestamp,
    next_ticket: u64,
    renewals: VecDeque<Renewal>,
    pending_lease: Option<PendingLease>,
    /// When the renewal of the last grant was requested.
    last_lease: Option<Timestamp>,
    link: Option<Link>,
}

impl FollowerState {
    /// Creates a follower without a catalog, a lease or a link.
    pub fn new(settings: FollowerSettings) -> Self {
        Self {
            settings,
            catalog: Arc::default(),
            fresh_until: Timestamp::ZERO,
            next_ticket: 1,
            renewals: VecDeque::new(),
            pending_lease: None,
            last_lease: None,
            link: None,
        }
    }

    /// The catalog in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Whether the lease is valid at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.fresh_until
    }

    /// When the last lease that was granted was requested; `None` before the first one.
    pub fn last_lease(&self) -> Option<Timestamp> {
        self.last_lease
    }

    /// When [`FollowerEvent::TimerElapsed`] is due next; `None` without a link.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let link = self.link?;
        Some(link.next_renewal.min(link.last_grant.after(self.settings.silence_limit)))
    }

    /// Handles one event and appends the resulting actions to `effects`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: FollowerEvent,
        effects: &mut Vec<FollowerEffect>,
    ) {
        match event {
            FollowerEvent::Connected => self.connected(now, effects),
            FollowerEvent::Disconnected => self.disconnected(),
            FollowerEvent::FullCatalog(catalog) => self.full_catalog(catalog, effects),
            FollowerEvent::Change { revision, change } => self.change(revision, &change, effects),
            FollowerEvent::Granted(grant) => self.granted(now, grant, effects),
            FollowerEvent::TimerElapsed => self.timer_elapsed(now, effects),
        }
    }

    fn connected(&mut self, now: Timestamp, effects: &mut Vec<FollowerEffect>) {
        self.disconnected();
        self.link = Some(Link { next_renewal: now, last_grant: now });
        effects.push(FollowerEffect::Subscribe(self.catalog.revision()));
        self.renew(now, effects);
    }

    /// Drops the pending renewals of the link; the current lease stays valid.
    fn disconnected(&mut self) {
        self.link = None;
        self.renewals.clear();
    }

    fn renew(&mut self, now: Timestamp, effects: &mut Vec<FollowerEffect>) {
        let Some(link) = &mut self.link else {
            return;
        };
        link.next_renewal = now.after(self.settings.renewal_interval);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.renewals.push_back(Renewal { ticket, requested_at: now });
        effects.push(FollowerEffect::Renew { ticket, in_force: self.catalog.revision() });
    }

    fn timer_elapsed(&mut self, now: Timestamp, effects: &mut Vec<FollowerEffect>) {
        let Some(link) = self.link else {
            return;
        };
        if now >= link.last_grant.after(self.settings.silence_limit) {
            self.abandon_link(FeedFault::LeaseTimeout, effects);
        } else if now >= link.next_renewal {
            self.renew(now, effects);
        }
    }

    fn abandon_link(&mut self, fault: FeedFault, effects: &mut Vec<FollowerEffect>) {
        self.disconnected();
        effects.push(FollowerEffect::GiveUp(fault));
    }

    fn full_catalog(&mut self, catalog: Catalog, effects: &mut Vec<FollowerEffect>) {
        let (offered, in_force) = (catalog.revision(), self.catalog.revision());
        if offered < in_force {
            return self.abandon_link(FeedFault::Older(offered, in_force), effects);
        }
        self.put_in_force(catalog, effects);
    }

    fn change(&mut self, revision: Revision, change: &Change, effects: &mut Vec<FollowerEffect>) {
        let in_force = self.catalog.revision();
        if revision <= in_force {
            return;
        }
        if revision.0 != in_force.0 + 1 {
            return self.abandon_link(FeedFault::Gap(revision, in_force), effects);
        }
        let mut catalog = Catalog::clone(&self.catalog);
        match catalog.apply(change) {
            Ok(_) => self.put_in_force(catalog, effects),
            Err(error) => {
                self.abandon_link(FeedFault::Inapplicable(revision, error.to_string()), effects)
            }
        }
    }

    fn put_in_force(&mut self, catalog: Catalog, effects: &mut Vec<FollowerEffect>) {
        self.catalog = Arc::new(catalog);
        effects.push(FollowerEffect::PutInForce(self.catalog.clone()));
        let revision = self.catalog.revision();
        if let Some(lease) = self.pending_lease.take_if(|lease| lease.revision <= revision) {
            self.extend(lease.until, effects);
        }
    }

    fn granted(&mut self, now: Timestamp, grant: LeaseGrant, effects: &mut Vec<FollowerEffect>) {
        let Some(renewal) = self.take_renewal(grant.ticket) else {
            return;
        };
        let in_force = self.catalog.revision();
        if grant.revision < in_force {
            return self.abandon_link(FeedFault::Older(grant.revision, in_force), effects);
        }
        if let Some(link) = &mut self.link {
            link.last_grant = now;
        }
        self.last_lease = Some(renewal.requested_at);
        let until = renewal.requested_at.after(grant.duration);
        if grant.revision == in_force {
            self.extend(until, effects);
        } else {
            self.pending_lease = Some(PendingLease { revision: grant.revision, until });
        }
    }

    /// Removes and returns the renewal with this number; older ones are removed as superseded.
    fn take_renewal(&mut self, ticket: u64) -> Option<Renewal> {
        let place = self.renewals.iter().position(|renewal| renewal.ticket == ticket)?;
        self.renewals.drain(..=place).next_back()
    }

    fn extend(&mut self, until: Timestamp, effects: &mut Vec<FollowerEffect>) {
        if until > self.fresh_until {
            self.fresh_until = until;
            effects.push(FollowerEffect::FreshUntil(until));
        }
    }
}
