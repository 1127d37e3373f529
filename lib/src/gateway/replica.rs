//! Local replica of the catalog, which is the set of all items that the platform publishes, with
//! the revision up to which the replica is complete.
//!
//! Instances that read the platform's store forward changes to those that do not. The revision of
//! an entry only increases, so late and duplicate answers have no effect.
//!
//! A snapshot of a later era replaces the entries of earlier ones, except those that it lacks: they
//! may have been written after the copy from which the store was restored, and are kept until their
//! writers have had time to write them again.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize, Serializer, ser::SerializeMap};
use smol_str::SmolStr;

use super::{
    catalog::{PublishedChange, PublishedItem, ServingConfig},
    revision::StoreRevision,
};

/// Maximum number of removed entries kept for peers that lag behind. A peer that lags further gets
/// a snapshot.
const MAX_KEPT_REMOVALS: usize = 1_024;

#[derive(Clone, Debug)]
struct CatalogEntry {
    revision: StoreRevision,
    item: Option<PublishedItem>,
}

/// Changes of the catalog after some revision, or a snapshot of it. All revisions are of one era.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct CatalogPage {
    /// The changes.
    pub changes: Vec<PublishedChange>,
    /// Whether the changes are a snapshot, so that all other items have been removed.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Number of the revision up to which a replica is complete once these changes are applied.
    pub revision: u64,
    /// Era of all revisions.
    #[serde(default)]
    pub era: u64,
}

impl CatalogPage {
    /// Revision up to which a replica is complete once these changes are applied.
    pub fn complete_to(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }
}

// With field names, builds that do not know the era ignore it.
impl Serialize for CatalogPage {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(4))?;
        map.serialize_entry("changes", &self.changes)?;
        map.serialize_entry("whole", &self.is_snapshot)?;
        map.serialize_entry("revision", &self.revision)?;
        map.serialize_entry("era", &self.era)?;
        map.end()
    }
}

/// What a page did to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum PageOutcome {
    /// The changes that were new.
    Applied(Vec<PublishedChange>),
    /// The page is of an earlier era.
    Outdated,
    /// The page is of a later era and no snapshot, so that changes before it are unknown.
    Incomplete,
}

/// Replica of all published items with their revisions.
#[derive(Debug, Default)]
pub struct CatalogReplica {
    entries: BTreeMap<SmolStr, CatalogEntry>,
    revision: StoreRevision,
    last_change: StoreRevision,
    /// Removals up to this revision may be missing in the entries.
    missing_removals: StoreRevision,
    config: Option<Arc<ServingConfig>>,
}

impl CatalogReplica {
    /// Revision up to which the replica is complete; number 0 if nothing has been received yet.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Revision of the newest change, or of the last snapshot if it is newer.
    pub fn last_change(&self) -> StoreRevision {
        self.last_change
    }

    /// Whether nothing has been received yet.
    pub fn is_empty(&self) -> bool {
        self.revision.number == 0
    }

