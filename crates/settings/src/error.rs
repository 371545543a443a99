//! Errors in settings files.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Error in a settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(file: String, error: io::Error) {
            source(error)
            display("{file}: cannot be read ({error}): check the path and its permissions")
        }
        /// The file is not valid TOML, lacks a required field, or has an unknown field or one of
        /// the wrong type.
        Malformed(file: String, reason: String) {
            display("{file}: {reason}correct the field that is named, or remove it")
        }
        /// The value of a field is out of range.
        BadValue(file: String, field: String, value: String, remedy: String) {
            display("{file}: field {field} has the value {value}: {remedy}")
        }
    }
}
