//! Connections to peers: one per peer, re-established after each failure.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_domain::consensus::{Envelope, Incarnation, NodeNumber};
use gingerkeel_domain::leaf_warnings::LeafWarning;
use gingerkeel_domain::quota::PeerUsage;
use gingerkeel_protocol::{
    FrameCodec, PeerFrame, PeerRefusal, ProtocolError, ShortText, encode_document,
};
use gingerkeel_settings::ControlSettings;
use local_sync::mpsc::TryRecvError;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::oneshot;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use monoio_codec::FramedRead;
use tracing::{info, warn};

use super::directory::PeerDirectory;
use super::incoming::{refusal_text, send};
use super::usage_outbox::UsageOutbox;
use crate::replication::messages::TaskEvent;

/// Pause between connection attempts.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// Time limit for a connection attempt. Kept short because a powered-off machine sends no refusal,
/// and should be reached soon after it returns.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a handshake message or a write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a probe reply after which a connection is closed: a network partition gives no
/// other sign.
const PROBE_REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of messages queued for one peer. Further ones are dropped, since the consensus
/// core retransmits what is needed.
const QUEUE_LIMIT: usize = 1_024;

/// The connections to all peers.
pub struct Links {
    links: BTreeMap<NodeNumber, Link>,
    /// The port of all peers when node numbers are IPv4 addresses; none when peers are listed.
    common_port: Option<u16>,
    own: NodeNumber,
    own_name: ShortText,
    directory: PeerDirectory,
    events: Tx<TaskEvent>,
}

/// Handle of the task that serves one peer.
struct Link {
    queue: Tx<Queued>,
    queued: Rc<Cell<usize>>,
    usage: Rc<RefCell<UsageOutbox>>,
    /// Whether the connection is established.
    connected: Rc<Cell<bool>>,
}

impl Link {
    /// Queues a message, or drops it if the queue is full.
    fn enqueue(&self, message: Message) {
        let queued = self.queued.get();
        if queued < QUEUE_LIMIT && self.queue.send(Queued::Message(message)).is_ok() {
            self.queued.set(queued + 1);
        }
    }
}

/// A message to one peer.
enum Message {
    /// A consensus message.
    Log(Envelope),
    /// Warnings about leaves.
    Warnings(Rc<[LeafWarning]>),
}

impl Message {
    fn frame(&self) -> Result<PeerFrame, ProtocolError> {
        match self {
            Self::Log(envelope) => {
                encode_document(envelope).map(|document| PeerFrame::Consensus { document })
            }
            Self::Warnings(warnings) => encode_document(&&**warnings)
                .map(|warnings| PeerFrame::LeafWarnings { warnings: warnings.into() }),
        }
    }
}

/// An element of a link's queue.
enum Queued {
    /// A message to send.
    Message(Message),
    /// The usage outbox holds totals to send.
    Usage,
}

/// The next action of a link's task.
enum Action {
    /// Send a message.
    Message(Message),
    /// Send tenants' usage.
    Usage(PeerUsage),
    /// Only check the peer's probe replies.
    Idle,
    /// Stop: the link was dropped.
    End,
}

impl Links {
    pub fn start(
        settings: &ControlSettings,
        directory: &PeerDirectory,
        events: &Tx<TaskEvent>,
    ) -> Self {
        let mut links = Self {
            links: BTreeMap::new(),
            common_port: settings.seeds.as_ref().map(|seeds| seeds.own.port()),
            own: NodeNumber(settings.node_number()),
            own_name: ShortText::new(&settings.name),
            directory: directory.clone(),
            events: events.clone(),
        };
        for peer in settings.other_peers() {
            links.open(NodeNumber(peer.node), peer.address);
        }
        links
    }

    /// Opens and closes links so that exactly these nodes have one; their numbers are their IPv4
    /// addresses. Does nothing when the settings list the peers.
    pub fn keep_only(&mut self, nodes: &BTreeSet<NodeNumber>) {
        let Some(port) = self.common_port else {
            return;
        };
        self.links.retain(|node, _| nodes.contains(node));
        for node in nodes {
            if *node != self.own && !self.links.contains_key(node) {
                let address = SocketAddr::from((Ipv4Addr::from(node.0), port));
                self.open(*node, address);
            }
        }
    }

