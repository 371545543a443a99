//! Polling of leaves' health endpoints. Results are delayed and may be wrong, so they are only a
//! hint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::cluster::LeafHealth;
use gingerkeel_domain::identifiers::LeafId;
use gingerkeel_transport::{ClientConnection, HttpRequest, HttpResponse, Limits, TransportError};
use http::Uri;
use local_sync::mpsc::unbounded::{self, Rx, Tx};
use local_sync::semaphore::Semaphore;
use monoio::time::{sleep, timeout};
use rand::Rng;
use serde::Deserialize;

use crate::cluster_task::ClusterMessage;

/// Mean interval between two polls of a leaf.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for a leaf's answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent polls.
const CONCURRENT_POLLS: usize = 64;
/// Path of a leaf's health endpoint.
const HEALTH_PATH: &str = "/health";

/// A leaf to poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolledLeaf {
    /// Configured number of the leaf.
    pub leaf: LeafId,
    /// Address of its health endpoint.
    pub address: SocketAddr,
}

/// The set of leaves that this process polls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollPlan {
    /// Leaves to poll once per interval.
    pub leaves: Vec<PolledLeaf>,
}

/// Body of a health response; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct HealthReport {
    healthy: bool,
    #[serde(default)]
    draining: bool,
}

/// Creates the channel that carries plans to the polling task.
pub fn channel() -> (Tx<PollPlan>, Rx<PollPlan>) {
    unbounded::channel()
}

/// Polls the leaves of the newest plan until the process ends.
pub async fn run(mut plans: Rx<PollPlan>, cluster: Tx<ClusterMessage>) {
    let permits = Rc::new(Semaphore::new(CONCURRENT_POLLS));
    let mut plan = PollPlan::default();
    loop {
        while let Ok(newer) = plans.try_recv() {
            plan = newer;
        }
        for leaf in &plan.leaves {
            monoio::spawn(poll_with_jitter(*leaf, permits.clone(), cluster.clone()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls after a random delay within the interval, to spread the polls evenly.
async fn poll_with_jitter(polled: PolledLeaf, permits: Rc<Semaphore>, cluster: Tx<ClusterMessage>) {
    let share: f64 = rand::rng().random();
    sleep(POLL_INTERVAL.mul_f64(share)).await;
    let Ok(_permit) = permits.acquire().await else {
        return;
    };
    let health = match timeout(POLL_TIMEOUT, poll(polled.address)).await {
        Ok(Ok(response)) => parse_health(&response),
        _ => LeafHealth::Unreachable,
    };
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::LeafPolled { leaf: polled.leaf, health });
}

async fn poll(address: SocketAddr) -> Result<HttpResponse, TransportError> {
    let mut connection = ClientConnection::connect(address, Limits::default()).await?;
    let mut request = HttpRequest::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(HEALTH_PATH);
    connection.exchange(request).await
}

fn parse_health(response: &HttpResponse) -> LeafHealth {
    match serde_json::from_slice::<HealthReport>(response.body()) {
        Ok(HealthReport { draining: true, .. }) => LeafHealth::Leaving,
        Ok(HealthReport { healthy: true, .. }) => LeafHealth::Serving,
        _ => LeafHealth::Unhealthy,
    }
}
