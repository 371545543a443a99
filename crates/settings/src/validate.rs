//! Checks of single fields.

use std::fmt::Display;

use crate::SettingsError;

/// Settings that can check themselves.
pub trait Validate {
    /// Checks every field.
    ///
    /// # Errors
    /// [`SettingsError::BadValue`] for the first field whose value is out of its range.
    fn validate(&self, check: &mut Check<'_>) -> Result<(), SettingsError>;
}

/// Names the file in the errors of field checks.
pub struct Check<'file> {
    file: &'file str,
}

impl<'file> Check<'file> {
    /// Checks of the fields of `file`.
    pub fn new(file: &'file str) -> Self {
        Self { file }
    }

    /// Requires `accepted`, or names the field, its value and the remedy.
    ///
    /// # Errors
    /// [`SettingsError::BadValue`] when `accepted` is false.
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

    /// Requires a name: a letter, then letters, digits, `-` and `_`, at most 64 characters.
    ///
    /// # Errors
    /// [`SettingsError::BadValue`] when the value is not a name.
    pub fn name(&mut self, field: &str, value: &str) -> Result<(), SettingsError> {
        let starts_with_letter = value.starts_with(|first: char| first.is_ascii_alphabetic());
        let allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_".contains(character);
        let accepted = starts_with_letter && value.len() <= 64 && value.chars().all(allowed);
        let remedy = "use a letter followed by at most 63 letters, digits, '-' or '_'";
        self.field(field, value, accepted, remedy)
    }
}
