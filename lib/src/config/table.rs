//! Append-only tables of named records with small `Copy` keys.

use std::{
    collections::BTreeMap,
    ops::{Index, IndexMut},
};

use la_arena::{Arena, Idx};
use smol_str::SmolStr;

/// Named records in an arena.
///
/// Records are never removed, only marked; keys therefore stay valid in every later version and
/// are equal on all instances that applied the same patches.
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
    /// Adds a record; the name must be free.
    pub fn insert(&mut self, name: SmolStr, record: T) -> Idx<T> {
        let key = self.arena.alloc(record);
        self.index.insert(name, key);
        key
    }

    /// Key of the record named `name`, removed or not.
    pub fn key(&self, name: &str) -> Option<Idx<T>> {
        self.index.get(name).copied()
    }

    /// All records in the order they were added.
    pub fn iter(&self) -> impl Iterator<Item = (Idx<T>, &T)> {
        self.arena.iter()
    }

    /// Number of records, removed ones included.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no record was ever added.
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
