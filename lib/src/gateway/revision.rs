//! Revisions of the platform's store across restores from older copies.

use std::fmt;

/// Revision of the store, ordered across restores.
///
/// A store that is restored from a copy goes back to an older revision and uses the following ones
/// again. It then reports a higher era. Revisions are comparable by number only within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Number of restores that the store reports; 0 if it reports none.
    pub era: u64,
    /// Revision within the era.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> StoreRevision {
        StoreRevision { era, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
