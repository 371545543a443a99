//! A broker's link to control without the rest of the broker.
//!
//! Scale runs put many of these into one process: each holds the catalog as a broker does and
//! speaks the feed's protocol through the very code that brokers run.

use std::sync::Arc;

use gingerkeel_domain::identifiers::{BrokerRun, Revision};
use gingerkeel_settings::BrokerSettings;
use rand::Rng;

use crate::clock::Clock;
use crate::engine::EngineMessage;
use crate::feed::{self, FeedInputs};

/// Follows the catalog for ever; `applied` is told each revision that comes into force.
pub async fn follow_catalog(settings: BrokerSettings, mut applied: impl FnMut(Revision)) {
    let run = BrokerRun(rand::rng().random());
    let (engine, mut messages) = local_sync::mpsc::unbounded::channel();
    let (_last_report, last_reports) = local_sync::mpsc::unbounded::channel();
    let (_controls, controls) = local_sync::mpsc::unbounded::channel();
    let (_slow_leaves, slow_leaves) = feed::slow_leaves();
    let inputs = FeedInputs { last_reports, controls, slow_leaves };
    monoio::spawn(feed::follow(settings, run, Clock::start(), engine, inputs, None));
    let mut in_force = Arc::default();
    while let Some(message) = messages.recv().await {
        if let EngineMessage::CatalogChanged(catalog) = message {
            applied(catalog.revision());
            drop(std::mem::replace(&mut in_force, catalog));
        }
    }
}
