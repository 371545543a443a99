//! Reasons why a text is not a statement.

use quick_error::quick_error;

quick_error! {
    /// A text that is not a statement.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StatementError {
        /// The text does not follow the grammar.
        Syntax(line: usize, column: usize, expected: String) {
            display("line {line}, column {column}: {expected}; see gingerkeel --help for the statements")
        }
        /// A number is too large for its place.
        OutOfRange(line: usize, column: usize, text: String) {
            display("line {line}, column {column}: {text} is too large here: use a smaller number")
        }
        /// An address is not an IP number and a port.
        BadAddress(line: usize, column: usize, text: String) {
            display("line {line}, column {column}: {text} is not an address: write it as 10.0.0.1:9000")
        }
        /// A name is too long.
        NameTooLong(line: usize, column: usize, length: usize, limit: usize) {
            display("line {line}, column {column}: a name of {length} characters exceeds {limit}: use a shorter name")
        }
        /// The text is longer than allowed.
        TooLong(length: usize, limit: usize) {
            display("a text of {length} bytes exceeds {limit}: split it into several")
        }
    }
}

impl StatementError {
    /// Line and column of the fault, from 1; none when it lies with the text as a whole.
    pub fn place(&self) -> Option<(usize, usize)> {
        match self {
            Self::Syntax(line, column, _)
            | Self::OutOfRange(line, column, _)
            | Self::BadAddress(line, column, _)
            | Self::NameTooLong(line, column, _, _) => Some((*line, *column)),
            Self::TooLong(_, _) => None,
        }
    }

    /// The faulty line of `text` with a mark below the fault; none without a place.
    pub fn excerpt(&self, text: &str) -> Option<String> {
        let (line, column) = self.place()?;
        let faulty = text.lines().nth(line - 1)?;
        Some(format!("{faulty}\n{:>column$}", "^"))
    }
}
