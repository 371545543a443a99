//! The way to the control processes.
//!
//! Each statement goes in a request of its own under the session and a sequence number. When its
//! answer is lost, the same command goes to the next control process: it is carried out once,
//! whatever became of the first try.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use gingerkeel_statement::{
    SEQUENCE_HEADER, SESSION_HEADER, STATEMENTS_PATH, Statement, StatementReplies, StatementReply,
};
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, TransportError};
use http::{HeaderValue, Method, StatusCode, Uri};
use monoio::time::{sleep, timeout};
use quick_error::quick_error;
use rand::Rng;

/// Time after which no further round over the control processes begins; several elections long.
const ROUNDS_LIMIT: Duration = Duration::from_secs(5);
/// Time that a control process has to answer; longer than it gives a statement itself.
const ANSWER_LIMIT: Duration = Duration::from_secs(7);
/// Bound of the pause after each round.
const PAUSE_BOUND: Duration = Duration::from_millis(400);

quick_error! {
    /// A statement whose outcome is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// No control process answered.
        NoAnswer(command: String, last: String) {
            display("no control process gave the outcome (last: {last}): check that a quorum is up, then run it again with {command}, which carries it out once at most")
        }
    }
}

/// Why one try gave no outcome.
#[derive(Debug)]
enum Lost {
    Transport(TransportError),
    Unknown(String),
    Slow,
}

/// Sends statements under one session.
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    preferred: usize,
    session: String,
    next_sequence: u64,
}

impl ControlClient {
    /// A client of these control processes; without a session it draws one, and without a
    /// sequence number it goes on from the time, which no earlier command of the session has.
    pub fn new(controls: Vec<SocketAddr>, session: Option<String>, sequence: Option<u64>) -> Self {
        let drawn = || format!("cli-{:016x}", rand::rng().random::<u64>());
        Self {
            controls,
            preferred: 0,
            session: session.unwrap_or_else(drawn),
            next_sequence: sequence.unwrap_or_else(microseconds_now),
        }
    }

    /// Carries out one statement.
    ///
    /// # Errors
    /// [`ClientError::NoAnswer`] when no control process told the outcome.
    pub async fn execute(&mut self, statement: &Statement) -> Result<StatementReply, ClientError> {
        let sequence = self.next_sequence;
        if matches!(statement, Statement::Change { .. }) {
            self.next_sequence += 1;
        }
        let text = statement.to_string();
        let mut last = String::new();
        let begun = Instant::now();
        while begun.elapsed() < ROUNDS_LIMIT {
            for _ in 0..self.controls.len() {
                let control = self.controls[self.preferred];
                match self.attempt(control, &text, sequence).await {
                    Ok(reply) => return Ok(reply),
                    Err(lost) => last = format!("{control}: {lost}"),
                }
                self.preferred = (self.preferred + 1) % self.controls.len();
            }
            let share: f64 = rand::rng().random();
            sleep(PAUSE_BOUND.mul_f64(share)).await;
        }
        let command = format!("--session {} --sequence {sequence}", self.session);
        Err(ClientError::NoAnswer(command, last))
    }

    async fn attempt(
        &self,
        control: SocketAddr,
        text: &str,
        sequence: u64,
    ) -> Result<StatementReply, Lost> {
        let exchanging = exchange(control, self.request(text, sequence));
        let (status, body) = match timeout(ANSWER_LIMIT, exchanging).await {
            Ok(answer) => answer.map_err(Lost::Transport)?,
            Err(_) => return Err(Lost::Slow),
        };
        let Ok(replies) = serde_json::from_slice::<StatementReplies>(&body) else {
            let text = String::from_utf8_lossy(&body).into_owned();
            if status.is_client_error() {
                return Ok(StatementReply::Refused { error: text });
            }
            return Err(Lost::Unknown(text));
        };
        match replies.replies.into_iter().next() {
            Some(StatementReply::Unknown { error }) => Err(Lost::Unknown(error)),
            Some(reply) => Ok(reply),
            None => Err(Lost::Unknown("an answer without a reply".to_owned())),
        }
    }

    fn request(&self, text: &str, sequence: u64) -> HttpRequest {
        let mut request = HttpRequest::new(Bytes::copy_from_slice(text.as_bytes()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(STATEMENTS_PATH);
        let headers = request.headers_mut();
        if let Ok(session) = HeaderValue::from_str(&self.session) {
            headers.insert(SESSION_HEADER, session);
        }
        headers.insert(SEQUENCE_HEADER, HeaderValue::from(sequence));
        request
    }
}

async fn exchange(
    control: SocketAddr,
    request: HttpRequest,
) -> Result<(StatusCode, Bytes), TransportError> {
    let mut connection = ClientConnection::connect(control, Limits::default()).await?;
    let response = connection.exchange(request).await?;
    let status = response.status();
    Ok((status, response.into_body()))
}

fn microseconds_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(1).max(1)
}

impl std::fmt::Display for Lost {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Transport(error) => write!(formatter, "{error}"),
            Self::Unknown(text) => formatter.write_str(text),
            Self::Slow => formatter.write_str("no answer in time"),
        }
    }
}
