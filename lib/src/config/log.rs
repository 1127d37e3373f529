//! The log of patches that the platform publishes, and how an instance follows it.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;
use smol_str::SmolStr;

use super::{ConfigPatch, ConfigState, FaultKind, PatchFault};

/// Entries kept in memory for peers that lag behind.
const KEPT_ENTRIES: usize = 2_048;
/// Outcomes kept in memory for operators.
const KEPT_OUTCOMES: usize = 1_024;

/// One entry of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, counted from 1 without gaps.
    pub sequence: u64,
    /// A patch in JSON, as the operator published it.
    pub text: Arc<str>,
}

/// What became of one entry.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PatchOutcome {
    /// Position in the log.
    pub sequence: u64,
    /// The version after this entry.
    pub version: u64,
    /// Who made the patch, where it could be read.
    pub author: SmolStr,
    /// What the patch is for.
    pub note: SmolStr,
    /// Why it was rejected; `None` when it was accepted.
    pub fault: Option<PatchFault>,
}

/// Follows the log: applies entries in order, each once.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    state: Arc<ConfigState>,
    sequence: u64,
    entries: VecDeque<LogEntry>,
    outcomes: VecDeque<PatchOutcome>,
}

impl ConfigLog {
    /// The configuration in force.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Position of the last entry applied; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Outcomes of the latest entries, oldest first.
    pub fn outcomes(&self) -> impl Iterator<Item = &PatchOutcome> {
        self.outcomes.iter()
    }

    /// Applies the entry if it is the next one. Older and repeated entries are ignored.
    ///
    /// Returns the outcome of an entry that was applied, and `None` otherwise.
    pub fn append(&mut self, entry: LogEntry) -> Option<&PatchOutcome> {
        if entry.sequence != self.sequence + 1 {
            return None;
        }
        let outcome = self.judge(&entry);
        self.sequence = entry.sequence;
        push_bounded(&mut self.entries, entry, KEPT_ENTRIES);
        push_bounded(&mut self.outcomes, outcome, KEPT_OUTCOMES);
        self.outcomes.back()
    }

    fn judge(&mut self, entry: &LogEntry) -> PatchOutcome {
        let mut outcome = PatchOutcome {
            sequence: entry.sequence,
            version: self.state.version,
            author: SmolStr::default(),
            note: SmolStr::default(),
            fault: None,
        };
        let patch: ConfigPatch = match serde_json::from_str(&entry.text) {
            Ok(patch) => patch,
            Err(_) => {
                let fault = PatchFault::whole(FaultKind::Malformed, SmolStr::default());
                outcome.fault = Some(fault);
                return outcome;
            }
        };
        match self.state.apply(&patch) {
            Ok(next) => {
                outcome.version = next.version;
                self.state = Arc::new(next);
            }
            Err(fault) => outcome.fault = Some(fault),
        }
        outcome.author = patch.author;
        outcome.note = patch.note;
        outcome
    }

    /// Entries after `sequence` that are still kept, at most `max_bytes` of text in all.
    ///
    /// Returns `None` when the entry after `sequence` is no longer kept.
    pub fn entries_after(&self, sequence: u64, max_bytes: usize) -> Option<Vec<LogEntry>> {
        if sequence >= self.sequence {
            return Some(Vec::new());
        }
        let oldest = self.entries.front()?.sequence;
        let skip = usize::try_from((sequence + 1).checked_sub(oldest)?).ok()?;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let first = bytes == 0;
            bytes += entry.text.len();
            first || bytes <= max_bytes
        };
        Some(
            self.entries
                .iter()
                .skip(skip)
                .take_while(fits)
                .cloned()
                .collect(),
        )
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, limit: usize) {
    if queue.len() == limit {
        queue.pop_front();
    }
    queue.push_back(item);
}
