//! Client of the control processes.
//!
//! Each statement is sent in a separate request with a session and a sequence number. If there is
//! no response, the client retries it with the same sequence number at the next control process.
//! The cluster executes a command at most once per session and sequence number, so a retry is safe
//! also if an earlier attempt was executed.

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

/// Time after which no further round of attempts at all control processes begins. It covers several
/// elections.
const RETRY_LIMIT: Duration = Duration::from_secs(5);
/// Timeout of one attempt. It is longer than the time limit of a control process for a statement.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum backoff after each round; the actual backoff is random.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

quick_error! {
    /// Statement with an unknown outcome.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// No control process returned an outcome. `command` has the flags for a retry, `last` the
        /// last error.
        NoAnswer(command: String, last: String) {
            display("no control process returned an outcome (last error: {last}): check that a quorum is up, then retry with {command}, which executes it at most once")
        }
    }
}

/// Reason for an attempt without an outcome.
#[derive(Debug)]
enum AttemptError {
    Transport(TransportError),
    Unknown(String),
    TimedOut,
}

/// Sends the statements of one session.
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    preferred: usize,
    session: String,
    next_sequence: u64,
}

impl ControlClient {
    /// Creates a client of the given control processes. The default session name is random. The
    /// default sequence number is the current time in microseconds, which is greater than that of
    /// any earlier command of the session.
    pub fn new(controls: Vec<SocketAddr>, session: Option<String>, sequence: Option<u64>) -> Self {
        let random_session = || format!("cli-{:016x}", rand::rng().random::<u64>());
        Self {
            controls,
            preferred: 0,
            session: session.unwrap_or_else(random_session),
            next_sequence: sequence.unwrap_or_else(microseconds_now),
        }
    }

    /// Executes one statement, with retries.
    ///
    /// # Errors
    /// Returns [`ClientError::NoAnswer`] if no control process returned an outcome.
    pub async fn execute(&mut self, statement: &Statement) -> Result<StatementReply, ClientError> {
        let sequence = self.next_sequence;
        if matches!(statement, Statement::Change { .. }) {
            self.next_sequence += 1;
        }
        let text = statement.to_string();
        let mut last = String::new();
        let started = Instant::now();
        while started.elapsed() < RETRY_LIMIT {
            for _ in 0..self.controls.len() {
                let control = self.controls[self.preferred];
                match self.attempt(control, &text, sequence).await {
                    Ok(reply) => return Ok(reply),
                    Err(error) => last = format!("{control}: {error}"),
                }
                self.preferred = (self.preferred + 1) % self.controls.len();
            }
            let jitter: f64 = rand::rng().random();
            sleep(MAX_BACKOFF.mul_f64(jitter)).await;
        }
        let command = format!("--session {} --sequence {sequence}", self.session);
        Err(ClientError::NoAnswer(command, last))
    }

    async fn attempt(
        &self,
        control: SocketAddr,
        text: &str,
        sequence: u64,
    ) -> Result<StatementReply, AttemptError> {
        let response = exchange(control, self.request(text, sequence));
        let (status, body) = match timeout(ATTEMPT_TIMEOUT, response).await {
            Ok(answer) => answer.map_err(AttemptError::Transport)?,
            Err(_) => return Err(AttemptError::TimedOut),
        };
        let Ok(replies) = serde_json::from_slice::<StatementReplies>(&body) else {
            let text = String::from_utf8_lossy(&body).into_owned();
            if status.is_client_error() {
                return Ok(StatementReply::Refused { error: text });
            }
            return Err(AttemptError::Unknown(text));
        };
        match replies.replies.into_iter().next() {
            Some(StatementReply::Unknown { error }) => Err(AttemptError::Unknown(error)),
            Some(reply) => Ok(reply),
            None => Err(AttemptError::Unknown("response without a reply".to_owned())),
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

impl std::fmt::Display for AttemptError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Transport(error) => write!(formatter, "{error}"),
            Self::Unknown(text) => formatter.write_str(text),
            Self::TimedOut => formatter.write_str("no response in time"),
        }
    }
}
