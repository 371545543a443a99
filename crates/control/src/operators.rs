//! Operators' HTTP interface: `POST /v1/statements` with statements as text.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gingerkeel_domain::catalog::Change;
use gingerkeel_domain::cluster::{ChangeOutcome, ChangeRequest, CommandId};
use gingerkeel_domain::identifiers::{Revision, SessionName};
use gingerkeel_statement::{
    SEQUENCE_HEADER, SESSION_HEADER, STATEMENTS_PATH, Statement, StatementReplies, StatementReply,
    Subject, parse,
};
use gingerkeel_transport::{
    ConnectionMemory, HttpRequest, HttpResponse, Limits, RequestHandler, RequestHead,
    RequestServer, TransportError, text_response,
};
use http::{HeaderMap, Method, StatusCode};
use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;
use monoio::net::TcpListener;
use monoio::time::timeout;
use rand::Rng;

use crate::cluster_task::ClusterMessage;
use crate::order_checks::OrderChecks;
use crate::waiting_calls::{CallKind, WaitingCalls};

/// Maximum length of a session name, in bytes.
const MAX_SESSION_NAME_BYTES: usize = 64;
/// Time limit for a statement; after it the outcome is unknown.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that a call takes for each byte of its text: tokens, statements, and their replies.
const STATEMENT_MEMORY_FACTOR: usize = 16;

/// What serves a statement.
struct Context {
    checks: Rc<OrderChecks>,
    waiting: WaitingCalls,
    cluster: Tx<ClusterMessage>,
}

/// Accepts operators' connections until the process ends.
pub async fn serve(
    listener: TcpListener,
    checks: Rc<OrderChecks>,
    waiting: WaitingCalls,
    cluster: Tx<ClusterMessage>,
    memory: ConnectionMemory,
) {
    let context = Context { checks, waiting, cluster };
    RequestServer::new("operators", Limits::default(), memory).serve(listener, context).await;
}

impl RequestHandler for Context {
    fn takes_body(&self, head: &RequestHead) -> bool {
        head.method == Method::POST && head.uri.path() == STATEMENTS_PATH
    }

    fn memory_factor(&self) -> usize {
        STATEMENT_MEMORY_FACTOR
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        answer(request, self).await
    }

    fn reject(&self, error: &TransportError) -> HttpResponse {
        let status = match error {
            TransportError::OutOfMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        };
        text_response(status, &error.to_string())
    }
}

async fn answer(request: HttpRequest, context: &Context) -> HttpResponse {
    if request.method() != Method::POST || request.uri().path() != STATEMENTS_PATH {
        return text_response(
            StatusCode::NOT_FOUND,
            "unknown path: POST statements to /v1/statements",
        );
    }
    let Some(first) = command_id(request.headers()) else {
        let text = format!(
            "{SESSION_HEADER} or {SEQUENCE_HEADER} is not usable: send both, a name of at most \
             {MAX_SESSION_NAME_BYTES} letters, digits, '-' and '_', and a number from 1"
        );
        return text_response(StatusCode::BAD_REQUEST, &text);
    };
    let Ok(text) = String::from_utf8(request.into_body().to_vec()) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "the text is not UTF-8: send statements as UTF-8",
        );
    };
    let replies = match parse(&text) {
        Ok(statements) => execute_all(statements, first, context).await,
        Err(error) => {
            let error = error.to_string();
            StatementReplies { replies: vec![StatementReply::Refused { error }] }
        }
    };
    let body = serde_json::to_vec(&replies).unwrap_or_default();
    respond(status(&replies), Bytes::from(body))
}

fn status(replies: &StatementReplies) -> StatusCode {
    if replies.is_unknown() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    if replies.succeeded() { StatusCode::OK } else { StatusCode::BAD_REQUEST }
}

/// Command identity of the first change, from the headers; without headers, a random session that
/// is never reused. `None` if the headers are invalid.
fn command_id(headers: &HeaderMap) -> Option<CommandId> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or_default());
    match (text(SESSION_HEADER), text(SEQUENCE_HEADER)) {
        (None, None) => {
            let session = format!("anonymous-{:016x}", rand::rng().random::<u64>());
            Some(CommandId { session: SessionName::new(session), sequence: 1 })
        }
        (Some(session), Some(sequence)) => {
            let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
            let usable = !session.is_empty()
                && session.len() <= MAX_SESSION_NAME_BYTES
                && session.chars().all(allowed);
            let sequence = sequence.parse().ok().filter(|sequence| *sequence > 0)?;
            usable.then(|| CommandId { session: SessionName::new(session), sequence })
        }
        _ => None,
    }
}

async fn execute_all(
    statements: Vec<Statement>,
    first: CommandId,
    context: &Context,
) -> StatementReplies {
    let mut replies = StatementReplies::default();
    let mut id = first;
    for statement in statements {
        let is_change = matches!(statement, Statement::Change { .. });
        replies.replies.push(execute_or_refuse(statement, id.clone(), context).await);
        if !replies.succeeded() {
            break;
        }
        id.sequence = id.sequence.saturating_add(u64::from(is_change));
    }
    replies
}

async fn execute_or_refuse(
    statement: Statement,
    id: CommandId,
    context: &Context,
) -> StatementReply {
    let waiting = context.waiting.begin(CallKind::Statement, None);
    match waiting.carry_out(execute(statement, id, context)).await {
        Ok(reply) => reply,
        Err(error) => StatementReply::Unknown { error: error.to_string() },
    }
}

async fn execute(statement: Statement, id: CommandId, context: &Context) -> StatementReply {
    let Context { checks, cluster, .. } = context;
    match statement {
        Statement::Show(subject) => show(subject, cluster).await,
        Statement::Change { change, based_on } => match checks.complete(change, cluster).await {
            Ok(change) => execute_change(change, based_on, id, cluster).await,
            Err(error) => StatementReply::Refused { error },
        },
    }
}

async fn show(subject: Subject, cluster: &Tx<ClusterMessage>) -> StatementReply {
    let (reply, receiver) = oneshot::channel();
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::Show { subject, reply });
    let error = match timeout(STATEMENT_TIMEOUT, receiver).await {
        Ok(Ok(Ok(table))) => return table,
        Ok(Ok(Err(error))) => error.to_string(),
        _ => "the look-up took too long: ask another control process".to_owned(),
    };
    StatementReply::Unknown { error }
}

async fn execute_change(
    change: Change,
    based_on: Option<Revision>,
    id: CommandId,
    cluster: &Tx<ClusterMessage>,
) -> StatementReply {
    let (reply, receiver) = oneshot::channel();
    let request = ChangeRequest { id: id.clone(), based_on, change };
    // The cluster task lives as long as the process.
    let _ = cluster.send(ClusterMessage::Change { request, reply });
    let error = match timeout(STATEMENT_TIMEOUT, receiver).await {
        Ok(Ok(Ok(ChangeOutcome::Accepted { revision, .. }))) => {
            return StatementReply::Accepted { revision: revision.0 };
        }
        Ok(Ok(Ok(ChangeOutcome::Refused(refusal)))) => {
            return StatementReply::Refused { error: refusal.to_string() };
        }
        Ok(Ok(Err(error))) => error.to_string(),
        _ => format!("the outcome of command {id} is unknown: send it again as the same command"),
    };
    StatementReply::Unknown { error }
}

fn respond(status: StatusCode, body: Bytes) -> HttpResponse {
    let mut response = HttpResponse::new(body);
    *response.status_mut() = status;
    response
}