    fn open(&mut self, node: NodeNumber, address: SocketAddr) {
        let (queue, receiver) = unbounded::channel();
        let queued = Rc::new(Cell::new(0));
        let usage: Rc<RefCell<UsageOutbox>> = Rc::default();
        let connected = Rc::new(Cell::new(false));
        let task = LinkTask {
            node,
            address,
            own_name: self.own_name.clone(),
            queue: receiver,
            queued: queued.clone(),
            usage: usage.clone(),
            connected: connected.clone(),
            directory: self.directory.clone(),
            events: self.events.clone(),
        };
        monoio::spawn(task.run());
        self.links.insert(node, Link { queue, queued, usage, connected });
    }

    /// Whether a connection to this node is established; messages to others are dropped.
    pub fn is_connected(&self, node: NodeNumber) -> bool {
        self.links.get(&node).is_some_and(|link| link.connected.get())
    }

    /// Queues a consensus message for its addressee, or drops it if the queue is full.
    pub fn send(&self, envelope: Envelope) {
        if let Some(link) = self.links.get(&envelope.to.node) {
            link.enqueue(Message::Log(envelope));
        }
    }

    /// Sends tenants' usage to all peers, merged with totals that a peer has not been sent yet.
    pub fn broadcast_usage(&self, usage: &PeerUsage) {
        for link in self.links.values() {
            if link.usage.borrow_mut().merge(usage) {
                // The task of a link may have ended with the process.
                let _ = link.queue.send(Queued::Usage);
            }
        }
    }

    /// Sends warnings about leaves to all peers, except those whose queue is full.
    pub fn broadcast_warnings(&self, warnings: &[LeafWarning]) {
        let warnings: Rc<[LeafWarning]> = warnings.into();
        for link in self.links.values() {
            link.enqueue(Message::Warnings(warnings.clone()));
        }
    }
}

struct LinkTask {
    node: NodeNumber,
    address: SocketAddr,
    own_name: ShortText,
    queue: Rx<Queued>,
    queued: Rc<Cell<usize>>,
    usage: Rc<RefCell<UsageOutbox>>,
    connected: Rc<Cell<bool>>,
    directory: PeerDirectory,
    events: Tx<TaskEvent>,
}

impl LinkTask {
    async fn run(mut self) {
        let mut failure_logged = false;
        loop {
            let began = Instant::now();
            match self.connect().await {
                Ok((reader, writer)) => {
                    failure_logged = false;
                    self.report(TaskEvent::PeerConnected(self.node));
                    let ended = self.transmit(reader, writer).await;
                    self.connected.set(false);
                    if let Err(error) = ended {
                        info!(event = "peer_connection_ended", direction = "out", peer = %self.address, %error);
                    }
                }
                Err(error) => {
                    if is_refusal(&error) {
                        self.report(TaskEvent::PeerRefusing(self.node));
                    }
                    if !failure_logged {
                        warn!(event = "peer_not_reached", peer = %self.address, %error);
                        failure_logged = true;
                    }
                }
            }
            let dropped = self.discard_queue();
            if dropped || self.events.is_closed() {
                return;
            }
            // No pause after a longer connection: the next attempt shows whether the peer's process
            // has ended, too.
            sleep(RECONNECT_PAUSE.saturating_sub(began.elapsed())).await;
        }
    }

    fn report(&self, event: TaskEvent) {
        // The replication task may have ended with the process.
        let _ = self.events.send(event);
    }

