//! Connects to a control process: to the nearest one, or else to the first that accepts.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gingerkeel_domain::feed::{Acceptance, BackOff, NearestControl};
use gingerkeel_transport::Clock;
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};
use quick_error::quick_error;
use tracing::warn;

use crate::known_controls::KnownControls;

/// Minimum pause before another control process is tried in parallel.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Connect timeout; a host without power does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why there is no connection to a control process.
    #[derive(Debug)]
    enum DialError {
        /// The peer did not answer in time.
        TimedOut {
            display("no connection in time: check that the control process runs and is reachable")
        }
        /// The peer or the network refused the connection.
        Socket(error: io::Error) {
            from()
            display("socket error ({error}): check that the control process runs and is reachable")
        }
    }
}

/// Number of control processes dialled in parallel: enough that one of them is near.
const MAX_PARALLEL_DIALS: usize = 5;
/// Timeout of the search for the nearest control process.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection to a farther control process is held while a nearer one that refused may
/// be starting.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Pause before a control process that refused is dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(50);

/// An established connection and the address of the control process.
pub type Connected = (SocketAddr, TcpStream);

/// Result of dialling a control process, and how long the connect took.
struct DialResult {
    control: SocketAddr,
    took: Duration,
    connected: Result<TcpStream, DialError>,
}

/// Connects to the nearest control process that has not failed lately, or to any if all have.
pub async fn dial_any(
    controls: &mut KnownControls,
    clock: Clock,
    back_off: &mut BackOff,
) -> Connected {
    loop {
        let mut usable = controls.usable(clock.now());
        usable.truncate(MAX_PARALLEL_DIALS);
        if usable.is_empty() {
            return dial_in_turn(|| controls.next_in_turn(clock.now()), back_off).await;
        }
        if let Some(connected) = dial_nearest(&usable).await {
            return connected;
        }
        warn!(event = "controls_not_reached", controls = ?usable);
        controls.not_reached(clock.now(), &usable);
    }
}

/// Connects to the nearest of these control processes that accepts; none if none accepts in time.
async fn dial_nearest(controls: &[SocketAddr]) -> Option<Connected> {
    let mut dials = FuturesUnordered::new();
    dials.extend(controls.iter().map(|control| dial_after(*control, Duration::ZERO)));
    let mut nearest = NearestControl::default();
    let mut fallback: Option<Connected> = None;
    let mut until = Instant::now() + SEARCH_TIMEOUT;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let Ok(Some(answer)) = timeout(left, dials.next()).await else {
            return fallback;
        };
        match answer.connected {
            Ok(stream) if nearest.accepted(answer.took) == Acceptance::Take => {
                return Some((answer.control, stream));
            }
            Ok(stream) if fallback.is_none() => {
                fallback = Some((answer.control, stream));
                until = until.min(Instant::now() + HOLD_TIME);
            }
            Err(DialError::Socket(_)) => {
                nearest.refused(answer.took);
                dials.push(dial_after(answer.control, REDIAL_PAUSE));
            }
            Ok(_) | Err(DialError::TimedOut) => {}
        }
    }
}

/// Dials a control process after a pause.
async fn dial_after(control: SocketAddr, pause: Duration) -> DialResult {
    sleep(pause).await;
    let began = Instant::now();
    let (control, connected) = connect(control).await;
    DialResult { control, took: began.elapsed(), connected }
}

/// Connects to the first control process that accepts. Each pause without a connection starts an
/// attempt at the next one in parallel, so that a host that is down or partitioned does not block
/// the others.
async fn dial_in_turn(
    mut next: impl FnMut() -> Option<SocketAddr>,
    back_off: &mut BackOff,
) -> Connected {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.extend(next().map(connect));
        let pause = back_off.next_pause(&mut rand::rng()).max(MIN_PAUSE);
        // On a timeout the next attempt starts.
        if let Ok(connected) = timeout(pause, first_connected(&mut attempts)).await {
            return connected;
        }
    }
}

/// Connects within [`CONNECT_TIMEOUT`].
async fn connect(control: SocketAddr) -> (SocketAddr, Result<TcpStream, DialError>) {
    let connected = match timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(control)).await {
        Ok(connected) => connected.map_err(DialError::from),
        Err(_) => Err(DialError::TimedOut),
    };
    (control, connected)
}

/// The first of these attempts that succeeds; never completes if all fail.
async fn first_connected<F>(attempts: &mut FuturesUnordered<F>) -> Connected
where
    F: Future<Output = (SocketAddr, Result<TcpStream, DialError>)>,
{
    while let Some((control, connected)) = attempts.next().await {
        match connected {
            Ok(stream) => return (control, stream),
            Err(error) => warn!(event = "control_link_lost", %control, %error),
        }
    }
    std::future::pending().await
}
