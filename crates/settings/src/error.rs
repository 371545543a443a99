//! Reasons why settings are not accepted.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Settings that are not accepted.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(file: String, error: io::Error) {
            source(error)
            display("{file}: cannot be read ({error}): check the path and its permissions")
        }
        /// The file is not TOML, lacks a field, or has one of the wrong type or unknown.
        Malformed(file: String, reason: String) {
            display("{file}: {reason}correct the field that is named, or remove it")
        }
        /// A field has a value out of its range.
        BadValue(file: String, field: String, value: String, remedy: String) {
            display("{file}: field {field} has the value {value}: {remedy}")
        }
    }
}