    async fn connect(&mut self) -> Result<(Reader, OwnedWriteHalf<TcpStream>), ProtocolError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(self.address));
        let timed_out = |_| ProtocolError::TimedOut("no connection within 0.5 s");
        let stream = connecting.await.map_err(timed_out)??;
        // Without the option messages are only slower.
        let _ = stream.set_nodelay(true);
        let (read_half, mut writer) = stream.into_split();
        let mut reader = FramedRead::new(read_half, ());
        with_io_timeout(send(&mut writer, &self.directory.hello())).await??;
        let mut codec = FrameCodec::<PeerFrame>::default();
        match with_io_timeout(reader.next_with(&mut codec)).await?.transpose()? {
            Some(PeerFrame::Welcome { identity }) => {
                let learned = self.directory.learn(identity);
                learned.map_err(|reason| ProtocolError::Malformed(refusal_text(reason).into()))?;
                info!(event = "peer_connected", peer = %self.address, node = identity.node);
                Ok((reader, writer))
            }
            Some(PeerFrame::Refused { reason }) => Err(refused(reason)),
            Some(PeerFrame::Superseded { incarnation }) => {
                self.report(TaskEvent::Superseded(Incarnation(incarnation)));
                Err(refused(PeerRefusal::EarlierIncarnation))
            }
            _ => Err(ProtocolError::Malformed("no reply to the handshake".into())),
        }
    }

    async fn transmit(
        &mut self,
        reader: Reader,
        mut writer: OwnedWriteHalf<TcpStream>,
    ) -> Result<(), ProtocolError> {
        if self.discard_queue() {
            return Ok(());
        }
        self.connected.set(true);
        let last_reply = Rc::new(Cell::new(Instant::now()));
        let (ended, mut reader_ended) = oneshot::channel::<()>();
        let replies = read_probe_replies(reader, last_reply.clone(), self.directory.clone());
        monoio::spawn(async move {
            replies.await;
            drop(ended);
        });
        let mut last_probe = Instant::now();
        loop {
            let action = monoio::select! {
                action = self.next_action() => action,
                _ = &mut reader_ended => return Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
            };
            match action {
                Action::Message(message) => {
                    self.queued.set(self.queued.get().saturating_sub(1));
                    with_io_timeout(send(&mut writer, &message.frame()?)).await??;
                }
                Action::Usage(usage) => {
                    let usage = encode_document(&usage)?.into();
                    let control = self.own_name.clone();
                    with_io_timeout(send(&mut writer, &PeerFrame::Usage { control, usage }))
                        .await??;
                }
                Action::Idle => {}
                Action::End => return Ok(()),
            }
            if last_reply.get().elapsed() > PROBE_REPLY_TIMEOUT {
                return Err(ProtocolError::TimedOut("no probe reply within 2 s"));
            }
            if last_probe.elapsed() >= PROBE_INTERVAL {
                last_probe = Instant::now();
                with_io_timeout(send(&mut writer, &PeerFrame::Probe)).await??;
            }
        }
    }

    /// Queued messages take precedence; usage is sent once the queue is empty.
    async fn next_action(&mut self) -> Action {
        loop {
            match self.queue.try_recv() {
                Ok(Queued::Message(message)) => return Action::Message(message),
                Ok(Queued::Usage) => continue,
                Err(TryRecvError::Disconnected) => return Action::End,
                Err(TryRecvError::Empty) => {}
            }
            if let Some(usage) = self.usage.borrow_mut().take() {
                return Action::Usage(usage);
            }
            match timeout(PROBE_INTERVAL, self.queue.recv()).await {
                Ok(Some(Queued::Message(message))) => return Action::Message(message),
                Ok(Some(Queued::Usage)) => {}
                Ok(None) => return Action::End,
                Err(_) => return Action::Idle,
            }
        }
    }

    /// Discards messages queued for a connection that has ended; they would be outdated on the next
    /// one. True if the link itself was dropped.
    fn discard_queue(&mut self) -> bool {
        let ended = loop {
            match self.queue.try_recv() {
                Ok(_) => {}
                Err(error) => break error == TryRecvError::Disconnected,
            }
        };
        self.queued.set(0);
        ended
    }
}

type Reader = FramedRead<OwnedReadHalf<TcpStream>, ()>;

/// Records the time of each probe reply until the connection ends.
async fn read_probe_replies(
    mut reader: Reader,
    last_reply: Rc<Cell<Instant>>,
    directory: PeerDirectory,
) {
    let mut codec = FrameCodec::<PeerFrame>::default();
    while let Some(Ok(PeerFrame::ProbeReply { identity })) = reader.next_with(&mut codec).await {
        if directory.learn(identity).is_err() {
            break;
        }
        last_reply.set(Instant::now());
    }
}

fn refused(reason: PeerRefusal) -> ProtocolError {
    ProtocolError::Malformed(format!("refused: {}", refusal_text(reason)))
}

/// Whether the peer's address refused the connection, so that no process listens there.
fn is_refusal(error: &ProtocolError) -> bool {
    matches!(error, ProtocolError::Socket(cause) if cause.kind() == ErrorKind::ConnectionRefused)
}

async fn with_io_timeout<F: Future>(future: F) -> Result<F::Output, ProtocolError> {
    let limited = timeout(IO_TIMEOUT, future).await;
    limited
        .map_err(|_| ProtocolError::Malformed("handshake or write not finished within 2 s".into()))
}
