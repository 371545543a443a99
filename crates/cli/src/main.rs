//! `gingerkeel`, the command-line client for operators.

mod client;
mod output;
mod shell;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;

use gingerkeel_statement::{GRAMMAR, Statement, StatementReplies, StatementReply, parse};
use gingerkeel_transport::block_on;
use gumdrop::Options;

use crate::client::{ClientError, ControlClient};

/// Exit code for invalid flags or statements.
const EXIT_USAGE: i32 = 2;
/// Exit code for a refused statement.
const EXIT_REFUSED: i32 = 1;
/// Exit code for a statement with an unknown outcome.
const EXIT_UNREACHABLE: i32 = 3;

/// Operator command line of the gingerkeel query tier.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help and the grammar of statements")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "operators' address of a control process; may be repeated", meta = "ADDRESS")]
    control: Vec<SocketAddr>,
    #[options(help = "print replies as JSON")]
    json: bool,
    #[options(help = "file of statements to execute", meta = "FILE")]
    file: Option<PathBuf>,
    #[options(
        help = "session under which outcomes are recorded; random by default",
        meta = "NAME"
    )]
    session: Option<String>,
    #[options(
        help = "sequence number of the first change, to retry one with an unknown outcome",
        meta = "NUMBER",
        no_short
    )]
    sequence: Option<u64>,
    #[options(free, help = "statement to execute; starts the shell if there is none")]
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
    if flags.control.is_empty() {
        fail(EXIT_USAGE, "no control process specified: add --control ADDRESS");
    }
    if let Some(session) = &flags.session {
        check_session(session);
    }
    let mut client =
        ControlClient::new(flags.control.clone(), flags.session.clone(), flags.sequence);
    match statement_text(&flags) {
        Some(text) => run_text(&mut client, &text, flags.json),
        None => run_shell(&mut client, flags.json),
    }
}

fn check_session(session: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if session.is_empty() || session.len() > 64 || !session.chars().all(allowed) {
        fail(EXIT_USAGE, "invalid session name: use at most 64 letters, digits, '-' and '_'");
    }
}

/// Returns the text of the file or of the arguments, or `None` to start the shell.
fn statement_text(flags: &Flags) -> Option<String> {
    let Some(path) = &flags.file else {
        return (!flags.statement.is_empty()).then(|| flags.statement.join(" "));
    };
    let text = fs::read_to_string(path).unwrap_or_else(|error| {
        fail(EXIT_USAGE, &format!("{}: cannot be read ({error})", path.display()))
    });
    Some(text)
}

/// Executes all statements of `text`. Exits the process if one is invalid, refused or has an
/// unknown outcome.
fn run_text(client: &mut ControlClient, text: &str, json: bool) {
    let statements = parse(text).unwrap_or_else(|error| {
        let excerpt = error.excerpt(text).map(|excerpt| format!("\n{excerpt}"));
        fail(EXIT_USAGE, &format!("{error}{}", excerpt.unwrap_or_default()))
    });
    let mut replies = StatementReplies::default();
    let outcome = execute_all(client, &statements, |reply| {
        if !json {
            output::print(&reply);
        }
        replies.replies.push(reply);
    });
    if json {
        println!("{}", serde_json::to_string(&replies).unwrap_or_default());
    }
    if let Err(error) = outcome {
        fail(EXIT_UNREACHABLE, &error.to_string());
    }
    if !replies.succeeded() {
        exit(EXIT_REFUSED);
    }
}

fn run_shell(client: &mut ControlClient, json: bool) {
    let result = shell::run(|text| match parse(text) {
        Err(error) => {
            eprintln!("{error}");
            if let Some(excerpt) = error.excerpt(text) {
                eprintln!("{excerpt}");
            }
        }
        Ok(statements) => {
            let outcome = execute_all(client, &statements, |reply| {
                if json {
                    println!("{}", serde_json::to_string(&reply).unwrap_or_default());
                } else {
                    output::print(&reply);
                }
            });
            if let Err(error) = outcome {
                eprintln!("gingerkeel: {error}");
            }
        }
    });
    if let Err(error) = result {
        fail(
            EXIT_USAGE,
            &format!("cannot read from the terminal ({error}): give a statement or --file"),
        );
    }
}

/// Executes statements in order and stops after the first failure. Passes each reply to `report`.
fn execute_all(
    client: &mut ControlClient,
    statements: &[Statement],
    mut report: impl FnMut(StatementReply),
) -> Result<(), ClientError> {
    let executing = async {
        for statement in statements {
            let reply = client.execute(statement).await?;
            let failed = reply.is_failure();
            report(reply);
            if failed {
                break;
            }
        }
        Ok(())
    };
    block_on(executing).unwrap_or_else(|error| {
        fail(EXIT_UNREACHABLE, &format!("the runtime cannot start ({error})"))
    })
}

fn fail(code: i32, message: &str) -> ! {
    eprintln!("gingerkeel: {message}");
    exit(code);
}
