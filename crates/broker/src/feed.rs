//! The broker's link to a control process: its catalog, its freshness lease and its peers.

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

use crate::control_dial::{dial, dial_nearest};
use crate::engine::EngineMessage;
use crate::known_controls::KnownControls;
use crate::route_reports::{CrashReport, LinkNumber, LinkUsage, RouteReports, SlowLeaves};

/// Bound of the first pause before another control process is asked.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Time that a control process has to take a frame.
const WRITE_LIMIT: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a link ended.
    #[derive(Debug)]
    enum LinkError {
        /// The peer did not accept the connection in time.
        ConnectTimedOut {
            display("no connection in time: check that the control process runs and is reachable")
        }
        /// A frame was not understood, or the socket failed.
        Protocol(error: ProtocolError) {
            from()
            from(error: io::Error) -> (ProtocolError::from(error))
            display("{error}")
        }
        /// The feed broke a rule.
        Feed(fault: FeedFault) {
            display("{fault}")
        }
        /// The control process closed the link.
        Closed {
            display("the control process closed the link")
        }
    }
}

/// Follows the catalog for ever, changing to the next control process when one fails.
pub async fn follow(
    settings: BrokerSettings,
    run: BrokerRun,
    clock: Clock,
    engine: Tx<EngineMessage>,
    inputs: FeedInputs,
    routes: Option<Tx<RouteUpdate>>,
) {
    let longest_pause = Duration::from_millis(settings.control_pause_ms.into());
    let mut back_off = BackOff::new(FIRST_PAUSE.min(longest_pause), longest_pause);
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
    let mut lost: Option<SocketAddr> = None;
    loop {
        let (control, stream) = match dial_nearest(&link.controls.named_but(lost)).await {
            Some(connected) => connected,
            None => dial(|tries| link.controls.next(tries), &mut back_off).await,
        };
        lost = Some(control);
        let fresh_before = link.follower.is_fresh(clock.now());
        let Err(error) = link.follow_one(stream).await;
        link.tell(FollowerEvent::Disconnected, &mut Vec::new());
        link.tell_routes(RouteUpdate::LinkDown);
        warn!(event = "control_link_lost", %control, %error);
        if fresh_before || link.follower.is_fresh(clock.now()) {
            back_off.succeeded();
        }
        let pause = back_off.next_pause(&mut rand::rng());
        sleep(pause).await;
    }
}

/// What other tasks tell the feed.
pub struct FeedInputs {
    /// The last totals, once the process ends.
    pub last_reports: Rx<LastReport>,
    /// The addresses of control processes, when the settings have changed.
    pub controls: Rx<Vec<SocketAddr>>,
    /// What the serving of routes has to report.
    pub route_reports: RouteReports,
}

/// What ends with the process: its last totals, to be reported before it does.
pub struct LastReport {
    /// Totals of charges.
    pub totals: ChargeTotals,
    /// Told once all of them are recorded.
    pub recorded: oneshot::Sender<()>,
}

/// What a link waits for.
enum News {
    Message(Result<FeedMessage, LinkError>),
    LastReport(LastReport),
    SlowLeaves(SlowLeaves),
    CrashReport(CrashReport),
    Usage(LinkUsage),
    Rollouts(Vec<RolloutReport>),
    TimerElapsed,
}

