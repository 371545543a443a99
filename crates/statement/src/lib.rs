//! The operator statement language: look-ups and changes of the catalog.

mod error;
mod parse;
mod reply;

use gingerkeel_domain::catalog::Change;

pub use error::StatementError;
pub use parse::{GRAMMAR, parse};
pub use reply::{StatementReplies, StatementReply};

/// What a look-up shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Services, their classes and snapshots.
    Services,
    /// Leaves and their states.
    Leaves,
    /// Callers' accounts.
    Callers,
    /// Brokers and the revisions they run.
    Brokers,
    /// The control process itself.
    Status,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A look-up.
    Show(Subject),
    /// A change of the catalog.
    Change(Change),
}
