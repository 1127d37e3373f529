//! The configuration log: patches published by the platform, applied in order.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;
use smol_str::SmolStr;

use super::{ConfigPatch, ConfigState, PatchError, PatchErrorKind};

/// Number of entries retained for peers that lag behind.
const MAX_RETAINED_ENTRIES: usize = 2_048;
/// Number of outcomes retained for operators.
const MAX_RETAINED_OUTCOMES: usize = 1_024;

/// An entry of the configuration log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, counted from 1 without gaps.
    pub sequence: u64,
    /// The patch in JSON, as published by the operator.
    pub text: Arc<str>,
}

/// Outcome of a log entry.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PatchOutcome {
    /// Position in the log.
    pub sequence: u64,
    /// Configuration version after this entry.
    pub version: u64,
    /// Author of the patch; empty if the patch could not be decoded.
    pub author: SmolStr,
    /// Purpose of the patch, as stated by its author.
    pub note: SmolStr,
    /// Reason for rejecting the patch; `None` if it was accepted.
    pub fault: Option<PatchError>,
}

/// The configuration as it results from the log, with the most recent entries and their outcomes.
///
/// Entries are applied in order, each exactly once.
#[derive(Clone, Debug, Default)]
pub struct ConfigLog {
    state: Arc<ConfigState>,
    sequence: u64,
    entries: VecDeque<LogEntry>,
    outcomes: VecDeque<PatchOutcome>,
}

impl ConfigLog {
    /// The current configuration.
    pub fn state(&self) -> &Arc<ConfigState> {
        &self.state
    }

    /// Position of the last processed entry; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Outcomes of the most recent entries, oldest first.
    pub fn outcomes(&self) -> impl Iterator<Item = &PatchOutcome> {
        self.outcomes.iter()
    }

    /// Processes the entry if it is the next one; all others are ignored.
    ///
    /// Returns the outcome of a processed entry, and `None` if the entry was ignored.
    pub fn append(&mut self, entry: LogEntry) -> Option<&PatchOutcome> {
        if entry.sequence != self.sequence + 1 {
            return None;
        }
        let outcome = self.apply(&entry);
        self.sequence = entry.sequence;
        push_bounded(&mut self.entries, entry, MAX_RETAINED_ENTRIES);
        push_bounded(&mut self.outcomes, outcome, MAX_RETAINED_OUTCOMES);
        self.outcomes.back()
    }

    fn apply(&mut self, entry: &LogEntry) -> PatchOutcome {
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
                let error = PatchError::whole(PatchErrorKind::Malformed, SmolStr::default());
                outcome.fault = Some(error);
                return outcome;
            }
        };
        match self.state.apply(&patch) {
            Ok(next) => {
                outcome.version = next.version;
                self.state = Arc::new(next);
            }
            Err(error) => outcome.fault = Some(error),
        }
        outcome.author = patch.author;
        outcome.note = patch.note;
        outcome
    }

    /// Retained entries after `sequence`, up to a total of `max_bytes` of text but at least one.
    ///
    /// Returns `None` if the entry after `sequence` is no longer retained.
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
