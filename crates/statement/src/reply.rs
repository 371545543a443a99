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
    /// The statement was refused; later ones of the same text were not carried out.
    Refused {
        /// Why, with the remedy.
        error: String,
    },
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
        !self.replies.iter().any(|reply| matches!(reply, StatementReply::Refused { .. }))
    }
}
