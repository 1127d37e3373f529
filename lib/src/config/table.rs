//! Append-only tables of named records.

use std::{
    collections::BTreeMap,
    ops::{Index, IndexMut},
};

use la_arena::{Arena, Idx};
use smol_str::SmolStr;

/// An append-only table of named records, indexed by small `Copy` keys.
///
/// Records are marked as removed rather than deleted. Keys therefore remain valid in all later
/// versions, and are the same on all instances that applied the same patches.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordTable<T> {
    arena: Arena<T>,
    index: BTreeMap<SmolStr, Idx<T>>,
}

impl<T> Default for RecordTable<T> {
    fn default() -> Self {
        RecordTable {
            arena: Arena::new(),
            index: BTreeMap::new(),
        }
    }
}

impl<T> RecordTable<T> {
    /// Adds a record under an unused name.
    pub fn insert(&mut self, name: SmolStr, record: T) -> Idx<T> {
        let key = self.arena.alloc(record);
        self.index.insert(name, key);
        key
    }

    /// Key of the record named `name`, even if it is marked as removed.
    pub fn key(&self, name: &str) -> Option<Idx<T>> {
        self.index.get(name).copied()
    }

    /// All records, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (Idx<T>, &T)> {
        self.arena.iter()
    }

    /// Number of records, including removed ones.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}

impl<T> Index<Idx<T>> for RecordTable<T> {
    type Output = T;

    fn index(&self, key: Idx<T>) -> &T {
        &self.arena[key]
    }
}

impl<T> IndexMut<Idx<T>> for RecordTable<T> {
    fn index_mut(&mut self, key: Idx<T>) -> &mut T {
        &mut self.arena[key]
    }
}
