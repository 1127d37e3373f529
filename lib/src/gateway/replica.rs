//! Local replica of the catalog, which is the set of all items that the platform publishes, with
//! the revision up to which the replica is complete.
//!
//! Instances that read the platform's store forward changes to those that do not. The revision of
//! an entry only increases, so late and duplicate answers have no effect.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::catalog::{PublishedChange, PublishedItem, ServingConfig};

/// Maximum number of removed entries kept for peers that lag behind. A peer that lags further gets
/// a snapshot.
const MAX_KEPT_REMOVALS: usize = 1_024;

#[derive(Clone, Debug)]
struct CatalogEntry {
    revision: u64,
    item: Option<PublishedItem>,
}

/// Changes of the catalog after some revision, or a snapshot of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogPage {
    /// The changes.
    pub changes: Vec<PublishedChange>,
    /// Whether the changes are a snapshot, so that all other items have been removed.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Revision up to which a replica is complete once these changes are applied.
    pub revision: u64,
}

/// Replica of all published items with their revisions.
#[derive(Debug, Default)]
pub struct CatalogReplica {
    entries: BTreeMap<SmolStr, CatalogEntry>,
    revision: u64,
    last_change: u64,
    /// Removals up to this revision have been dropped from the entries.
    dropped_removals: u64,
    config: Option<Arc<ServingConfig>>,
}

impl CatalogReplica {
    /// Revision up to which the replica is complete; 0 if nothing has been received yet.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the newest change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Marks the replica as complete up to `revision`: there is no change between the newest known
    /// one and that revision.
    pub fn confirm(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// The current configuration.
    pub fn config(&self) -> Option<&Arc<ServingConfig>> {
        self.config.as_ref()
    }

    /// All current items, with their keys.
    pub fn items(&self) -> impl Iterator<Item = (&SmolStr, &PublishedItem)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.item.as_ref()?)))
    }

    /// Applies a page and returns the changes that were new.
    pub fn apply(&mut self, page: CatalogPage) -> Vec<PublishedChange> {
        let mut applied = Vec::new();
        if page.is_snapshot {
            self.remove_missing(&page, &mut applied);
        }
        for change in page.changes {
            if self.apply_change(&change) {
                applied.push(change);
            }
        }
        self.revision = self.revision.max(page.revision);
        self.drop_old_removals();
        applied
    }

    fn remove_missing(&mut self, page: &CatalogPage, applied: &mut Vec<PublishedChange>) {
        let listed: std::collections::BTreeSet<&SmolStr> =
            page.changes.iter().map(|change| &change.key).collect();
        for (key, entry) in &mut self.entries {
            if entry.item.is_some() && entry.revision <= page.revision && !listed.contains(key) {
                entry.item = None;
                entry.revision = page.revision;
                self.last_change = self.last_change.max(page.revision);
                applied.push(PublishedChange {
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
            // The configuration's version never decreases while the process runs.
            if self
                .config
                .as_ref()
                .is_some_and(|known| known.version >= config.version)
            {
                return false;
            }
            self.config = Some(config.clone());
        }
        self.last_change = self.last_change.max(change.revision);
        self.entries.insert(
            change.key.clone(),
            CatalogEntry {
                revision: change.revision,
                item: change.item.clone(),
            },
        );
        true
    }

    fn drop_old_removals(&mut self) {
        let removed = || {
            self.entries
                .iter()
                .filter(|(_, entry)| entry.item.is_none())
        };
        if removed().count() <= MAX_KEPT_REMOVALS {
            return;
        }
        let mut removals: Vec<(u64, SmolStr)> = removed()
            .map(|(key, entry)| (entry.revision, key.clone()))
            .collect();
        removals.sort_unstable();
        for (revision, key) in removals.drain(..removals.len() - MAX_KEPT_REMOVALS / 2) {
            self.dropped_removals = self.dropped_removals.max(revision);
            self.entries.remove(&key);
        }
    }

    /// Changes that are missing in a replica that is complete up to `after`.
    pub fn changes_after(&self, after: u64) -> CatalogPage {
        let is_snapshot = after <= self.dropped_removals;
        let changes = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                if is_snapshot {
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
            is_snapshot,
            revision: self.revision,
        }
    }
}
