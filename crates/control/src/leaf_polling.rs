//! Polling of leaves' health endpoints: late and sometimes untrue, so only a hint.

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

/// Time from one poll of a leaf to the next.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a leaf has to answer.
const POLL_LIMIT: Duration = Duration::from_secs(1);
/// Polls under way at the same time.
const CONCURRENT_POLLS: usize = 64;
/// Path of the health endpoint.
const HEALTH_PATH: &str = "/health";

/// A leaf to poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolledLeaf {
    /// The leaf.
    pub leaf: LeafId,
    /// Its address.
    pub address: SocketAddr,
}

/// The leaves that this process polls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollPlan {
    /// The leaves.
    pub leaves: Vec<PolledLeaf>,
}

/// What a leaf says of itself; other fields are left out.
#[derive(Debug, Deserialize)]
struct HealthReport {
    healthy: bool,
    #[serde(default)]
    draining: bool,
}

/// The channel to the polling task and the task's end of it.
pub fn channel() -> (Tx<PollPlan>, Rx<PollPlan>) {
    unbounded::channel()
}

/// Polls the leaves of the newest plan for ever.
pub async fn run(mut plans: Rx<PollPlan>, cluster: Tx<ClusterMessage>) {
    let permits = Rc::new(Semaphore::new(CONCURRENT_POLLS));
    let mut plan = PollPlan::default();
    loop {
        while let Ok(newer) = plans.try_recv() {
            plan = newer;
        }
        for leaf in &plan.leaves {
            monoio::spawn(poll_later(*leaf, permits.clone(), cluster.clone()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls at a random moment of the interval, so that polls spread evenly.
async fn poll_later(polled: PolledLeaf, permits: Rc<Semaphore>, cluster: Tx<ClusterMessage>) {
    let share: f64 = rand::rng().random();
    sleep(POLL_INTERVAL.mul_f64(share)).await;
    let Ok(_permit) = permits.acquire().await else {
        return;
    };
    let health = match timeout(POLL_LIMIT, poll(polled.address)).await {
        Ok(Ok(response)) => understand(&response),
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

fn understand(response: &HttpResponse) -> LeafHealth {
    match serde_json::from_slice::<HealthReport>(response.body()) {
        Ok(HealthReport { draining: true, .. }) => LeafHealth::Leaving,
        Ok(HealthReport { healthy: true, .. }) => LeafHealth::Serving,
        _ => LeafHealth::Unhealthy,
    }
}
