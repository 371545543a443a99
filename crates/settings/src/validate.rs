//! Validation of settings fields.

use std::fmt::Display;

use crate::SettingsError;

/// Settings with a check of their values.
pub trait Validate {
    /// Validates all fields.
    ///
    /// # Errors
    /// Returns [`SettingsError::BadValue`] for the first field whose value is out of range.
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError>;
}

/// Validates single fields and adds the file name to errors.
pub struct Check<'file> {
    file: &'file str,
}

impl<'file> Check<'file> {
    /// Creates a check for the settings file `file`.
    pub fn new(file: &'file str) -> Self {
        Self { file }
    }

    /// Validates one field. `remedy` tells operators how to correct the value.
    ///
    /// # Errors
    /// Returns [`SettingsError::BadValue`] if `accepted` is false.
    pub fn field(
        &mut self,
        field: &str,
        value: impl Display,
        accepted: bool,
        remedy: &str,
    ) -> Result<(), SettingsError> {
        if accepted {
            return Ok(());
        }
        Err(SettingsError::BadValue(
            self.file.to_owned(),
            field.to_owned(),
            format!("`{value}`"),
            remedy.to_owned(),
        ))
    }

    /// Validates a name: a letter followed by letters, digits, `-` and `_`, at most 64 characters
    /// in total.
    ///
    /// # Errors
    /// Returns [`SettingsError::BadValue`] if `value` is not a valid name.
    pub fn name(&mut self, field: &str, value: &str) -> Result<(), SettingsError> {
        let starts_with_letter = value.starts_with(|first: char| first.is_ascii_alphabetic());
        let allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_".contains(character);
        let accepted = starts_with_letter && value.len() <= 64 && value.chars().all(allowed);
        let remedy = "use a letter followed by at most 63 letters, digits, '-' or '_'";
        self.field(field, value, accepted, remedy)
    }
}