/// News of routes and leaves, for a broker that serves routes.
pub enum RouteUpdate {
    /// The configuration of routes.
    Routes(RouteConfiguration),
    /// The whole list of leaves.
    WholeDirectory(LeafDirectory),
    /// A change of the list.
    DirectoryChange(DirectoryDelta),
    /// What is held was confirmed, and counts until then.
    FreshUntil(Timestamp),
    /// Leaves that many brokers find slow.
    LeafWarnings(Vec<LeafWarning>),
    /// Requests under which leaves have ended, as other brokers found.
    CrashFindings(Vec<CrashFinding>),
    /// Requests that the replicated state refuses, or does not any more.
    RefusedRequests {
        /// What it has of each.
        findings: Vec<CrashFinding>,
        /// Whether no others are refused.
        is_whole: bool,
    },
    /// The answer to a question for a trial.
    Trial {
        /// Number of the question.
        ticket: u64,
        /// Whether the request may be sent to one leaf.
        granted: bool,
    },
    /// A link to a control process is up.
    LinkUp(LinkNumber),
    /// It is lost.
    LinkDown,
    /// How the quotas of tenants stand over all brokers.
    Usage(FleetUsage),
    /// The zones whose leaves get no new work, all of them.
    Evacuated(BTreeSet<ZoneName>),
    /// The newest roll-out of each service.
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
    /// Number of the link that is up, or was last.
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
            self.tell_routes(update()?);
        }
        Ok(())
    }

    fn tell_routes(&self, update: RouteUpdate) {
        if let Some(routes) = &self.routes {
            // The task that serves routes lives as long as the process.
            let _ = routes.send(update);
        }
    }

    async fn follow_one(
        &mut self,
        stream: TcpStream,
    ) -> Result<std::convert::Infallible, LinkError> {
        // Small frames must not wait for each other; a socket without the option still works.
        let _ = stream.set_nodelay(true);
        let (read_half, mut writer) = stream.into_split();
        let (sender, mut messages) = unbounded::channel();
        monoio::spawn(read_messages(read_half, sender));
        let Err(error) = self.converse(&mut messages, &mut writer).await;
        // Ends the reading task too; the peer may have closed the connection already.
        let _ = writer.shutdown().await;
        Err(error)
    }

    async fn converse(
        &mut self,
        messages: &mut Rx<Result<FeedMessage, ProtocolError>>,
        writer: &mut OwnedWriteHalf<TcpStream>,
    ) -> Result<std::convert::Infallible, LinkError> {
        let mut effects = Vec::new();
        self.tell(FollowerEvent::Connected, &mut effects);
        self.number.0 += 1;
        self.tell_routes(RouteUpdate::LinkUp(self.number));
        // What the last link left without a receipt is sent at once.
        self.reports_due = self.clock.now();
        loop {
            self.carry_out(&mut effects, writer).await?;
            if self.reports_due <= self.clock.now() {
                self.report_charges(writer).await?;
                self.report_overload(writer).await?;
            }
            match self.next_news(messages).await {
                News::Message(message) => self.receive(message?, &mut effects)?,
                News::LastReport(report) => {
                    self.last_report = Some(report);
                    self.hurry_last_report();
                }
                News::SlowLeaves(report) => self.report_slow_leaves(writer, &report).await?,
                News::CrashReport(found) => self.report_crash(writer, found).await?,
                News::Usage(usage) => self.report_usage(writer, &usage).await?,
                News::Rollouts(reports) => {
                    let reports = encode_document(&reports)?.into();
                    send(writer, &SubscriberMessage::Rollouts { reports }).await?
                }
                News::TimerElapsed => self.tell(FollowerEvent::TimerElapsed, &mut effects),
            }
        }
    }

    async fn next_news(&mut self, messages: &mut Rx<Result<FeedMessage, ProtocolError>>) -> News {
        let due = self.follower.next_timer().unwrap_or_else(|| self.clock.now());
        let due = due.min(self.reports_due);
        monoio::select! {
            message = messages.recv() => match message {
                Some(message) => News::Message(message.map_err(LinkError::from)),
                None => News::Message(Err(LinkError::Closed)),
            },
            report = next_last_report(&mut self.last_reports) => News::LastReport(report),
            report = self.route_reports.slow_leaves.recv() => match report {
                Some(report) => News::SlowLeaves(report),
                None => std::future::pending().await,
            },
            found = self.route_reports.crash_reports.recv() => match found {
                Some(found) => News::CrashReport(found),
                // Nothing serves routes in this process.
                None => std::future::pending().await,
            },
            usage = self.route_reports.usage.recv() => match usage {
                Some(usage) => News::Usage(usage),
                None => std::future::pending().await,
            },
            reports = self.route_reports.rollouts.recv() => match reports {
                Some(reports) => News::Rollouts(reports),
                None => std::future::pending().await,
            },
            _ = sleep(self.clock.until(due)) => News::TimerElapsed,
        }
    }

    /// With a planned stop, each receipt is followed by the next report at once.
    fn hurry_last_report(&mut self) {
        if self.last_report.is_some() {
            self.reports_due = self.clock.now();
        }
    }

    fn tell(&mut self, event: FollowerEvent, effects: &mut Vec<FollowerEffect>) {
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
                self.tell(FollowerEvent::FullCatalog(catalog), effects);
            }
            FeedMessage::Change { revision, change } => {
                let change = decode_document(&change.bytes)?;
                let revision = Revision(revision);
                self.tell(FollowerEvent::Change { revision, change }, effects);
            }
            FeedMessage::Lease { ticket, revision, duration_milliseconds } => {
                let duration = Duration::from_millis(duration_milliseconds.into());
                let grant = LeaseGrant { ticket, revision: Revision(revision), duration };
                self.tell(FollowerEvent::Granted(grant), effects);
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
                directory.share_names();
                Ok(RouteUpdate::WholeDirectory(directory))
            })?,
            FeedMessage::DirectoryChange { delta } => self.send_routes(|| {
                let mut delta: DirectoryDelta = unpack_document(&delta.bytes)?;
                delta.share_names();
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
                self.controls.learn(decode_document(&addresses.bytes)?);
            }
            FeedMessage::Refused { protocol_version, reason } => {
                let text = format!("refused ({reason:?}, protocol version {protocol_version})");
                return Err(ProtocolError::Malformed(text).into());
            }
            FeedMessage::ChargesRecorded { run, sequence } => {
                self.charges.recorded(run, sequence);
                self.hurry_last_report();
            }
            FeedMessage::RunSettled { run, sequence } => {
                self.charges.run_settled(run, sequence, rand::rng().random());
                self.hurry_last_report();
            }
        }
        Ok(())
    }

    async fn carry_out(
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
        // Whoever could ask for one has ended.
        None => std::future::pending().await,
    }
}

/// Reads frames in a task of its own, so that a timer never cuts one in half.
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
    let (result, _) = timeout(WRITE_LIMIT, writer.write_all(frame))
        .await
        .map_err(|_| LinkError::ConnectTimedOut)?;
    result?;
    Ok(())
}
