//! Delta between two sorted lists, by the keys of their entries.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::nodes::{Member, Server};

/// An entry of a list that is sorted by a unique key.
pub(super) trait Keyed {
    /// Identifies the entry in its list.
    type Key: Ord + Clone;

    fn key(&self) -> &Self::Key;

    /// Whether a receiver that has this entry does not need an update to `other`, an entry with the same key.
    fn is_equivalent_to(&self, other: &Self) -> bool;
}

impl Keyed for Server {
    type Key = String;

    fn key(&self) -> &String {
        &self.id
    }

    /// Ignores the remaining slow start: it decreases with time, and each receiver computes the decrease itself.
    fn is_equivalent_to(&self, other: &Self) -> bool {
        self.backend == other.backend
            && self.addr == other.addr
            && self.zone == other.zone
            && self.capacity == other.capacity
            && self.ready == other.ready
    }
}

impl Keyed for Member {
    type Key = String;

    fn key(&self) -> &String {
        &self.node
    }

    fn is_equivalent_to(&self, other: &Self) -> bool {
        self == other
    }
}

/// The hash of an edge, which serves as its key.
impl Keyed for u64 {
    type Key = u64;

    fn key(&self) -> &u64 {
        self
    }

    fn is_equivalent_to(&self, other: &Self) -> bool {
        self == other
    }
}

/// The changes that turn one list into another: entries to insert or replace, and keys to remove.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ListDelta<T, K> {
    upserted: Vec<T>,
    removed: Vec<K>,
}

impl<T: Keyed<Key = K> + Clone, K: Ord + Clone> ListDelta<T, K> {
    /// The delta from an empty list to `entries`.
    pub(super) fn from_empty(entries: &[T]) -> Self {
        ListDelta { upserted: entries.to_vec(), removed: Vec::new() }
    }

    /// The delta from `old` to `new`, both of which are sorted by key.
    pub(super) fn between(old: &[T], new: &[T]) -> Self {
        let mut delta = ListDelta { upserted: Vec::new(), removed: Vec::new() };
        let mut old = old.iter().peekable();
        let mut new = new.iter().peekable();
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return delta,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old_entry), Some(new_entry)) => old_entry.key().cmp(new_entry.key()),
            };
            let old_entry = if order.is_le() { old.next() } else { None };
            let new_entry = if order.is_ge() { new.next() } else { None };
            delta.add_change(old_entry, new_entry);
        }
    }

    /// Adds the change from `old` to `new`, which have the same key. `None` stands for an entry that is missing from
    /// its list.
    fn add_change(&mut self, old: Option<&T>, new: Option<&T>) {
        match (old, new) {
            (Some(old), None) => self.removed.push(old.key().clone()),
            (Some(old), Some(new)) if old.is_equivalent_to(new) => {}
            (_, Some(new)) => self.upserted.push(new.clone()),
            (None, None) => {}
        }
    }

    /// Applies the delta to the old list, which must be sorted by key.
    pub(super) fn apply(&self, list: &mut Vec<T>) {
        if !self.removed.is_empty() {
            let removed: BTreeSet<&K> = self.removed.iter().collect();
            list.retain(|entry| !removed.contains(entry.key()));
        }
        for entry in &self.upserted {
            match list.binary_search_by(|known| known.key().cmp(entry.key())) {
                Ok(index) => list[index] = entry.clone(),
                Err(index) => list.insert(index, entry.clone()),
            }
        }
    }

    /// Whether a receiver of the old list needs no update.
    pub(super) fn is_empty(&self) -> bool {
        self.upserted.is_empty() && self.removed.is_empty()
    }

    /// Whether the delta only inserts or replaces entries.
    pub(super) fn removes_nothing(&self) -> bool {
        self.removed.is_empty()
    }
}
