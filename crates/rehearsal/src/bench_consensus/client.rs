//! The load on the log, from within the leader's reactor.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gingerkeel_control::replication::ReplicationMessage;
use hdrhistogram::Histogram;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::time::sleep;

use super::member::MemberResult;
use super::since;
use crate::error::RehearsalError;
use crate::log_member::WordsMessage;

/// Bytes of a command.
const COMMAND_BYTES: usize = 100;
/// Pause before a refused request is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(1);
/// Digits of a latency that count.
const PRECISION: u8 = 3;

/// Commands of a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Commands, one after the other.
    pub latency_commands: u64,
    /// Commands, several at a time.
    pub throughput_commands: u64,
    /// How many at a time.
    pub concurrency: u64,
}

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(PRECISION).expect("the precision is allowed")
}

/// Measures latency first, then throughput.
pub async fn put_load(
    log: &Tx<ReplicationMessage>,
    load: Load,
) -> Result<MemberResult, RehearsalError> {
    commit(log, "first").await?;
    let mut latency = histogram();
    for number in 0..load.latency_commands {
        let start = Instant::now();
        commit(log, &format!("single{number}")).await?;
        latency.saturating_record(u64::try_from(since(start).as_micros()).unwrap_or(u64::MAX));
    }
    let start = Instant::now();
    commit_many(log, load).await?;
    let elapsed = since(start);
    let commands_per_second = load.throughput_commands as f64 / elapsed.as_secs_f64();
    Ok(MemberResult { latency, commands_per_second, elapsed, words: 0 })
}

async fn commit_many(log: &Tx<ReplicationMessage>, load: Load) -> Result<(), RehearsalError> {
    let next = Rc::new(Cell::new(0));
    let workers: Vec<_> = (0..load.concurrency)
        .map(|_| {
            let (next, log) = (next.clone(), log.clone());
            monoio::spawn(async move {
                while next.get() < load.throughput_commands {
                    let number = next.replace(next.get() + 1);
                    commit(&log, &format!("word{number}")).await?;
                }
                Ok::<(), RehearsalError>(())
            })
        })
        .collect();
    for worker in workers {
        worker.await?;
    }
    Ok(())
}

async fn commit(log: &Tx<ReplicationMessage>, word: &str) -> Result<(), RehearsalError> {
    let command = format!("{word:_<COMMAND_BYTES$}").into_bytes();
    let (reply, receiver) = oneshot::channel();
    let sent = log.send(ReplicationMessage::Propose { command, reply });
    sent.map_err(|_| RehearsalError::Log("the log has ended".into()))?;
    match receiver.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(RehearsalError::Log(error.to_string())),
        Err(_) => Err(RehearsalError::Log("the log has ended".into())),
    }
}

/// Reads all words as soon as a quorum confirms; gives their number.
pub async fn read_words(
    log: &Tx<ReplicationMessage>,
    words: &Tx<WordsMessage>,
) -> Result<usize, RehearsalError> {
    let ended = || RehearsalError::Log("the log has ended".into());
    loop {
        let (reply, receiver) = oneshot::channel();
        log.send(ReplicationMessage::ConfirmRead { reply }).map_err(|_| ended())?;
        let Ok(index) = receiver.await.map_err(|_| ended())? else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let (reply, receiver) = oneshot::channel();
        words.send(WordsMessage::Read { index, reply }).map_err(|_| ended())?;
        return receiver.await.map(|words| words.len()).map_err(|_| ended());
    }
}
