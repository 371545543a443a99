//! When a leaf started, as a part of its identity.

use crate::identifiers::LeafIdentity;

/// Stands between the name of a leaf and its start. A name that holds it is followed by another one, so that no name
/// is taken for one with a start.
const SEPARATOR: char = '@';

/// When a leaf started, by the clock of its machine: milliseconds since 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafStart(pub u64);

impl LeafIdentity {
    /// The identity of the run of a leaf that began at `start`, or of a leaf that does not tell its start.
    pub fn of_run(name: &str, start: Option<LeafStart>) -> Self {
        match start {
            Some(LeafStart(start)) => Self::new(format!("{name}{SEPARATOR}{start}")),
            None if name.contains(SEPARATOR) => Self::new(format!("{name}{SEPARATOR}")),
            None => Self::new(name),
        }
    }

    /// The name that the leaf goes by, whenever it started.
    pub fn name(&self) -> &str {
        self.as_str().rsplit_once(SEPARATOR).map_or(self.as_str(), |(name, _)| name)
    }

    /// When this run began; none where the leaf does not tell.
    pub fn start(&self) -> Option<LeafStart> {
        let (_, start) = self.as_str().rsplit_once(SEPARATOR)?;
        start.parse().ok().map(LeafStart)
    }
}
