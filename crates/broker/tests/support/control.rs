//! A scripted control process that serves a catalog, and the catalogs of the tests.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use gingerkeel_domain::admission::ADMIT_ALL;
use gingerkeel_domain::catalog::{
    AnswerPolicy, CallerAccount, Catalog, Change, ClassPolicy, Leaf, LeafState, Placement,
};
use gingerkeel_domain::feed::ChargeTotals;
use gingerkeel_domain::identifiers::{
    CallerName, ClassName, IndexVersion, LeafId, RegionName, ServiceName, ShardId, ZoneName,
};
use gingerkeel_protocol::{
    Document, FeedMessage, FrameCodec, ShortText, SubscriberMessage, decode_document,
    encode_document, encode_frame,
};
use monoio_codec::{Decoded, Decoder};

/// Default lease duration, longer than any test.
const LEASE_MILLISECONDS: u32 = 600_000;

/// Behaviour of a scripted control process, beyond serving a catalog and leases.
#[derive(Debug, Clone)]
pub struct ControlScript {
    /// Whether reports of charges are acknowledged.
    pub receipts: bool,
    /// Priority of the lowest class that brokers admit.
    pub lowest_admitted: u8,
    /// Lease duration.
    pub lease_milliseconds: u32,
    /// Whether leases are renewed after the first one.
    pub renews: bool,
    /// Whether the process belongs to a group: without one it accepts links, and sends neither a
    /// catalog nor a lease. The test may change it.
    pub belongs_to_group: Arc<AtomicBool>,
    /// Evacuated zones of the catalog.
    pub evacuated: Vec<&'static str>,
    /// Changes applied to the catalog before the start.
    pub changes: Vec<Change>,
    /// Changes sent later, by the number of the lease that they precede.
    pub later_changes: BTreeMap<u64, Vec<Change>>,
    /// Further messages to brokers.
    pub feed_messages: Vec<FeedMessage>,
    /// Number of the lease that `feed_messages` precede, at one lease a second; 0 sends them on
    /// subscription.
    pub feed_messages_lease: u64,
    /// Whether a link is closed on the first usage report.
    pub closes_on_usage: bool,
    /// Messages sent later, by the number of the lease that they precede.
    pub later_messages: BTreeMap<u64, Vec<FeedMessage>>,
    /// Answer to a request for a trial; none sends no answer.
    pub grants_trials: Option<bool>,
    /// Leaf of the queries of a broker that serves routes, too; by default its address is closed.
    pub query_leaf: Option<SocketAddr>,
}

impl Default for ControlScript {
    fn default() -> Self {
        Self {
            receipts: true,
            lowest_admitted: ADMIT_ALL,
            lease_milliseconds: LEASE_MILLISECONDS,
            renews: true,
            belongs_to_group: Arc::new(AtomicBool::new(true)),
            evacuated: Vec::new(),
            changes: Vec::new(),
            later_changes: BTreeMap::new(),
            feed_messages: Vec::new(),
            feed_messages_lease: 0,
            closes_on_usage: false,
            later_messages: BTreeMap::new(),
            grants_trials: None,
            query_leaf: None,
        }
    }
}

/// A scripted control process; its threads end with the test.
pub struct ScriptedControl {
    /// Address of the feed.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<SubscriberMessage>>>,
}

impl ScriptedControl {
    /// Serves a catalog and leases to every broker that subscribes, and acknowledges charges.
    pub fn serve(catalog: &Catalog) -> Self {
        Self::serve_with(catalog, ControlScript::default())
    }

    /// Serves a catalog and leases, and otherwise follows a script.
    pub fn serve_with(catalog: &Catalog, script: ControlScript) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let catalog = catalog.clone();
        let received: Arc<Mutex<Vec<SubscriberMessage>>> = Arc::default();
        let journal = received.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (catalog, journal) = (catalog.clone(), journal.clone());
                let script = script.clone();
                thread::spawn(move || feed(stream, &catalog, &script, &journal));
            }
        });
        Self { address, received }
    }

    /// Totals of charges reported so far.
    pub fn charges(&self) -> ChargeTotals {
        let mut totals = ChargeTotals::new();
        for message in self.received() {
            if let SubscriberMessage::Charges { counters, .. } = message {
                let counters: ChargeTotals =
                    decode_document(&counters.bytes).expect("counters are a document");
                totals.extend(counters);
            }
        }
        totals
    }

    /// Messages received from brokers so far.
    pub fn received(&self) -> Vec<SubscriberMessage> {
        self.received.lock().expect("no thread panicked").clone()
    }
}

/// Answers a broker's messages until the broker closes the connection.
fn feed(
    mut stream: TcpStream,
    catalog: &Catalog,
    script: &ControlScript,
    journal: &Mutex<Vec<SubscriberMessage>>,
) -> Option<()> {
    let mut catalog = catalog.clone();
    let mut codec = FrameCodec::<SubscriberMessage>::default();
    let mut received = BytesMut::new();
    let mut buffer = [0; 1024];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        received.extend_from_slice(&buffer[..count]);
        while let Ok(Decoded::Some(message)) = codec.decode(&mut received) {
            journal.lock().expect("no thread panicked").push(message.clone());
            if script.closes_on_usage && matches!(message, SubscriberMessage::Usage { .. }) {
                return None;
            }
            for reply in replies(&mut catalog, script, &message) {
                let frame = encode_frame(&reply).expect("a small frame");
                stream.write_all(&frame).ok()?;
            }
        }
    }
}

