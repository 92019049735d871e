//! Difference of two sorted lists, by the keys of their entries.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::nodes::{Member, Server};

/// An entry of a list that is sorted by a key, each key once.
pub(super) trait Keyed {
    /// Identifies the entry in its list.
    type Key: Ord + Clone;

    /// The key of this entry.
    fn key(&self) -> &Self::Key;

    /// Whether a receiver of this entry needs no update to `other`, which has the same key.
    fn needs_no_update_to(&self, other: &Self) -> bool;
}

impl Keyed for Server {
    type Key = String;

    fn key(&self) -> &String {
        &self.id
    }

    /// The remaining slow start is left out: it changes with time alone, and each receiver counts it down itself.
    fn needs_no_update_to(&self, other: &Self) -> bool {
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

    fn needs_no_update_to(&self, other: &Self) -> bool {
        self == other
    }
}

/// The hash of an edge, which is its own key.
impl Keyed for u64 {
    type Key = u64;

    fn key(&self) -> &u64 {
        self
    }

    fn needs_no_update_to(&self, other: &Self) -> bool {
        self == other
    }
}

/// The entries to insert or replace, and the keys to remove, that make one list of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ListDelta<T, K> {
    upserted: Vec<T>,
    removed: Vec<K>,
}

impl<T: Keyed<Key = K> + Clone, K: Ord + Clone> ListDelta<T, K> {
    /// The difference that inserts all entries of a list into an empty one.
    pub(super) fn from_empty(entries: &[T]) -> Self {
        ListDelta { upserted: entries.to_vec(), removed: Vec::new() }
    }

    /// The difference from `old` to `new`, both sorted by key.
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
            delta.add_difference(old_entry, new_entry);
        }
    }

    /// Adds the difference of two entries of the same key, either of which may be missing.
    fn add_difference(&mut self, old: Option<&T>, new: Option<&T>) {
        match (old, new) {
            (Some(old), None) => self.removed.push(old.key().clone()),
            (Some(old), Some(new)) if old.needs_no_update_to(new) => {}
            (_, Some(new)) => self.upserted.push(new.clone()),
            (None, None) => {}
        }
    }

    /// Makes the new list of the old one.
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

    /// Whether both lists are the same to a receiver.
    pub(super) fn is_empty(&self) -> bool {
        self.upserted.is_empty() && self.removed.is_empty()
    }

    /// Whether no entry is removed.
    pub(super) fn removes_nothing(&self) -> bool {
        self.removed.is_empty()
    }
}
