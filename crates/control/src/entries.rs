//! Entries of a list to which others may write, too: each is read by itself, so that one that cannot be used takes no
//! other with it.

use std::collections::BTreeMap;

use gingerkeel_domain::directory::{EntryFault, ListedLeaf, RejectedEntry};
use gingerkeel_domain::identifiers::LeafIdentity;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::value::RawValue;

use crate::ports::DirectoryPage;

/// Stands for bytes that are no text.
const NO_TEXT: char = char::REPLACEMENT_CHARACTER;
/// Places of a spoilt page at which an entry is looked for in vain. Each costs a look at the rest of the page; a page
/// with more of them is not worth reading.
const MOST_VAIN_PLACES: usize = 1_000;

/// A leaf in the form of one directory.
pub trait DirectoryEntry: DeserializeOwned {
    /// Name of the field that holds the leaf's identity.
    const IDENTITY: &'static str;

    /// The leaf.
    ///
    /// # Errors
    /// An [`EntryFault`] when the entry names no usable leaf.
    fn into_leaf(self) -> Result<ListedLeaf, EntryFault>;
}

/// Names of the fields of a page.
#[derive(Debug, Clone, Copy)]
pub struct PageFields {
    /// The list of entries.
    pub entries: &'static str,
    /// The name of the next page.
    pub next: &'static str,
}

/// Reads a page. One that is no whole document is searched for entries that are.
///
/// # Errors
/// What is wrong with a page that has no list of entries, or no readable name of the next page.
pub fn read_page<E: DirectoryEntry>(
    body: &[u8],
    fields: PageFields,
) -> Result<DirectoryPage, serde_json::Error> {
    let text = String::from_utf8_lossy(body);
    match WholePage::read(&text, fields) {
        Ok(page) => Ok(page.into_directory_page::<E>()),
        Err(error) => search_page::<E>(&text, fields).ok_or(error),
    }
}

/// A page that is a whole document.
struct WholePage<'text> {
    entries: Vec<&'text RawValue>,
    next: Option<String>,
}

impl<'text> WholePage<'text> {
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
                    page.left_out.push(RejectedEntry { leaf: identity::<E>(entry.get()), fault });
                }
            }
        }
        page
    }
}

fn read_entry<E: DirectoryEntry>(text: &str) -> Result<ListedLeaf, EntryFault> {
    if text.contains(NO_TEXT) {
        return Err(EntryFault::Unreadable);
    }
    let entry: E = serde_json::from_str(text).map_err(|_| EntryFault::Malformed)?;
    entry.into_leaf()
}

/// The leaf that an unusable entry names, where that can be read.
fn identity<E: DirectoryEntry>(text: &str) -> Option<LeafIdentity> {
    let mut fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    let identity: String = serde_json::from_str(fields.remove(E::IDENTITY)?.get()).ok()?;
    let is_sound = !identity.is_empty() && !identity.contains(NO_TEXT);
    is_sound.then(|| LeafIdentity::of_run(&identity, None))
}

/// Finds the usable entries of a page that is no whole document: each place at which an object begins is looked at. All
/// else of the page counts as one entry that names no leaf.
fn search_page<E: DirectoryEntry>(text: &str, fields: PageFields) -> Option<DirectoryPage> {
    let next = search_next(text, fields)?;
    let mut page = DirectoryPage { leaves: Vec::new(), left_out: Vec::new(), next };
    let (_, mut rest) = text.split_once(&quoted(fields.entries))?;
    let mut vain_places = 0;
    while let Some(begin) = rest.find('{') {
        rest = &rest[begin..];
        match first_object::<E>(rest) {
            Some((leaf, length)) => {
                page.leaves.push(leaf);
                rest = &rest[length..];
            }
            None => {
                vain_places += 1;
                if vain_places > MOST_VAIN_PLACES {
                    return None;
                }
                rest = &rest[1..];
            }
        }
    }
    page.left_out.push(RejectedEntry { leaf: None, fault: EntryFault::Unreadable });
    Some(page)
}

/// The usable entry with which a text begins, and its length.
fn first_object<E: DirectoryEntry>(text: &str) -> Option<(ListedLeaf, usize)> {
    let mut objects = serde_json::Deserializer::from_str(text).into_iter::<IgnoredAny>();
    objects.next()?.ok()?;
    let length = objects.byte_offset();
    Some((read_entry::<E>(&text[..length]).ok()?, length))
}

/// The name of the next page; none where it cannot be read.
fn search_next(text: &str, fields: PageFields) -> Option<Option<String>> {
    let (_, value) = text.rsplit_once(&quoted(fields.next))?;
    let value = value.trim_start().strip_prefix(':')?;
    let mut values = serde_json::Deserializer::from_str(value).into_iter::<Option<String>>();
    values.next()?.ok()
}

fn quoted(name: &str) -> String {
    format!("\"{name}\"")
}
