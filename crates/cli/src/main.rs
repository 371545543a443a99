//! `gingerkeel`: the operator command line.

mod output;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;

use bytes::Bytes;
use gingerkeel_statement::{GRAMMAR, StatementReplies};
use gingerkeel_transport::{ClientConnection, HttpRequest, Limits, TransportError, block_on};
use gumdrop::Options;

/// Exit code when flags or statements are wrong.
const EXIT_USAGE: i32 = 2;
/// Exit code when a statement was refused.
const EXIT_REFUSED: i32 = 1;
/// Exit code when no control process answered.
const EXIT_UNREACHABLE: i32 = 3;

/// Operator command line of the gingerkeel query tier.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help and the grammar of statements")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "operators' address of a control process", meta = "ADDRESS")]
    control: Option<SocketAddr>,
    #[options(help = "print replies as JSON")]
    json: bool,
    #[options(help = "file of statements to carry out", meta = "FILE")]
    file: Option<PathBuf>,
    #[options(free, help = "statement to carry out")]
    statement: Vec<String>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flags = Flags::parse_args_default(&arguments)
        .unwrap_or_else(|error| fail(EXIT_USAGE, &format!("{error}: see --help")));
    if flags.help {
        println!("usage: gingerkeel --control ADDRESS [--json] [--file FILE | STATEMENT]");
        println!("{}\n\nStatements (pest grammar):\n\n{GRAMMAR}", Flags::usage());
        return;
    }
    if flags.version {
        println!("gingerkeel {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let Some(control) = flags.control else {
        fail(EXIT_USAGE, "no control process named: add --control ADDRESS");
    };
    let text = statement_text(&flags);
    let outcome = block_on(send(control, text)).unwrap_or_else(|error| {
        fail(EXIT_UNREACHABLE, &format!("the runtime cannot start ({error})"))
    });
    match outcome {
        Ok(replies) => report(&replies, flags.json),
        Err(error) => fail(EXIT_UNREACHABLE, &format!("{control}: {error}")),
    }
}

fn statement_text(flags: &Flags) -> String {
    let Some(path) = &flags.file else {
        return flags.statement.join(" ");
    };
    fs::read_to_string(path).unwrap_or_else(|error| {
        fail(EXIT_USAGE, &format!("{}: cannot be read ({error})", path.display()))
    })
}

async fn send(control: SocketAddr, text: String) -> Result<StatementReplies, TransportError> {
    let mut connection = ClientConnection::connect(control, Limits::default()).await?;
    let mut request = HttpRequest::new(Bytes::from(text));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("/v1/statements");
    let response = connection.exchange(request).await?;
    serde_json::from_slice(response.body()).map_err(|_| {
        TransportError::Malformed(String::from_utf8_lossy(response.body()).into_owned())
    })
}

fn report(replies: &StatementReplies, json: bool) {
    if json {
        println!("{}", serde_json::to_string(replies).unwrap_or_default());
    } else {
        replies.replies.iter().for_each(output::print);
    }
    if !replies.succeeded() {
        exit(EXIT_REFUSED);
    }
}

fn fail(code: i32, message: &str) -> ! {
    eprintln!("gingerkeel: {message}");
    exit(code);
}
