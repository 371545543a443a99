//! Table of requests that brokers refuse because they crash leaves.

use gingerkeel_domain::cluster::{ClusterState, RefusedRequest};
use gingerkeel_domain::crash_suspects::RequestDigest;
use gingerkeel_statement::StatementReply;

use super::table;

/// One row per refused request, with the number of trials granted and the time in ms until the next
/// trial.
pub fn refused_requests(state: &ClusterState) -> StatementReply {
    let columns = ["request", "route", "leaves ended", "trials", "next trial in ms"];
    let rows = state.refused_requests().all().map(|(digest, refused)| row(state, digest, refused));
    table(&columns, rows.collect())
}

fn row(state: &ClusterState, digest: RequestDigest, refused: &RefusedRequest) -> Vec<String> {
    let left = refused.next_trial.map(|due| due.since(state.now()).as_millis().to_string());
    vec![
        digest.to_string(),
        refused.route.clone(),
        refused.leaves.to_string(),
        refused.trials.to_string(),
        left.unwrap_or_else(|| "none".to_owned()),
    ]
}
