//! Parses directory pages that other programs also write to. Each entry is parsed on its own, so
//! that a malformed entry does not invalidate the others.

use std::collections::BTreeMap;

use gingerkeel_domain::directory::{EntryFault, ListedLeaf, RejectedEntry};
use gingerkeel_domain::identifiers::LeafIdentity;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::value::RawValue;

use crate::ports::DirectoryPage;

/// Replaces bytes that are not valid UTF-8.
const REPLACEMENT: char = char::REPLACEMENT_CHARACTER;
/// Maximum number of `{` in a corrupted page at which no usable entry starts. Each attempt may scan
/// the rest of the page, so the time per page must be bounded.
const MAX_FAILED_CANDIDATES: usize = 1_000;

/// An entry in the format of one directory.
pub trait DirectoryEntry: DeserializeOwned {
    /// Name of the field that holds the leaf's identity.
    const IDENTITY_FIELD: &'static str;

    /// Converts the entry to a leaf.
    ///
    /// # Errors
    /// An [`EntryFault`] if the entry names no usable leaf.
    fn into_leaf(self) -> Result<ListedLeaf, EntryFault>;
}

/// JSON field names of a page.
#[derive(Debug, Clone, Copy)]
pub struct PageFields {
    /// Field with the list of entries.
    pub entries: &'static str,
    /// Field with the token of the next page.
    pub next: &'static str,
}

/// Parses a page. If the page is not a valid document, recovers the entries that are valid on their
/// own.
///
/// # Errors
/// The JSON error if the list of entries or the token of the next page is missing or unreadable.
pub fn read_page<E: DirectoryEntry>(
    body: &[u8],
    fields: PageFields,
) -> Result<DirectoryPage, serde_json::Error> {
    let text = String::from_utf8_lossy(body);
    match ValidPage::read(&text, fields) {
        Ok(page) => Ok(page.into_directory_page::<E>()),
        Err(error) => recover_page::<E>(&text, fields).ok_or(error),
    }
}

/// A page that is a valid JSON document.
struct ValidPage<'text> {
    entries: Vec<&'text RawValue>,
    next: Option<String>,
}

impl<'text> ValidPage<'text> {
    fn read(text: &'text str, fields: PageFields) -> Result<Self, serde_json::Error> {
        let mut page: BTreeMap<String, &'text RawValue> = serde_json::from_str(text)?;
        let field = |value: Option<&'text RawValue>| value.map_or("null", RawValue::get);
        let entries = serde_json::from_str(field(page.remove(fields.entries)))?;
        let next = serde_json::from_str(field(page.remove(fields.next)))?;
        Ok(Self { entries, next })
    }

    fn into_directory_page<E: DirectoryEntry>(self) -> DirectoryPage {
        let mut page = DirectoryPage { leaves: Vec::new(), left_out: Vec::new(), next: self.next };
        for entry in self.entries {
            match read_entry::<E>(entry.get()) {
                Ok(leaf) => page.leaves.push(leaf),
                Err(fault) => {
                    page.left_out
                        .push(RejectedEntry { leaf: entry_identity::<E>(entry.get()), fault });
                }
            }
        }
        page
    }
}

fn read_entry<E: DirectoryEntry>(text: &str) -> Result<ListedLeaf, EntryFault> {
    if text.contains(REPLACEMENT) {
        return Err(EntryFault::Unreadable);
    }
    let entry: E = serde_json::from_str(text).map_err(|_| EntryFault::Malformed)?;
    entry.into_leaf()
}

/// The identity in an unusable entry, if that field is readable.
fn entry_identity<E: DirectoryEntry>(text: &str) -> Option<LeafIdentity> {
    let mut fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    let identity: String = serde_json::from_str(fields.remove(E::IDENTITY_FIELD)?.get()).ok()?;
    let is_valid = !identity.is_empty() && !identity.contains(REPLACEMENT);
    is_valid.then(|| LeafIdentity::of_run(&identity, None))
}

/// Recovers the usable entries of a corrupted page by parsing an object at each `{`. The rest of
/// the page counts as one unreadable entry without an identity.
fn recover_page<E: DirectoryEntry>(text: &str, fields: PageFields) -> Option<DirectoryPage> {
    let next = recover_next(text, fields)?;
    let mut page = DirectoryPage { leaves: Vec::new(), left_out: Vec::new(), next };
    let (_, mut rest) = text.split_once(&quoted(fields.entries))?;
    let mut failed_candidates = 0;
    while let Some(begin) = rest.find('{') {
        rest = &rest[begin..];
        match leading_entry::<E>(rest) {
            Some((leaf, length)) => {
                page.leaves.push(leaf);
                rest = &rest[length..];
            }
            None => {
                failed_candidates += 1;
                if failed_candidates > MAX_FAILED_CANDIDATES {
                    return None;
                }
                rest = &rest[1..];
            }
        }
    }
    page.left_out.push(RejectedEntry { leaf: None, fault: EntryFault::Unreadable });
    Some(page)
}

/// The usable entry at the start of the text, with its length in bytes.
fn leading_entry<E: DirectoryEntry>(text: &str) -> Option<(ListedLeaf, usize)> {
    let mut objects = serde_json::Deserializer::from_str(text).into_iter::<IgnoredAny>();
    objects.next()?.ok()?;
    let length = objects.byte_offset();
    Some((read_entry::<E>(&text[..length]).ok()?, length))
}

/// The token of the next page; the outer `None` if the field cannot be read.
fn recover_next(text: &str, fields: PageFields) -> Option<Option<String>> {
    let (_, value) = text.rsplit_once(&quoted(fields.next))?;
    let value = value.trim_start().strip_prefix(':')?;
    let mut values = serde_json::Deserializer::from_str(value).into_iter::<Option<String>>();
    values.next()?.ok()
}

fn quoted(name: &str) -> String {
    format!("\"{name}\"")
}
