//! The callers of one service, on one thread.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerkeel_transport::HttpRequest;
use http::{HeaderValue, Method, Uri};
use monoio::time::{sleep, sleep_until, timeout};

use super::arrivals::{Arrival, Arrivals, Resending};
use super::connections::BrokerConnections;
use super::document;
use super::plan::{ClassLoad, ServiceLoad};
use crate::clock;
use crate::error::RehearsalError;
use crate::leaf::{QueryBody, milliseconds};
use crate::record::{CALLER_LOG_PREFIX, CallerOutcome, CallerRecord, RecordWriter};

/// Time after its deadline for which an answer is awaited.
const GRACE: Duration = Duration::from_secs(3);

/// Opens the log of a service's callers.
pub fn open_log(
    folder: &Path,
    service: &str,
) -> Result<RecordWriter<CallerRecord>, RehearsalError> {
    RecordWriter::open(&folder.join(format!("{CALLER_LOG_PREFIX}{service}.jsonl")))
}

/// Sends the queries of a service and waits until each has ended.
///
/// # Panics
/// When the runtime cannot be built or the log cannot be written.
pub fn run_service(
    load: ServiceLoad,
    duration: Duration,
    seed: u64,
    log: RecordWriter<CallerRecord>,
) {
    let running = async move {
        let callers = Rc::new(Callers::new(load, log));
        let start = Instant::now();
        let mut streams = Vec::new();
        for (index, class) in callers.load.classes.iter().enumerate() {
            let arrivals = Arrivals::new(class.clone(), seed ^ ((index as u64 + 1) << 40));
            let stream = callers.clone().send_class(class.clone(), arrivals, start, duration);
            streams.push(monoio::spawn(stream));
        }
        for stream in streams {
            stream.await;
        }
    };
    gingerkeel_transport::block_on(running).expect("a runtime can be built");
}

struct Callers {
    load: ServiceLoad,
    brokers: Vec<BrokerConnections>,
    next_broker: Cell<usize>,
    log: RefCell<RecordWriter<CallerRecord>>,
}

impl Callers {
    fn new(load: ServiceLoad, log: RecordWriter<CallerRecord>) -> Self {
        let brokers = load
            .brokers
            .iter()
            .map(|address| BrokerConnections::new(*address, load.connections))
            .collect();
        Self { load, brokers, next_broker: Cell::new(0), log: RefCell::new(log) }
    }

    async fn send_class(
        self: Rc<Self>,
        class: ClassLoad,
        arrivals: Arrivals,
        start: Instant,
        duration: Duration,
    ) {
        let mut queries = Vec::new();
        for arrival in arrivals.take_while(|arrival| arrival.offset < duration) {
            sleep_until((start + arrival.offset).into()).await;
            let intended = Instant::now().min(start + arrival.offset);
            queries.push(monoio::spawn(self.clone().ask(class.clone(), arrival, intended)));
        }
        for query in queries {
            query.await;
        }
    }

    /// Sends a query, and once more if it is refused and the caller is so minded.
    async fn ask(self: Rc<Self>, class: ClassLoad, arrival: Arrival, intended: Instant) {
        let query = format!("{}-{}-{}", self.load.service, class.class, arrival.number);
        let record = self.submit(&class, arrival, query.clone(), intended).await;
        let refused = record.outcome == CallerOutcome::NotRun;
        let retry_after = Duration::from_millis(record.retry_after_ms.unwrap_or_default());
        self.log.borrow_mut().append(&record);
        if !refused {
            return;
        }
        match arrival.resending {
            Resending::Never => return,
            Resending::WhenTold => sleep(retry_after).await,
            Resending::AtOnce => {}
        }
        let resent = self.submit(&class, arrival, format!("{query}-again"), Instant::now()).await;
        self.log.borrow_mut().append(&resent);
    }

    async fn submit(
        &self,
        class: &ClassLoad,
        arrival: Arrival,
        query: String,
        intended: Instant,
    ) -> CallerRecord {
        let mut record = self.new_record(class, arrival, query, intended);
        let deadline = Duration::from_millis(class.deadline_ms);
        let asking = self.ask_brokers(class, &mut record);
        let ended = timeout(intended.elapsed() + deadline + GRACE, asking).await;
        if ended.is_err() {
            record.outcome = match record.sent {
                Some(_) => CallerOutcome::NeverAnswered,
                None => CallerOutcome::NotSent,
            };
        }
        record.ended = clock::now();
        record
    }

    fn new_record(
        &self,
        class: &ClassLoad,
        arrival: Arrival,
        query: String,
        intended: Instant,
    ) -> CallerRecord {
        CallerRecord {
            query,
            service: self.load.service.clone(),
            class: class.class.clone(),
            priority: class.priority,
            repeatable: arrival.repeatable,
            broker: String::new(),
            intended: clock::now() - clock::microseconds(intended.elapsed()),
            sent: None,
            ended: 0,
            outcome: CallerOutcome::NotSent,
            reason: None,
            retry_after_ms: None,
            snapshot: None,
            shards: None,
            coverage: None,
            charge: None,
            missing: Vec::new(),
            parts: Vec::new(),
        }
    }

    /// Asks the next broker; another one only while no byte was written.
    async fn ask_brokers(&self, class: &ClassLoad, record: &mut CallerRecord) {
        let client_delay = milliseconds(self.load.client_delay_ms);
        for _ in 0..self.brokers.len() {
            let broker = self.next_broker();
            let _permit = broker.permit().await;
            let Ok(mut lease) = broker.lease().await else {
                continue;
            };
            sleep(client_delay).await;
            record.broker = broker.address.to_string();
            record.sent = Some(clock::now());
            match lease.exchange(self.request(class, record)).await {
                Ok(response) => {
                    document::read_into(record, &response);
                    broker.give_back(lease);
                }
                Err(error) => {
                    record.outcome = CallerOutcome::Cut;
                    record.reason = Some(error.to_string());
                }
            }
            sleep(client_delay).await;
            return;
        }
    }

    fn next_broker(&self) -> &BrokerConnections {
        let index = self.next_broker.get();
        self.next_broker.set((index + 1) % self.brokers.len());
        &self.brokers[index]
    }

    fn request(&self, class: &ClassLoad, record: &CallerRecord) -> HttpRequest {
        let body = QueryBody { query: record.query.clone() };
        let body = serde_json::to_vec(&body).expect("the body has string keys only");
        let mut request = HttpRequest::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        let path = format!("/v1/services/{}/query", self.load.service);
        *request.uri_mut() = Uri::try_from(path).expect("names are valid in a path");
        let headers = request.headers_mut();
        let name = |text: &str| HeaderValue::try_from(text).expect("names are valid in a header");
        headers.insert("x-class", name(&class.class));
        headers.insert("x-caller", name(&self.load.caller));
        headers.insert("x-deadline-ms", HeaderValue::from(class.deadline_ms));
        let repeatable = if record.repeatable { "true" } else { "false" };
        headers.insert("x-repeatable", HeaderValue::from_static(repeatable));
        request
    }
}
