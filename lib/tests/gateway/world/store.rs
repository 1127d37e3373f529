//! Fake of the platform's store, which can be restored from an older copy of itself.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{PublishedChange, PublishedItem},
        event::StoreError,
        replica::CatalogPage,
    },
};

struct StoreWrite {
    time: ClockTime,
    key: SmolStr,
    revision: u64,
    item: Option<PublishedItem>,
}

/// The store with all writes of its current history.
#[derive(Default)]
pub(crate) struct FakeStore {
    history: Vec<StoreWrite>,
    revision: u64,
    /// Number of restores.
    pub(crate) era: u64,
    pub(crate) is_down: bool,
    /// Share of the answers that arrive late.
    pub(crate) late_share: f64,
}

impl FakeStore {
    pub(crate) fn write(&mut self, now: ClockTime, key: &str, item: Option<PublishedItem>) {
        self.revision += 1;
        self.history.push(StoreWrite {
            time: now,
            key: key.into(),
            revision: self.revision,
            item,
        });
    }

    /// Restores the store from a copy of the given age.
    pub(crate) fn restore(&mut self, now: ClockTime, age: Duration) {
        self.history
            .retain(|write| write.time.as_micros() + age.as_micros() as u64 <= now.as_micros());
        self.revision = self.history.last().map_or(1, |write| write.revision);
        self.era += 1;
    }

    /// The item with this key.
    pub(crate) fn item(&self, key: &str) -> Option<&PublishedItem> {
        let write = self.history.iter().rev().find(|write| write.key == key)?;
        write.item.as_ref()
    }

    fn newest_writes(&self) -> BTreeMap<&SmolStr, &StoreWrite> {
        let writes = self.history.iter();
        writes.map(|write| (&write.key, write)).collect()
    }

    fn page(&self, is_snapshot: bool, after: u64) -> CatalogPage {
        let writes = self.newest_writes();
        let changes = writes
            .values()
            .filter(|write| write.revision > after && !(is_snapshot && write.item.is_none()))
            .map(|write| PublishedChange {
                key: write.key.clone(),
                revision: write.revision,
                item: write.item.clone(),
            });
        CatalogPage {
            changes: changes.collect(),
            is_snapshot,
            revision: self.revision,
            era: self.era,
        }
    }

    pub(crate) fn snapshot(&self) -> Result<CatalogPage, StoreError> {
        if self.is_down {
            return Err(StoreError::Unavailable);
        }
        Ok(self.page(true, 0))
    }

    pub(crate) fn changes_after(&self, after: u64) -> Result<CatalogPage, StoreError> {
        if self.is_down {
            return Err(StoreError::Unavailable);
        }
        if after > self.revision {
            return Err(StoreError::HistoryGone);
        }
        Ok(self.page(false, after))
    }
}
