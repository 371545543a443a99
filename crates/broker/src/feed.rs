//! The broker's link to a control process, which feeds it the catalog, the freshness lease and the
//! list of brokers.

mod reports;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::crash_suspects::CrashFinding;
use gingerkeel_domain::directory::{DirectoryDelta, LeafDirectory};
use gingerkeel_domain::feed::{
    BackOff, BrokerList, ChargeReporter, ChargeTotals, FeedFault, FollowerEffect, FollowerEvent,
    FollowerSettings, FollowerState, KnownBroker, LeaseGrant, OverloadReporter,
};
use gingerkeel_domain::identifiers::{BrokerRun, LeafId, Revision, ServiceName, ZoneName};
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::FleetUsage;
use gingerkeel_domain::rollout::{RolloutReport, Rollouts};
use gingerkeel_domain::routes::RouteConfiguration;
use gingerkeel_domain::time::Timestamp;
use gingerkeel_protocol::{
    FeedMessage, FrameCodec, PROTOCOL_VERSION, ProtocolError, ShortText, SubscriberMessage,
    decode_document, encode_document, encode_frame, unpack_document,
};
use gingerkeel_settings::BrokerSettings;
use gingerkeel_transport::Clock;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use monoio_codec::FramedRead;
use quick_error::quick_error;
use rand::Rng;
use tracing::{info, warn};

use crate::control_dial::dial_any;
use crate::engine::EngineMessage;
use crate::known_controls::KnownControls;
use crate::route_reports::{CrashReport, LinkNumber, LinkUsage, RouteReports, SlowLeaves};

/// Upper bound of the first backoff before another control process is tried.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Timeout for writing a frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a link ended.
    #[derive(Debug)]
    enum LinkError {
        /// A frame was not written in time.
        WriteTimedOut {
            display("no connection in time: check that the control process runs and is reachable")
        }
        /// A frame could not be decoded, or the socket failed.
        Protocol(error: ProtocolError) {
            from()
            from(error: io::Error) -> (ProtocolError::from(error))
            display("{error}")
        }
        /// The feed violated the protocol.
        Feed(fault: FeedFault) {
            display("{fault}")
        }
        /// The control process closed the link.
        Closed {
            display("the control process closed the link")
        }
    }
}

/// Follows the catalog until the process ends, switching to another control process on failure.
pub async fn follow(
    settings: BrokerSettings,
    run: BrokerRun,
    clock: Clock,
    engine: Tx<EngineMessage>,
    inputs: FeedInputs,
    routes: Option<Tx<RouteUpdate>>,
) {
    let longest_pause = Duration::from_millis(settings.control_pause_ms.into());
    let mut back_off = BackOff::new(INITIAL_BACKOFF.min(longest_pause), longest_pause);
    let mut link = Link {
        follower: FollowerState::new(FollowerSettings::default()),
        brokers: BrokerList::default(),
        charges: ChargeReporter::new(run.0),
        overload: OverloadReporter::default(),
        reports_due: clock.now(),
        last_reports: inputs.last_reports,
        last_report: None,
        controls: KnownControls::new(settings.control.clone(), inputs.controls),
        route_reports: inputs.route_reports,
        number: LinkNumber::default(),
        settings,
        run,
        clock,
        engine,
        routes,
    };
    loop {
        let (control, stream) = dial_any(&mut link.controls, link.clock, &mut back_off).await;
        link.log_taken(control);
        let fresh_before = link.follower.is_fresh(clock.now());
        let lease_before = link.follower.last_lease();
        let Err(error) = link.follow_link(stream).await;
        let granted = link.follower.last_lease() != lease_before;
        link.log_lost(control, granted, &error);
        link.end_link(control);
        let others_usable = !link.controls.usable(clock.now()).is_empty();
        if fresh_before || link.follower.is_fresh(clock.now()) || others_usable {
            back_off.succeeded();
        }
        let pause = back_off.next_pause(&mut rand::rng());
        sleep(pause).await;
    }
}

