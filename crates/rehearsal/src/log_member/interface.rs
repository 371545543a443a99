//! The line-wise interface of a member.

use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_control::replication::ReplicationMessage;
use gingerkeel_domain::consensus::LogIndex;
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::words::WordsMessage;

/// Bytes of the longest request.
const REQUEST_BYTES: usize = 64 * 1024;
/// Time that a member has to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
const STOPPING: &str = "error the member is stopping";

/// A request to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Replicate a word; a word that is there already is not added again.
    Propose(String),
    /// All words, confirmed by a quorum.
    Read,
    /// All words that the member has applied.
    Local,
    /// Role, term, leader and members.
    Status,
}

impl Request {
    fn line(&self) -> String {
        match self {
            Self::Propose(word) => format!("propose {word}\n"),
            Self::Read => "read\n".into(),
            Self::Local => "local\n".into(),
            Self::Status => "status\n".into(),
        }
    }

    fn parse(line: &str) -> Option<Self> {
        match line.trim_end().split_once(' ') {
            Some(("propose", word)) => Some(Self::Propose(word.to_owned())),
            Some(_) => None,
            None => match line.trim_end() {
                "read" => Some(Self::Read),
                "local" => Some(Self::Local),
                "status" => Some(Self::Status),
                _ => None,
            },
        }
    }
}

/// Asks a member; gives what follows `ok`.
///
/// # Errors
/// An [`io::Error`] when the member does not answer in time, or answers with an error.
pub fn ask(member: SocketAddr, request: &Request) -> io::Result<String> {
    let mut stream = std::net::TcpStream::connect_timeout(&member, ANSWER_LIMIT)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    stream.write_all(request.line().as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    match answer.trim_end().strip_prefix("ok") {
        Some(rest) => Ok(rest.trim_start().to_owned()),
        None => Err(io::Error::other(answer)),
    }
}

pub(super) async fn serve(
    listener: TcpListener,
    log: Tx<ReplicationMessage>,
    words: Tx<WordsMessage>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        monoio::spawn(converse(stream, log.clone(), words.clone()));
    }
}

async fn converse(mut stream: TcpStream, log: Tx<ReplicationMessage>, words: Tx<WordsMessage>) {
    let mut line = Vec::new();
    while !line.ends_with(b"\n") && line.len() < REQUEST_BYTES {
        let (result, buffer) = stream.read(vec![0; REQUEST_BYTES]).await;
        match result {
            Ok(count) if count > 0 => line.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let answer = match Request::parse(&String::from_utf8_lossy(&line)) {
        Some(request) => answer(request, &log, &words).await,
        None => "error unknown request".into(),
    };
    // The asker may be gone.
    let _ = stream.write_all(format!("{answer}\n").into_bytes()).await;
}

async fn answer(
    request: Request,
    log: &Tx<ReplicationMessage>,
    words: &Tx<WordsMessage>,
) -> String {
    match request {
        Request::Propose(word) => propose(word, log).await,
        Request::Read => read(log, words).await,
        Request::Local => read_at(LogIndex(0), words).await,
        Request::Status => status(log).await,
    }
}

async fn propose(word: String, log: &Tx<ReplicationMessage>) -> String {
    let (reply, receiver) = oneshot::channel();
    let command = word.into_bytes();
    if log.send(ReplicationMessage::Propose { command, reply }).is_err() {
        return STOPPING.into();
    }
    match receiver.await {
        Ok(Ok(())) => "ok".into(),
        Ok(Err(error)) => format!("error {error}"),
        Err(_) => STOPPING.into(),
    }
}

async fn read(log: &Tx<ReplicationMessage>, words: &Tx<WordsMessage>) -> String {
    let (reply, receiver) = oneshot::channel();
    if log.send(ReplicationMessage::ConfirmRead { reply }).is_err() {
        return STOPPING.into();
    }
    match receiver.await {
        Ok(Ok(index)) => read_at(index, words).await,
        Ok(Err(error)) => format!("error {error}"),
        Err(_) => STOPPING.into(),
    }
}

async fn read_at(index: LogIndex, words: &Tx<WordsMessage>) -> String {
    let (reply, receiver) = oneshot::channel();
    if words.send(WordsMessage::Read { index, reply }).is_err() {
        return STOPPING.into();
    }
    receiver.await.map_or(STOPPING.into(), |words| format!("ok {}", words.join(" ")))
}

async fn status(log: &Tx<ReplicationMessage>) -> String {
    let (reply, receiver) = oneshot::channel();
    if log.send(ReplicationMessage::Status { reply }).is_err() {
        return STOPPING.into();
    }
    let Ok(status) = receiver.await else {
        return STOPPING.into();
    };
    let member = |member: &gingerkeel_control::replication::MemberStatus| {
        let kind = if member.voter { "voter" } else { "learner" };
        format!("{kind}={}", member.member)
    };
    let members: Vec<String> = status.members.iter().map(member).collect();
    format!(
        "ok identity={} role={:?} term={} commit={} {}",
        status.identity,
        status.role,
        status.term,
        status.commit,
        members.join(" ")
    )
}
