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
        /// The text is longer than allowed.
        TooLong(length: usize, limit: usize) {
            display("a text of {length} bytes exceeds {limit}: split it into several")
        }
    }
}
