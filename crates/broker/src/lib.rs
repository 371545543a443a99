//! The broker: it admits callers' queries, scatters them to leaves, gathers and answers.

mod callers;
pub mod catalog_follower;
mod clock;
mod engine;
mod feed;
mod leaves;
mod signals;

use std::io;

use gingerkeel_settings::BrokerSettings;
use monoio::net::TcpListener;
use tracing::info;

use crate::clock::Clock;
use crate::engine::{Engine, EngineMessage};

/// Serves callers until a planned stop has finished what was in flight.
///
/// # Errors
/// An [`io::Error`] when an address cannot be bound or signals cannot be watched.
pub async fn run(settings: BrokerSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen)?;
    let (engine, messages) = local_sync::mpsc::unbounded::channel();
    let stop = signals::stop_requested()?;
    info!(event = "started", name = settings.name, listen = %settings.listen);
    monoio::spawn(callers::serve(listener, engine.clone(), settings.clone()));
    let clock = Clock::start();
    monoio::spawn(feed::follow(settings.clone(), clock, engine.clone()));
    let stop_messages = engine.clone();
    monoio::spawn(async move {
        stop.await;
        // The engine ends only after this message.
        let _ = stop_messages.send(EngineMessage::Stop);
    });
    Engine::new(&settings, clock, engine).run(messages).await;
    info!(event = "stopped", name = settings.name);
    Ok(())
}
