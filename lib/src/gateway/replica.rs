//! What is known of the platform's publications, and how far it is complete.
//!
//! Instances that read the platform's store pass changes on to those that do not. An entry only
//! ever moves to a larger revision, so that late and repeated answers change nothing.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::catalog::{PublishedChange, PublishedItem, ServingConfig};

/// Removed entries kept for peers that are behind; older ones are passed on as a whole board.
const KEPT_REMOVALS: usize = 1_024;

#[derive(Clone, Debug)]
struct BoardEntry {
    revision: u64,
    item: Option<PublishedItem>,
}

/// Changes for a peer that is behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogPage {
    /// The changes.
    pub changes: Vec<PublishedChange>,
    /// Whether the changes are the whole board, so that anything else is gone.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Revision up to which the board is complete with these changes.
    pub revision: u64,
}

/// All published items with their revisions.
#[derive(Debug, Default)]
pub struct CatalogReplica {
    entries: BTreeMap<SmolStr, BoardEntry>,
    revision: u64,
    changed: u64,
    /// Removals with a revision up to this one have been forgotten.
    forgotten: u64,
    config: Option<Arc<ServingConfig>>,
}

impl CatalogReplica {
    /// Revision up to which the board is complete; 0 while nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Notes that nothing has changed after the newest change known here up to `revision`.
    pub fn extend(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<ServingConfig>> {
        self.config.as_ref()
    }

    /// All items in force.
    pub fn items(&self) -> impl Iterator<Item = (&SmolStr, &PublishedItem)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.item.as_ref()?)))
    }

    /// Takes in a page; returns the changes that were new.
    pub fn apply(&mut self, page: CatalogPage) -> Vec<PublishedChange> {
        let mut fresh = Vec::new();
        if page.is_snapshot {
            self.remove_missing(&page, &mut fresh);
        }
        for change in page.changes {
            if self.apply_change(&change) {
                fresh.push(change);
            }
        }
        self.revision = self.revision.max(page.revision);
        self.forget_removals();
        fresh
    }

    fn remove_missing(&mut self, page: &CatalogPage, fresh: &mut Vec<PublishedChange>) {
        let listed: std::collections::BTreeSet<&SmolStr> =
            page.changes.iter().map(|change| &change.key).collect();
        for (key, entry) in &mut self.entries {
            if entry.item.is_some() && entry.revision <= page.revision && !listed.contains(key) {
                entry.item = None;
                entry.revision = page.revision;
                self.changed = self.changed.max(page.revision);
                fresh.push(PublishedChange {
                    key: key.clone(),
                    revision: page.revision,
                    item: None,
                });
            }
        }
    }

    fn apply_change(&mut self, change: &PublishedChange) -> bool {
        if let Some(entry) = self.entries.get(&change.key)
            && entry.revision >= change.revision
        {
            return false;
        }
        if let Some(PublishedItem::Config(config)) = &change.item {
            // A configuration never goes back within a process life.
            if self
                .config
                .as_ref()
                .is_some_and(|known| known.version >= config.version)
            {
                return false;
            }
            self.config = Some(config.clone());
        }
        self.changed = self.changed.max(change.revision);
        self.entries.insert(
            change.key.clone(),
            BoardEntry {
                revision: change.revision,
                item: change.item.clone(),
            },
        );
        true
    }

    fn forget_removals(&mut self) {
        let removed = || {
            self.entries
                .iter()
                .filter(|(_, entry)| entry.item.is_none())
        };
        if removed().count() <= KEPT_REMOVALS {
            return;
        }
        let mut removals: Vec<(u64, SmolStr)> = removed()
            .map(|(key, entry)| (entry.revision, key.clone()))
            .collect();
        removals.sort_unstable();
        for (revision, key) in removals.drain(..removals.len() - KEPT_REMOVALS / 2) {
            self.forgotten = self.forgotten.max(revision);
            self.entries.remove(&key);
        }
    }

    /// What a peer whose board is complete up to `after` lacks.
    pub fn page_after(&self, after: u64) -> CatalogPage {
        let whole = after <= self.forgotten;
        let changes = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                if whole {
                    entry.item.is_some()
                } else {
                    entry.revision > after
                }
            })
            .map(|(key, entry)| PublishedChange {
                key: key.clone(),
                revision: entry.revision,
                item: entry.item.clone(),
            })
            .collect();
        CatalogPage {
            changes,
            is_snapshot: whole,
            revision: self.revision,
        }
    }
}