/// Inputs of the feed from other tasks.
pub struct FeedInputs {
    /// The final totals, sent when the process ends.
    pub last_reports: Rx<LastReport>,
    /// New addresses of control processes after a change of the settings.
    pub controls: Rx<Vec<SocketAddr>>,
    /// Reports of the route server.
    pub route_reports: RouteReports,
}

/// The final totals of the process, to be recorded before it exits.
pub struct LastReport {
    /// Totals of charges.
    pub totals: ChargeTotals,
    /// Notified once the control process has recorded all of them.
    pub recorded: oneshot::Sender<()>,
}

/// An event on a link.
enum LinkEvent {
    Message(Result<FeedMessage, LinkError>),
    LastReport(LastReport),
    SlowLeaves(SlowLeaves),
    CrashReport(CrashReport),
    Usage(LinkUsage),
    Rollouts(Vec<RolloutReport>),
    TimerElapsed,
}

/// An update for the route server.
pub enum RouteUpdate {
    /// A new configuration of routes.
    Routes(RouteConfiguration),
    /// The complete leaf directory.
    WholeDirectory(LeafDirectory),
    /// A change of the leaf directory.
    DirectoryChange(DirectoryDelta),
    /// The freshness lease was renewed until this time.
    FreshUntil(Timestamp),
    /// Leaves that many brokers report as slow.
    LeafWarnings(Vec<LeafWarning>),
    /// Crash findings of other brokers.
    CrashFindings(Vec<CrashFinding>),
    /// Requests that the replicated state refuses, or no longer refuses.
    RefusedRequests {
        /// The finding of each request.
        findings: Vec<CrashFinding>,
        /// Whether the list is complete: no other request is refused.
        is_whole: bool,
    },
    /// The answer to a request for a trial.
    Trial {
        /// Ticket of the request for a trial.
        ticket: u64,
        /// Whether the suspected request may be sent to one leaf.
        granted: bool,
    },
    /// A link to a control process was established.
    LinkUp(LinkNumber),
    /// The link to the control process was lost.
    LinkDown,
    /// Usage of the tenants' quotas over all brokers.
    Usage(FleetUsage),
    /// All evacuated zones; their leaves get no new requests.
    Evacuated(BTreeSet<ZoneName>),
    /// The latest roll-out of each service.
    Rollouts(Rollouts),
    /// All brokers that share the leaves.
    Brokers(Vec<KnownBroker>),
}

struct Link {
    follower: FollowerState,
    brokers: BrokerList,
    charges: ChargeReporter,
    overload: OverloadReporter,
    reports_due: Timestamp,
    last_reports: Rx<LastReport>,
    last_report: Option<LastReport>,
    controls: KnownControls,
    route_reports: RouteReports,
    /// Number of the current link, or of the last one.
    number: LinkNumber,
    settings: BrokerSettings,
    run: BrokerRun,
    clock: Clock,
    engine: Tx<EngineMessage>,
    routes: Option<Tx<RouteUpdate>>,
}

impl Link {
    fn send_routes(
        &self,
        update: impl FnOnce() -> Result<RouteUpdate, ProtocolError>,
    ) -> Result<(), LinkError> {
        if self.routes.is_some() {
            self.notify_routes(update()?);
        }
        Ok(())
    }

    fn notify_routes(&self, update: RouteUpdate) {
        if let Some(routes) = &self.routes {
            // The route server lives as long as the process.
            let _ = routes.send(update);
        }
    }

    fn end_link(&mut self, control: SocketAddr) {
        self.notify_follower(FollowerEvent::Disconnected, &mut Vec::new());
        self.notify_routes(RouteUpdate::LinkDown);
        self.controls.link_ended(self.clock.now(), control);
    }

