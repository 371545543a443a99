//! Reading of the outside list of leaves, by the leader alone.
//!
//! The list accepts few calls and each has its price, so one process reads it for all; what
//! changed goes through the replicated log.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gingerkeel_domain::consensus::RoleName;
use gingerkeel_domain::directory::DirectoryReading;
use gingerkeel_settings::DirectorySettings;
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, TransportError};
use http::{HeaderValue, StatusCode, Uri, header};
use local_sync::mpsc::unbounded::{Rx, Tx};
use monoio::time::{sleep, timeout};
use quick_error::quick_error;
use tracing::{info, warn};

use crate::cluster_task::ClusterMessage;
use crate::ports::{DirectoryInterface, InterfaceError};
use crate::replication_client::ReplicationClient;

/// Time between two looks at whether this process has begun to lead: until the new leader has read the
/// list, brokers work by what the former one read.
const ROLE_CHECK: Duration = Duration::from_millis(100);
/// Time between two readings where one is hurried: each call has its price, and configurations may come in
/// quick succession.
const LEAST_WAIT: Duration = Duration::from_millis(300);
/// Time that the directory has to answer one call.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Most pages of one list.
const PAGE_LIMIT: usize = 10_000;

quick_error! {
    /// Why the list was not read.
    #[derive(Debug)]
    enum PollError {
        /// The connection failed.
        Transport(error: TransportError) {
            from()
            display("{error}")
        }
        /// A page was not understood.
        Interface(error: InterfaceError) {
            from()
            display("{error}")
        }
        /// The directory refused the call.
        Status(status: StatusCode) {
            display("status {status}: raise the interval between polls if it is 429")
        }
        /// No answer came in time.
        Silent {
            display("no answer in time: check that the directory is reachable")
        }
        /// The next page cannot be asked for.
        Target(target: String) {
            display("`{target}` is no path: check the directory")
        }
        /// The pages do not end.
        TooLong {
            display("the list does not end: check the directory")
        }
    }
}

/// The list is to be read at once: something is known that it must tell of.
pub struct ReadAtOnce;

/// When the list is read next.
struct Turns {
    interval: Duration,
    leads: bool,
    /// Whether it is to be read before the interval is over.
    hurried: bool,
    last: Option<Instant>,
}

impl Turns {
    fn new(interval: Duration) -> Self {
        Self { interval, leads: false, hurried: false, last: None }
    }

    /// The list is to be read before the interval is over.
    fn hurry(&mut self) {
        self.hurried = true;
    }

    /// Whether it is time to read, in a process that leads or does not: it has just begun to lead, was
    /// hurried, or the interval is over.
    fn is_due(&mut self, now: Instant, leads: bool) -> bool {
        let led = std::mem::replace(&mut self.leads, leads);
        let began = leads && !led;
        self.hurried |= began;
        let wait = if self.hurried { self.interval.min(LEAST_WAIT) } else { self.interval };
        let over = self.last.is_none_or(|last| now.duration_since(last) >= wait);
        let due = leads && (began || over);
        if due {
            self.hurried = false;
            self.last = Some(now);
        }
        due
    }
}

/// Reads the list for ever, while this process leads.
pub async fn run(
    settings: DirectorySettings,
    interface: Rc<dyn DirectoryInterface>,
    replication: ReplicationClient,
    cluster: Tx<ClusterMessage>,
    mut requests: Rx<ReadAtOnce>,
) {
    let interval = Duration::from_millis(settings.poll_interval_ms.into());
    let mut turns = Turns::new(interval);
    let mut reader = DirectoryReader { address: settings.address, interface, connection: None };
    let mut failing = false;
    loop {
        sleep(ROLE_CHECK.min(interval)).await;
        let leads = replication.role().await == Some(RoleName::Leader);
        while requests.try_recv().is_ok() {
            turns.hurry();
        }
        if turns.is_due(Instant::now(), leads) {
            match reader.read().await {
                Ok(listed) => {
                    if std::mem::take(&mut failing) {
                        info!(event = "directory_regained", leaves = listed.leaves().len());
                    }
                    // The cluster task lives as long as the process.
                    let _ = cluster.send(ClusterMessage::DirectoryRead(listed));
                }
                Err(error) => {
                    reader.connection = None;
                    if !std::mem::replace(&mut failing, true) {
                        warn!(event = "directory_lost", address = %reader.address, %error);
                    }
                }
            }
        } else if !leads {
            reader.connection = None;
        }
    }
}

struct DirectoryReader {
    address: SocketAddr,
    interface: Rc<dyn DirectoryInterface>,
    connection: Option<ClientConnection>,
}

impl DirectoryReader {
    async fn read(&mut self) -> Result<DirectoryReading, PollError> {
        let mut reading = DirectoryReading::default();
        let mut page: Option<String> = None;
        for _ in 0..PAGE_LIMIT {
            let body = timeout(CALL_LIMIT, self.call(page.as_deref()));
            let body = body.await.map_err(|_| PollError::Silent)??;
            let read = self.interface.understand(&body)?;
            read.leaves.into_iter().for_each(|leaf| reading.add(leaf));
            read.left_out.into_iter().for_each(|entry| reading.reject(entry));
            match read.next {
                Some(next) => page = Some(next),
                None => return Ok(reading),
            }
        }
        Err(PollError::TooLong)
    }

    async fn call(&mut self, page: Option<&str>) -> Result<Bytes, PollError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address, Limits::default()).await?,
        };
        let target = self.interface.request_target(page);
        let mut request = HttpRequest::new(Bytes::new());
        let uri: Result<Uri, _> = target.parse();
        *request.uri_mut() = uri.map_err(|_| PollError::Target(target))?;
        let host = HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let response = connection.exchange(request).await?;
        if response.status() != StatusCode::OK {
            return Err(PollError::Status(response.status()));
        }
        let closes = response.headers().get(header::CONNECTION).is_some_and(|value| {
            value.to_str().is_ok_and(|text| text.eq_ignore_ascii_case("close"))
        });
        if !closes {
            self.connection = Some(connection);
        }
        Ok(response.into_body())
    }
}

#[cfg(test)]
mod tests;
