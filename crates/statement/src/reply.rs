//! What operators are told, as JSON between a control process and the command line.

use serde::{Deserialize, Serialize};

/// Outcome of one statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StatementReply {
    /// The change was accepted.
    Accepted {
        /// Revision of the catalog that it gave.
        revision: u64,
    },
    /// A look-up.
    Table {
        /// Names of the columns.
        columns: Vec<String>,
        /// Cells, a row each.
        rows: Vec<Vec<String>>,
    },
    /// Nobody knows yet whether the change is accepted; sent again under the same session and
    /// sequence number it gets its one outcome.
    Unknown {
        /// Why, with the remedy.
        error: String,
    },
    /// The statement was refused; later ones of the same text were not carried out.
    Refused {
        /// Why, with the remedy.
        error: String,
    },
}

impl StatementReply {
    /// Whether later statements of the same text are not carried out.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Unknown { .. })
    }
}

/// Outcomes of a text of statements, in its order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementReplies {
    /// One outcome for each statement that was looked at.
    pub replies: Vec<StatementReply>,
}

impl StatementReplies {
    /// Whether every statement was carried out.
    pub fn succeeded(&self) -> bool {
        !self.replies.iter().any(StatementReply::is_failure)
    }

    /// Whether the outcome of the last statement is not known.
    pub fn is_unknown(&self) -> bool {
        matches!(self.replies.last(), Some(StatementReply::Unknown { .. }))
    }
}

/// Header of a request that names the operator's session.
pub const SESSION_HEADER: &str = "x-session";
/// Header of a request that numbers its first change within the session; each further change of
/// the same text has the next number.
pub const SEQUENCE_HEADER: &str = "x-sequence";
/// Path to which statements are posted.
pub const STATEMENTS_PATH: &str = "/v1/statements";