    fn log_taken(&self, control: SocketAddr) {
        info!(
            event = "control_link_taken",
            %control,
            kind = %self.controls.kind(control),
            revision = self.follower.catalog().revision().0,
            since_lease_ms = self.since_lease_ms()
        );
    }

    fn log_lost(&self, control: SocketAddr, granted: bool, error: &LinkError) {
        warn!(
            event = "control_link_lost",
            %control,
            granted,
            revision = self.follower.catalog().revision().0,
            since_lease_ms = self.since_lease_ms(),
            %error
        );
    }

    /// Milliseconds since the last lease was requested; none before the first lease.
    fn since_lease_ms(&self) -> Option<u64> {
        let since = self.clock.now().since(self.follower.last_lease()?);
        u64::try_from(since.as_millis()).ok()
    }

    async fn follow_link(
        &mut self,
        stream: TcpStream,
    ) -> Result<std::convert::Infallible, LinkError> {
        // Nagle's algorithm would delay small frames; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, mut writer) = stream.into_split();
        let (sender, mut messages) = unbounded::channel();
        monoio::spawn(read_messages(read_half, sender));
        let Err(error) = self.run_link(&mut messages, &mut writer).await;
        // Ends the reading task, too; fails if the peer has closed the connection.
        let _ = writer.shutdown().await;
        Err(error)
    }

