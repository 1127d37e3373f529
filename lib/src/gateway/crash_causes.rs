//! Finds what crashes servers from what was present at their crashes.
//!
//! The cause that explains the most crashes comes first. Others count only with the crashes that it does
//! not explain. Causes that explain equally many are refused together: requests that have only some of them
//! may tell which one it is.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Lowest bit of a cause that is a prompt part.
const PART_BIT: u64 = 1;
/// Number of crashes after which requests with the same content are refused.
const MIN_CONTENT_CRASHES: usize = 2;
/// Number of crashes after which requests with the same prompt part are refused. More than for whole
/// requests, since unrelated requests share parts and one crash may hit several of them.
const MIN_PART_CRASHES: usize = 3;

/// Hash of what may crash servers: a request's content or a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CauseHash(u64);

impl CauseHash {
    /// The cause of requests whose content has this hash.
    pub const fn of_content(hash: u64) -> CauseHash {
        CauseHash(hash & !PART_BIT)
    }

    /// The cause of requests with a prompt part that has this hash.
    pub const fn of_part(hash: u64) -> CauseHash {
        CauseHash(hash | PART_BIT)
    }

    /// The hash.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Number of crashes after which requests with the cause are refused.
    pub(super) const fn min_crashes(self) -> usize {
        if self.0 & PART_BIT == 0 {
            MIN_CONTENT_CRASHES
        } else {
            MIN_PART_CRASHES
        }
    }
}

/// Hash of the server's id and the start of its process, which identifies a crash.
pub type CrashHash = u32;

/// Causes whose requests are refused, each with the crashes at which it was present.
#[derive(Debug, Default)]
pub(super) struct CauseTable {
    refused: BTreeMap<CauseHash, BTreeSet<CrashHash>>,
}

impl CauseTable {
    /// Finds the causes of crashes from the causes that were `present` at each.
    pub(super) fn find(present: impl Iterator<Item = (CauseHash, CrashHash)>) -> CauseTable {
        let mut crashes: BTreeMap<CauseHash, BTreeSet<CrashHash>> = BTreeMap::new();
        for (cause, crash) in present {
            crashes.entry(cause).or_default().insert(crash);
        }
        let mut unexplained = crashes.clone();
        let mut refused = BTreeMap::new();
        loop {
            unexplained.retain(|cause, crashes| crashes.len() >= cause.min_crashes());
            let Some(most) = unexplained.values().map(BTreeSet::len).max() else {
                return CauseTable { refused };
            };
            let found = unexplained.extract_if(.., |_, crashes| crashes.len() == most);
            let mut explained = BTreeSet::new();
            for (cause, own) in found {
                explained.extend(own);
                refused.extend(crashes.remove_entry(&cause));
            }
            for own in unexplained.values_mut() {
                own.retain(|crash| !explained.contains(crash));
            }
        }
    }

    /// All causes, each with the number of crashes at which it was present.
    pub(super) fn causes(&self) -> impl Iterator<Item = (CauseHash, usize)> {
        let refused = self.refused.iter();
        refused.map(|(cause, crashes)| (*cause, crashes.len()))
    }

    /// Number of crashes of a cause; 0 if it is not refused.
    pub(super) fn crash_count(&self, cause: CauseHash) -> usize {
        self.refused.get(&cause).map_or(0, BTreeSet::len)
    }

    /// Whether other refused causes, of which a request has none, may explain the crashes of `cause`.
    /// `present` are the causes of the request.
    pub(super) fn is_doubtful(&self, cause: CauseHash, present: &[CauseHash]) -> bool {
        let Some(crashes) = self.refused.get(&cause) else {
            return true;
        };
        let others = self
            .refused
            .iter()
            .filter(|(other, _)| !present.contains(other));
        let explained: BTreeSet<&CrashHash> = others.flat_map(|(_, crashes)| crashes).collect();
        let unexplained = crashes.iter().filter(|crash| !explained.contains(crash));
        unexplained.count() < cause.min_crashes()
    }
}
