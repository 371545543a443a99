//! Replies to operators, sent as JSON from a control process to the command line.

use serde::{Deserialize, Serialize};

/// Outcome of one statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StatementReply {
    /// The change was accepted.
    Accepted {
        /// Revision of the catalog that the change resulted in.
        revision: u64,
    },
    /// Result of a `SHOW` statement.
    Table {
        /// Column headings.
        columns: Vec<String>,
        /// Cells by row; each row has one cell per column.
        rows: Vec<Vec<String>>,
    },
    /// The outcome is not known yet. The same statement, sent again with the same session and
    /// sequence number, is applied at most once and gets its final outcome.
    Unknown {
        /// Why the outcome is unknown, with the remedy.
        error: String,
    },
    /// The statement was refused; later statements of the same text were not executed.
    Refused {
        /// Why the statement was refused, with the remedy.
        error: String,
    },
}

impl StatementReply {
    /// Whether this reply stops the execution of later statements of the same text.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unknown { .. })
    }
}

/// Outcomes of the statements of one text, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementReplies {
    /// One outcome for each statement that was executed, up to the first failure.
    pub replies: Vec<StatementReply>,
}

impl StatementReplies {
    /// Whether all statements succeeded.
    pub fn succeeded(&self) -> bool {
        !self.replies.iter().any(StatementReply::is_failure)
    }

    /// Whether the outcome of the last statement is unknown.
    pub fn is_unknown(&self) -> bool {
        matches!(self.replies.last(), Some(StatementReply::Unknown { .. }))
    }
}

/// Request header with the operator's session.
pub const SESSION_HEADER: &str = "x-session";
/// Request header with the sequence number of the text's first change within the session; each
/// further change of the text has the next number.
pub const SEQUENCE_HEADER: &str = "x-sequence";
/// Path of the endpoint that accepts statements by `POST`.
pub const STATEMENTS_PATH: &str = "/v1/statements";