    /// Marks the replica as complete up to `revision`: there is no change between the newest known
    /// one and that revision.
    pub fn confirm(&mut self, revision: StoreRevision) {
        if revision.era == self.revision.era {
            self.revision = self.revision.max(revision);
        }
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

    /// Whether the item with this key is known to have been removed.
    pub fn is_removed(&self, key: &str) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.item.is_none())
    }

    /// Applies a page.
    pub fn apply(&mut self, page: CatalogPage) -> PageOutcome {
        if page.era < self.revision.era {
            return PageOutcome::Outdated;
        }
        if page.era > self.revision.era {
            if !page.is_snapshot {
                return PageOutcome::Incomplete;
            }
            self.revision = StoreRevision::new(page.era, 0);
            self.last_change = page.complete_to();
            self.missing_removals = self.revision;
        }
        let mut applied = Vec::new();
        let complete_to = page.complete_to();
        if page.is_snapshot {
            self.remove_missing(&page, &mut applied);
            // Items that were unknown here may have been removed before the snapshot.
            self.missing_removals = self.missing_removals.max(complete_to);
            self.last_change = self.last_change.max(complete_to);
        }
        let is_late = complete_to < self.revision;
        for change in page.changes {
            let revision = StoreRevision::new(page.era, change.revision);
            if is_late && self.was_removed(&change.key, revision) {
                continue;
            }
            if self.apply_change(revision, &change) {
                applied.push(change);
            }
        }
        self.revision = self.revision.max(complete_to);
        self.drop_old_removals();
        PageOutcome::Applied(applied)
    }

    fn remove_missing(&mut self, page: &CatalogPage, applied: &mut Vec<PublishedChange>) {
        let listed: std::collections::BTreeSet<&SmolStr> =
            page.changes.iter().map(|change| &change.key).collect();
        let revision = page.complete_to();
        for (key, entry) in &mut self.entries {
            let is_older = entry.revision.era == revision.era && entry.revision <= revision;
            if entry.item.is_some() && is_older && !listed.contains(key) {
                entry.item = None;
                entry.revision = revision;
                self.last_change = self.last_change.max(revision);
                applied.push(PublishedChange {
                    key: key.clone(),
                    revision: revision.number,
                    item: None,
                });
            }
        }
    }

    /// Whether an item that was written at `revision` had been removed by the revision up to which the
    /// replica is complete.
    fn was_removed(&self, key: &str, revision: StoreRevision) -> bool {
        let known = self.entries.get(key);
        let is_known = known.is_some_and(|entry| entry.revision.era == revision.era);
        !is_known && revision <= self.revision
    }

    fn apply_change(&mut self, revision: StoreRevision, change: &PublishedChange) -> bool {
        if let Some(entry) = self.entries.get(&change.key)
            && entry.revision >= revision
        {
            return false;
        }
        let mut item = change.item.clone();
        let mut is_new = true;
        if let Some(PublishedItem::Config(config)) = &change.item {
            // The configuration's version never decreases while the process runs.
            match &self.config {
                Some(known) if known.version >= config.version => {
                    item = Some(PublishedItem::Config(known.clone()));
                    is_new = false;
                }
                _ => self.config = Some(config.clone()),
            }
        }
        self.last_change = self.last_change.max(revision);
        self.entries
            .insert(change.key.clone(), CatalogEntry { revision, item });
        is_new
    }

    /// Removes the items of earlier eras that the snapshot of the current one lacked, except the
    /// configuration. Returns their removals.
    pub fn remove_earlier_eras(&mut self) -> Vec<PublishedChange> {
        let era = self.revision.era;
        let number = self.revision.number;
        let mut removals = Vec::new();
        self.entries.retain(|key, entry| {
            if entry.revision.era == era {
                return true;
            }
            if matches!(entry.item, Some(PublishedItem::Config(_))) {
                return true;
            }
            if entry.item.is_some() {
                removals.push(PublishedChange {
                    key: key.clone(),
                    revision: number,
                    item: None,
                });
            }
            false
        });
        removals
    }

    /// Goes back to an earlier era, whose next snapshot replaces all entries.
    pub fn lower_era(&mut self, era: u64) {
        for entry in self.entries.values_mut() {
            entry.revision = StoreRevision::new(era, 0);
        }
        self.revision = StoreRevision::new(era, 0);
        self.last_change = self.revision;
        self.missing_removals = self.revision;
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
        let mut removals: Vec<(StoreRevision, SmolStr)> = removed()
            .map(|(key, entry)| (entry.revision, key.clone()))
            .collect();
        removals.sort_unstable();
        for (revision, key) in removals.drain(..removals.len() - MAX_KEPT_REMOVALS / 2) {
            self.missing_removals = self.missing_removals.max(revision);
            self.entries.remove(&key);
        }
    }

    /// Changes that are missing in a replica that is complete up to `after`. Entries of earlier eras
    /// are left out, because the store may not have them.
    pub fn changes_after(&self, after: StoreRevision) -> CatalogPage {
        let era = self.revision.era;
        let is_empty = after.number == 0;
        let is_snapshot = after.era != era || is_empty || after < self.missing_removals;
        let changes = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision.era == era)
            .filter(|(_, entry)| {
                if is_snapshot {
                    entry.item.is_some()
                } else {
                    entry.revision > after
                }
            })
            .map(|(key, entry)| PublishedChange {
                key: key.clone(),
                revision: entry.revision.number,
                item: entry.item.clone(),
            })
            .collect();
        CatalogPage {
            changes,
            is_snapshot,
            revision: self.revision.number,
            era,
        }
    }
}
