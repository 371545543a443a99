//! The start time of a leaf as part of its identity.

use crate::identifiers::LeafIdentity;

/// Separates the name of a leaf from its start time. A name that contains the separator and has no
/// start time gets a trailing separator, so that no part of the name is taken for a start time.
const SEPARATOR: char = '@';

/// Start time of a leaf by the clock of its machine, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeafStart(pub u64);

impl LeafIdentity {
    /// The identity of a leaf that started at `start`, or of one that does not report its start
    /// time.
    pub fn of_run(name: &str, start: Option<LeafStart>) -> Self {
        match start {
            Some(LeafStart(start)) => Self::new(format!("{name}{SEPARATOR}{start}")),
            None if name.contains(SEPARATOR) => Self::new(format!("{name}{SEPARATOR}")),
            None => Self::new(name),
        }
    }

    /// The name of the leaf without its start time; stable across restarts.
    pub fn name(&self) -> &str {
        self.as_str().rsplit_once(SEPARATOR).map_or(self.as_str(), |(name, _)| name)
    }

    /// The start time, if the leaf reports one.
    pub fn start(&self) -> Option<LeafStart> {
        let (_, start) = self.as_str().rsplit_once(SEPARATOR)?;
        start.parse().ok().map(LeafStart)
    }
}