fn replies(
    catalog: &mut Catalog,
    script: &ControlScript,
    message: &SubscriberMessage,
) -> Vec<FeedMessage> {
    match message {
        SubscriberMessage::Charges { sequence, run, .. } if script.receipts => {
            vec![FeedMessage::ChargesRecorded { run: *run, sequence: *sequence }]
        }
        SubscriberMessage::AskTrial { ticket, .. } => {
            let answer = |granted| FeedMessage::Trial { ticket: *ticket, granted };
            script.grants_trials.map(answer).into_iter().collect()
        }
        SubscriberMessage::Subscribe { .. } if !script.belongs_to_group.load(Ordering::Relaxed) => {
            messages_with(script, 0)
        }
        SubscriberMessage::Renew { .. } if !script.belongs_to_group.load(Ordering::Relaxed) => {
            Vec::new()
        }
        SubscriberMessage::Subscribe { .. } => {
            let bytes = encode_document(catalog).expect("a catalog is a document");
            let service = ShortText::new("tickets");
            let mut messages = vec![
                FeedMessage::FullCatalog { catalog: Document::from(bytes) },
                FeedMessage::Threshold { service, lowest_admitted: script.lowest_admitted },
            ];
            messages.extend(messages_with(script, 0));
            messages
        }
        SubscriberMessage::Renew { ticket, .. } => {
            let ticket = *ticket;
            let duration_milliseconds = script.lease_milliseconds;
            if ticket > 1 && !script.renews {
                return Vec::new();
            }
            let mut messages = messages_with(script, ticket);
            for change in script.later_changes.get(&ticket).into_iter().flatten() {
                let revision = catalog.apply(change).expect("the change is valid").0;
                let change = encode_document(change).expect("a change is a document").into();
                messages.push(FeedMessage::Change { revision, change });
            }
            let revision = catalog.revision().0;
            messages.push(FeedMessage::Lease { ticket, revision, duration_milliseconds });
            messages
        }
        _ => Vec::new(),
    }
}

fn messages_with(script: &ControlScript, lease: u64) -> Vec<FeedMessage> {
    let mut feed_messages = script.later_messages.get(&lease).cloned().unwrap_or_default();
    if script.feed_messages_lease == lease {
        feed_messages.extend(script.feed_messages.clone());
    }
    feed_messages
}

/// A catalog with service `tickets`; the leaves `shards[s]` hold shard `s`. Its classes are
/// `urgent`, which answers partially after 300 ms, and `whole`, which waits for all shards.
pub fn catalog(shards: &[&[SocketAddr]]) -> Catalog {
    let mut catalog = Catalog::default();
    let service = ServiceName::new("tickets");
    apply(&mut catalog, Change::DefineService { service: service.clone(), concurrency: 8 });
    let partial = AnswerPolicy::Partial { soft_deadline: Duration::from_millis(300) };
    for policy in [class("urgent", 0, 8, partial), class("whole", 1, 2, AnswerPolicy::Full)] {
        apply(&mut catalog, Change::DefineClass { service: service.clone(), policy });
    }
    let account = CallerAccount { budget_per_second: 1_000_000, burst: 1_000_000 };
    apply(&mut catalog, Change::DefineCaller { caller: CallerName::new("desk"), account });
    let account = CallerAccount { budget_per_second: 0, burst: 8 };
    apply(&mut catalog, Change::DefineCaller { caller: CallerName::new("poor"), account });
    let shard_count = u32::try_from(shards.len()).expect("few shards");
    apply(&mut catalog, Change::Repartition { service: service.clone(), shards: shard_count });
    let mut next = 0;
    for (shard, replicas) in (0..).map(ShardId).zip(shards) {
        let mut leaves = Vec::new();
        for address in *replicas {
            leaves.push(LeafId(next));
            apply(&mut catalog, Change::AddLeaf(leaf(next, *address)));
            next += 1;
        }
        apply(&mut catalog, Change::AssignShard { service: service.clone(), shard, leaves });
    }
    apply(&mut catalog, Change::PublishVersion { service, version: IndexVersion(3) });
    catalog
}

/// Applies a valid change.
pub fn apply(catalog: &mut Catalog, change: Change) {
    catalog.apply(&change).expect("the change is valid");
}

fn class(name: &str, priority: u8, price: u64, answer_policy: AnswerPolicy) -> ClassPolicy {
    ClassPolicy {
        name: ClassName::new(name),
        priority,
        queue_limit: 16,
        price,
        answer_policy,
        default_deadline: Duration::from_secs(5),
    }
}

fn leaf(id: u32, address: SocketAddr) -> Leaf {
    Leaf {
        id: LeafId(id),
        address,
        placement: Placement { region: RegionName::new("south"), zone: ZoneName::new("a") },
        slots: 8,
        connection_limit: 64,
        state: LeafState::Active,
    }
}
