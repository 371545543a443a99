//! The operator statement language: queries and changes of the catalog.

mod error;
mod fields;
mod parse;
mod print;
mod reply;
mod statement;

pub use error::StatementError;
pub use parse::{GRAMMAR, TEXT_LIMIT, parse};
pub use reply::{
    SEQUENCE_HEADER, SESSION_HEADER, STATEMENTS_PATH, StatementReplies, StatementReply,
};
pub use statement::{Statement, Subject};
