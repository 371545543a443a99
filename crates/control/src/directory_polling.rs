//! Polling of the external directory of leaves, by the leader only.
//!
//! The directory accepts few calls and each is costly, so one process polls for all; changes go
//! through the replicated log.

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

/// Interval between checks of this process's role. Until a new leader has read the list, brokers
/// use the list that the former leader read.
const ROLE_CHECK: Duration = Duration::from_millis(100);
/// Minimum interval between two readings, also for refresh requests: each call is costly, and
/// configurations may arrive in quick succession.
const MIN_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for one call to the directory.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of all pages of one list, in bytes: several times that of the largest planned
/// cluster.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for reading all pages of one list.
const LIST_TIMEOUT: Duration = Duration::from_secs(60);

quick_error! {
    /// Why a reading of the list failed.
    #[derive(Debug)]
    enum PollError {
        /// The connection failed.
        Transport(error: TransportError) {
            from()
            display("{error}")
        }
        /// A page is malformed.
        Interface(error: InterfaceError) {
            from()
            display("{error}")
        }
        /// The directory answered with another status than 200.
        Status(status: StatusCode) {
            display("status {status}: raise the interval between polls if it is 429")
        }
        /// The call timed out.
        TimedOut {
            display("no answer in time: check that the directory is reachable")
        }
        /// The token of the next page gives an invalid request target.
        InvalidTarget(target: String) {
            display("`{target}` is not a valid path: check the directory")
        }
        /// The list has more pages than its limit of size or time allows.
        Endless {
            display("the list does not end: check the directory")
        }
    }
}

/// Request to read the list before the polling interval is over, as when a route names a service
/// without listed leaves.
pub struct RefreshRequest;

/// Schedule of the readings.
struct PollSchedule {
    interval: Duration,
    is_leader: bool,
    /// Whether to read before the interval is over.
    refresh_requested: bool,
    last: Option<Instant>,
}

impl PollSchedule {
    fn new(interval: Duration) -> Self {
        Self { interval, is_leader: false, refresh_requested: false, last: None }
    }

    /// Requests a reading before the interval is over.
    fn request_refresh(&mut self) {
        self.refresh_requested = true;
    }

    /// Whether to read now. A leader reads when it has just been elected, when the interval is
    /// over, or on a refresh request; other processes never read.
    fn is_due(&mut self, now: Instant, is_leader: bool) -> bool {
        let was_leader = std::mem::replace(&mut self.is_leader, is_leader);
        let elected = is_leader && !was_leader;
        self.refresh_requested |= elected;
        let wait =
            if self.refresh_requested { self.interval.min(MIN_INTERVAL) } else { self.interval };
        let elapsed = self.last.is_none_or(|last| now.duration_since(last) >= wait);
        let due = is_leader && (elected || elapsed);
        if due {
            self.refresh_requested = false;
            self.last = Some(now);
        }
        due
    }
}

/// Reads the list on schedule while this process is the leader; runs until the process ends.
pub async fn run(
    settings: DirectorySettings,
    interface: Rc<dyn DirectoryInterface>,
    replication: ReplicationClient,
    cluster: Tx<ClusterMessage>,
    mut requests: Rx<RefreshRequest>,
) {
    let interval = Duration::from_millis(settings.poll_interval_ms.into());
    let mut schedule = PollSchedule::new(interval);
    let mut reader = DirectoryReader { address: settings.address, interface, connection: None };
    let mut failing = false;
    loop {
        sleep(ROLE_CHECK.min(interval)).await;
        let is_leader = replication.role().await == Some(RoleName::Leader);
        while requests.try_recv().is_ok() {
            schedule.request_refresh();
        }
        if schedule.is_due(Instant::now(), is_leader) {
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
        } else if !is_leader {
            reader.connection = None;
        }
    }
}

/// What is left of the limits of one reading.
struct ReadingAllowance {
    bytes: usize,
    ends_at: Instant,
}

impl ReadingAllowance {
    fn new(now: Instant) -> Self {
        Self { bytes: MAX_LIST_BYTES, ends_at: now + LIST_TIMEOUT }
    }

    /// Counts a page of `length` bytes that has been read by `now`.
    fn take_page(&mut self, now: Instant, length: usize) -> Result<(), PollError> {
        let left = self.bytes.checked_sub(length).filter(|_| now < self.ends_at);
        self.bytes = left.ok_or(PollError::Endless)?;
        Ok(())
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
        let mut allowance = ReadingAllowance::new(Instant::now());
        loop {
            let body = timeout(CALL_TIMEOUT, self.call(page.as_deref()));
            let body = body.await.map_err(|_| PollError::TimedOut)??;
            allowance.take_page(Instant::now(), body.len())?;
            let read = self.interface.parse_page(&body)?;
            read.leaves.into_iter().for_each(|leaf| reading.add(leaf));
            read.left_out.into_iter().for_each(|entry| reading.reject(entry));
            match read.next {
                Some(next) => page = Some(next),
                None => return Ok(reading),
            }
        }
    }

    async fn call(&mut self, page: Option<&str>) -> Result<Bytes, PollError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address, Limits::default()).await?,
        };
        let target = self.interface.request_target(page);
        let mut request = HttpRequest::new(Bytes::new());
        let uri: Result<Uri, _> = target.parse();
        *request.uri_mut() = uri.map_err(|_| PollError::InvalidTarget(target))?;
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
