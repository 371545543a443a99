//! Parse errors.

use quick_error::quick_error;

quick_error! {
    /// Why a text cannot be parsed; positions are lines and columns, counted from 1.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StatementError {
        /// The text does not follow the grammar.
        Syntax(line: usize, column: usize, expected: String) {
            display("line {line}, column {column}: {expected}; see gingerkeel --help for the statements")
        }
        /// A number is too large for its field.
        OutOfRange(line: usize, column: usize, text: String) {
            display("line {line}, column {column}: {text} is too large here: use a smaller number")
        }
        /// An address is not an IP address and port.
        BadAddress(line: usize, column: usize, text: String) {
            display("line {line}, column {column}: {text} is not an address: write it as 10.0.0.1:9000")
        }
        /// A name exceeds the length limit.
        NameTooLong(line: usize, column: usize, length: usize, limit: usize) {
            display("line {line}, column {column}: a name of {length} characters exceeds {limit}: use a shorter name")
        }
        /// The whole text exceeds the size limit.
        TooLong(length: usize, limit: usize) {
            display("a text of {length} bytes exceeds {limit}: split it into several")
        }
    }
}

impl StatementError {
    /// Line and column of the error, counted from 1; `None` if the error concerns the whole text.
    pub fn place(&self) -> Option<(usize, usize)> {
        match self {
            Self::Syntax(line, column, _)
            | Self::OutOfRange(line, column, _)
            | Self::BadAddress(line, column, _)
            | Self::NameTooLong(line, column, _, _) => Some((*line, *column)),
            Self::TooLong(_, _) => None,
        }
    }

    /// The line of `text` with the error and a caret below its column; `None` without a position.
    pub fn excerpt(&self, text: &str) -> Option<String> {
        let (line, column) = self.place()?;
        let faulty = text.lines().nth(line - 1)?;
        Some(format!("{faulty}\n{:>column$}", "^"))
    }
}
