//! Event handling of simulated brokers.

use std::sync::Arc;
use std::time::Duration;

use gingerkeel_domain::feed::{FollowerEffect, FollowerEvent};
use gingerkeel_domain::identifiers::Revision;
use gingerkeel_domain::time::Timestamp;

use super::broker::{BrokerIndex, new_follower};
use super::fault::Mutant;
use super::history::BrokerSample;
use super::machine::MachineIndex;
use super::message::{Endpoint, FeedContent, LinkNumber, Message};
use super::world::{ControlWorld, Event, SAMPLE_INTERVAL};
use crate::virtual_clock::Schedule;

/// Connection timeout, after which a broker tries the next machine.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

impl ControlWorld {
    pub(super) fn broker_told(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        link: LinkNumber,
        content: FeedContent,
        schedule: &mut Schedule<Event>,
    ) {
        let mutant = self.mutant;
        let broker = &mut self.brokers[index.0];
        if broker.frozen {
            broker.backlog.push((link, content));
            return;
        }
        if broker.link != link {
            return;
        }
        let event = match content {
            FeedContent::Open => {
                broker.open = true;
                FollowerEvent::Connected
            }
            FeedContent::Broken => {
                self.give_up_link(now, index, schedule);
                return;
            }
            FeedContent::FullCatalog(catalog) => {
                FollowerEvent::FullCatalog(Arc::unwrap_or_clone(catalog))
            }
            FeedContent::Change(revision, change) => FollowerEvent::Change { revision, change },
            FeedContent::Grant(grant) => {
                broker.back_off.succeeded();
                FollowerEvent::Granted(grant)
            }
        };
        // The mutant discards the catalog in force, so that the follower accepts any other one.
        if mutant == Some(Mutant::OlderCatalogTaken) && matches!(event, FollowerEvent::Connected) {
            broker.follower = new_follower();
        }
        self.tell_follower(now, index, event, schedule);
    }

    pub(super) fn tell_follower(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        event: FollowerEvent,
        schedule: &mut Schedule<Event>,
    ) {
        let mut effects = Vec::new();
        self.brokers[index.0].follower.handle(now, event, &mut effects);
        for effect in effects {
            self.carry_out(now, index, effect, schedule);
        }
        self.set_broker_timer(now, index, schedule);
    }

    pub(super) fn carry_out(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        effect: FollowerEffect,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &self.brokers[index.0];
        let (from, to) = (Endpoint::Broker(index), Endpoint::Machine(broker.machine));
        let link = broker.link;
        match effect {
            FollowerEffect::Subscribe(revision) => {
                self.send(from, to, Message::Subscribe(index, link, revision), schedule)
            }
            FollowerEffect::Renew { ticket, .. } => {
                self.send(from, to, Message::Renew(index, link, ticket), schedule)
            }
            FollowerEffect::GiveUp(_) => self.give_up_link(now, index, schedule),
            FollowerEffect::PutInForce(_) | FollowerEffect::FreshUntil(_) => {}
        }
    }

    /// Abandons the link and schedules a connection to the next machine after a backoff.
    pub(super) fn give_up_link(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let machines = self.machines.len();
        let broker = &mut self.brokers[index.0];
        broker.open = false;
        broker.link.0 += 1;
        broker.machine = MachineIndex((broker.machine.0 + 1) % machines);
        let pause = broker.back_off.next_pause(&mut self.random);
        let event = Event::Reconnect(index, broker.run, broker.link);
        schedule.after(pause, event);
        self.brokers[index.0].follower.handle(now, FollowerEvent::Disconnected, &mut Vec::new());
    }

    pub(super) fn reconnect(
        &mut self,
        index: BrokerIndex,
        run: u64,
        link: LinkNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        if broker.run != run || broker.link != link {
            return;
        }
        self.history.connects += 1;
        let to = Endpoint::Machine(broker.machine);
        self.send(Endpoint::Broker(index), to, Message::Connect(index, link), schedule);
        schedule.after(CONNECT_LIMIT, Event::ConnectLate(index, run, link));
    }

    pub(super) fn connect_late(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        run: u64,
        link: LinkNumber,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &self.brokers[index.0];
        if broker.run == run && broker.link == link && !broker.open {
            self.give_up_link(now, index, schedule);
        }
    }

    pub(super) fn set_broker_timer(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        let Some(due) = broker.follower.next_timer().map(|due| due.max(now)) else {
            return;
        };
        if broker.timer.is_none_or(|timer| due < timer || timer < now) {
            broker.timer = Some(due);
            schedule.after(due.since(now), Event::BrokerTimer(index, broker.run));
        }
    }

    pub(super) fn broker_timer(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        run: u64,
        schedule: &mut Schedule<Event>,
    ) {
        let broker = &mut self.brokers[index.0];
        if broker.run != run || broker.frozen {
            return;
        }
        broker.timer = None;
        if broker.follower.next_timer().is_some_and(|due| due <= now) {
            self.tell_follower(now, index, FollowerEvent::TimerElapsed, schedule);
        } else {
            self.set_broker_timer(now, index, schedule);
        }
    }

    pub(super) fn sample(
        &mut self,
        now: Timestamp,
        index: BrokerIndex,
        schedule: &mut Schedule<Event>,
    ) {
        schedule.after(SAMPLE_INTERVAL, Event::Sample(index));
        let ignored = self.mutant == Some(Mutant::LeaseIgnored);
        let broker = &self.brokers[index.0];
        if broker.frozen {
            return;
        }
        let revision = broker.follower.catalog().revision();
        let serves = broker.follower.is_fresh(now) || (ignored && revision > Revision(0));
        let run = broker.run;
        self.history.samples.push(BrokerSample { broker: index, at: now, run, revision, serves });
    }
}