    async fn run_link(
        &mut self,
        messages: &mut Rx<Result<FeedMessage, ProtocolError>>,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<std::convert::Infallible, LinkError> {
        let mut effects = Vec::new();
        self.notify_follower(FollowerEvent::Connected, &mut effects);
        self.number.0 += 1;
        self.notify_routes(RouteUpdate::LinkUp(self.number));
        // Reports that the last link left unacknowledged are sent at once.
        self.reports_due = self.clock.now();
        loop {
            self.apply_effects(&mut effects, writer).await?;
            if self.reports_due <= self.clock.now() {
                self.report_charges(writer).await?;
                self.report_overload(writer).await?;
            }
            match self.next_event(messages).await {
                LinkEvent::Message(message) => self.receive(message?, &mut effects)?,
                LinkEvent::LastReport(report) => {
                    self.last_report = Some(report);
                    self.expedite_last_report();
                }
                LinkEvent::SlowLeaves(report) => self.report_slow_leaves(writer, &report).await?,
                LinkEvent::CrashReport(found) => self.report_crash(writer, found).await?,
                LinkEvent::Usage(usage) => self.report_usage(writer, &usage).await?,
                LinkEvent::Rollouts(reports) => {
                    let reports = encode_document(&reports)?.into();
                    send(writer, &SubscriberMessage::Rollouts { reports }).await?
                }
                LinkEvent::TimerElapsed => {
                    self.notify_follower(FollowerEvent::TimerElapsed, &mut effects)
                }
            }
        }
    }

    async fn next_event(
        &mut self,
        messages: &mut Rx<Result<FeedMessage, ProtocolError>>,
    ) -> LinkEvent {
        let due = self.follower.next_timer().unwrap_or_else(|| self.clock.now());
        let due = due.min(self.reports_due);
        monoio::select! {
            message = messages.recv() => match message {
                Some(message) => LinkEvent::Message(message.map_err(LinkError::from)),
                None => LinkEvent::Message(Err(LinkError::Closed)),
            },
            report = next_last_report(&mut self.last_reports) => LinkEvent::LastReport(report),
            report = self.route_reports.slow_leaves.recv() => match report {
                Some(report) => LinkEvent::SlowLeaves(report),
                None => std::future::pending().await,
            },
            found = self.route_reports.crash_reports.recv() => match found {
                Some(found) => LinkEvent::CrashReport(found),
                // This process serves no routes.
                None => std::future::pending().await,
            },
            usage = self.route_reports.usage.recv() => match usage {
                Some(usage) => LinkEvent::Usage(usage),
                None => std::future::pending().await,
            },
            reports = self.route_reports.rollouts.recv() => match reports {
                Some(reports) => LinkEvent::Rollouts(reports),
                None => std::future::pending().await,
            },
            _ = sleep(self.clock.until(due)) => LinkEvent::TimerElapsed,
        }
    }

    /// During a planned stop, the next report is due at once after each acknowledgement.
    fn expedite_last_report(&mut self) {
        if self.last_report.is_some() {
            self.reports_due = self.clock.now();
        }
    }

    fn notify_follower(&mut self, event: FollowerEvent, effects: &mut Vec<FollowerEffect>) {
        self.follower.handle(self.clock.now(), event, effects);
    }

    fn receive(
        &mut self,
        message: FeedMessage,
        effects: &mut Vec<FollowerEffect>,
    ) -> Result<(), LinkError> {
        match message {
            FeedMessage::FullCatalog { catalog } => {
                let catalog = decode_document(&catalog.bytes)?;
                self.notify_follower(FollowerEvent::FullCatalog(catalog), effects);
            }
            FeedMessage::Change { revision, change } => {
                let change = decode_document(&change.bytes)?;
                let revision = Revision(revision);
                self.notify_follower(FollowerEvent::Change { revision, change }, effects);
            }
            FeedMessage::Lease { ticket, revision, duration_milliseconds } => {
                let duration = Duration::from_millis(duration_milliseconds.into());
                let grant = LeaseGrant { ticket, revision: Revision(revision), duration };
                let lease_before = self.follower.last_lease();
                self.notify_follower(FollowerEvent::Granted(grant), effects);
                if self.follower.last_lease() != lease_before {
                    self.controls.lease_granted(self.clock.now());
                }
            }
            FeedMessage::Brokers { delta } => {
                self.brokers.apply(unpack_document(&delta.bytes)?);
                self.send_routes(|| Ok(RouteUpdate::Brokers(self.brokers.all())))?;
                self.send_engine(EngineMessage::BrokersChanged(self.brokers.live()));
            }
            FeedMessage::Leaving { leaves } => {
                let leaves = leaves.into_iter().map(LeafId).collect();
                self.send_engine(EngineMessage::PlatformLeaving(leaves));
            }
            FeedMessage::Threshold { service, lowest_admitted } => {
                if let Some(service) = service.text().map(ServiceName::new) {
                    self.send_engine(EngineMessage::ThresholdChanged { service, lowest_admitted });
                }
            }
            FeedMessage::Routes { configuration } => {
                self.send_routes(|| unpack_document(&configuration.bytes).map(RouteUpdate::Routes))?
            }
            FeedMessage::WholeDirectory { directory } => self.send_routes(|| {
                let mut directory: LeafDirectory = unpack_document(&directory.bytes)?;
                directory.intern_names();
                Ok(RouteUpdate::WholeDirectory(directory))
            })?,
            FeedMessage::DirectoryChange { delta } => self.send_routes(|| {
                let mut delta: DirectoryDelta = unpack_document(&delta.bytes)?;
                delta.intern_names();
                Ok(RouteUpdate::DirectoryChange(delta))
            })?,
            FeedMessage::LeafWarnings { warnings } => self
                .send_routes(|| decode_document(&warnings.bytes).map(RouteUpdate::LeafWarnings))?,
            FeedMessage::CrashFindings { findings } => self
                .send_routes(|| decode_document(&findings.bytes).map(RouteUpdate::CrashFindings))?,
            FeedMessage::RefusedRequests { is_whole, findings } => self.send_routes(|| {
                let findings = decode_document(&findings.bytes)?;
                Ok(RouteUpdate::RefusedRequests { findings, is_whole })
            })?,
            FeedMessage::Trial { ticket, granted } => {
                self.send_routes(|| Ok(RouteUpdate::Trial { ticket, granted }))?
            }
            FeedMessage::Usage { usage } => {
                self.send_routes(|| decode_document(&usage.bytes).map(RouteUpdate::Usage))?
            }
            FeedMessage::Controls { .. } if !self.settings.learn_controls => {}
            FeedMessage::Controls { addresses } => {
                self.controls.name(decode_document(&addresses.bytes)?);
            }
            FeedMessage::Refused { protocol_version, reason } => {
                let text = format!("refused ({reason:?}, protocol version {protocol_version})");
                return Err(ProtocolError::Malformed(text).into());
            }
            FeedMessage::ChargesRecorded { run, sequence } => {
                self.charges.recorded(run, sequence);
                self.expedite_last_report();
            }
            FeedMessage::RunSettled { run, sequence } => {
                self.charges.run_settled(run, sequence, rand::rng().random());
                self.expedite_last_report();
            }
        }
        Ok(())
    }

    async fn apply_effects(
        &mut self,
        effects: &mut Vec<FollowerEffect>,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<(), LinkError> {
        for effect in effects.drain(..) {
            match effect {
                FollowerEffect::Subscribe(revision) => {
                    send(writer, &self.subscription(revision)).await?
                }
                FollowerEffect::Renew { ticket, in_force } => {
                    let in_force = in_force.0;
                    send(writer, &SubscriberMessage::Renew { ticket, in_force }).await?
                }
                FollowerEffect::PutInForce(catalog) => {
                    let revision = catalog.revision().0;
                    let evacuated = catalog.evacuated().clone();
                    self.send_routes(|| Ok(RouteUpdate::Evacuated(evacuated)))?;
                    let rollouts = catalog.rollouts().clone();
                    self.send_routes(|| Ok(RouteUpdate::Rollouts(rollouts)))?;
                    self.send_engine(EngineMessage::CatalogChanged(catalog));
                    info!(event = "catalog_applied", revision);
                    send(writer, &SubscriberMessage::InForce { revision }).await?
                }
                FollowerEffect::FreshUntil(until) => {
                    self.send_routes(|| Ok(RouteUpdate::FreshUntil(until)))?;
                    self.send_engine(EngineMessage::FreshUntil(until))
                }
                FollowerEffect::GiveUp(fault) => return Err(LinkError::Feed(fault)),
            }
        }
        Ok(())
    }

    fn subscription(&self, revision: Revision) -> SubscriberMessage {
        SubscriberMessage::Subscribe {
            protocol_version: PROTOCOL_VERSION,
            run: self.run.0,
            revision: revision.0,
            broker: ShortText::new(&self.settings.name),
            region: ShortText::new(&self.settings.region),
            zone: ShortText::new(&self.settings.zone),
        }
    }

    fn send_engine(&self, message: EngineMessage) {
        // The engine lives as long as the process.
        let _ = self.engine.send(message);
    }
}

async fn next_last_report(reports: &mut Rx<LastReport>) -> LastReport {
    match reports.recv().await {
        Some(report) => report,
        // No sender is left.
        None => std::future::pending().await,
    }
}

/// Reads frames in a separate task, since a cancelled read would lose part of a frame.
async fn read_messages(
    read_half: OwnedReadHalf<TcpStream>,
    messages: Tx<Result<FeedMessage, ProtocolError>>,
) {
    let mut reader = FramedRead::new(read_half, ());
    let mut codec = FrameCodec::<FeedMessage>::default();
    while let Some(message) = reader.next_with(&mut codec).await {
        let ended = message.is_err();
        if messages.send(message).is_err() || ended {
            return;
        }
    }
}

async fn send(
    writer: &mut OwnedWriteHalf<TcpStream>,
    message: &SubscriberMessage,
) -> Result<(), LinkError> {
    let frame = encode_frame(message)?;
    let (result, _) = timeout(WRITE_TIMEOUT, writer.write_all(frame))
        .await
        .map_err(|_| LinkError::WriteTimedOut)?;
    result?;
    Ok(())
}
