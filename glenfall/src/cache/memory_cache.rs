//! The cache in memory. It evicts the least recently used responses first, and finds the responses with a purged label
//! by an index.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use glenfall_control_plane::messages::{AgedPurge, Purge};
use lru::LruCache;
use tokio::time::Instant;

use super::object_key::ObjectKey;
use super::recent_purges::latest_acceptance;
use super::stored_response::StoredResponse;

/// Responses larger than the capacity divided by this are not stored.
const MAX_ENTRY_DIVISOR: usize = 8;

/// Stored responses, by object and by label.
pub struct Cache {
    entries: LruCache<ObjectKey, Rc<StoredResponse>>,
    /// The keys of the entries that have a label. No set is empty.
    keys_by_label: HashMap<Box<str>, HashSet<ObjectKey>>,
    bytes: usize,
    max_bytes: usize,
}

impl Cache {
    /// An empty cache that stores no more than `max_bytes`, including the overhead of each response.
    pub fn new(max_bytes: usize) -> Self {
        Cache { entries: LruCache::unbounded(), keys_by_label: HashMap::new(), bytes: 0, max_bytes }
    }

    /// Returns a stored response and marks it as the most recently used.
    pub fn get(&mut self, key: &ObjectKey) -> Option<Rc<StoredResponse>> {
        self.entries.get(key).cloned()
    }

    /// Stores a response, replacing the one of the same object. Returns the keys that no longer have a response: those
    /// that were evicted for it, or its own if it is too large.
    pub fn insert(&mut self, key: ObjectKey, response: Rc<StoredResponse>) -> Vec<ObjectKey> {
        self.remove(&key);
        if response.size() > self.max_bytes / MAX_ENTRY_DIVISOR {
            return vec![key];
        }
        self.bytes += response.size();
        for label in &response.labels {
            self.keys_by_label.entry(label.clone()).or_default().insert(key.clone());
        }
        self.entries.put(key, response);
        self.evict()
    }

    /// Evicts the least recently used responses until the remaining ones fit.
    fn evict(&mut self) -> Vec<ObjectKey> {
        let mut evicted = Vec::new();
        while self.bytes > self.max_bytes {
            let Some((key, response)) = self.entries.pop_lru() else { break };
            self.entry_removed(&key, &response);
            evicted.push(key);
        }
        evicted
    }

    /// All entries, the least recently used first.
    pub fn into_entries(self) -> impl Iterator<Item = (ObjectKey, Rc<StoredResponse>)> {
        self.entries.into_iter()
    }

    fn remove(&mut self, key: &ObjectKey) {
        if let Some(response) = self.entries.pop(key) {
            self.entry_removed(key, &response);
        }
    }

    /// Updates the size and the label index for an entry that was removed.
    fn entry_removed(&mut self, key: &ObjectKey, response: &StoredResponse) {
        self.bytes -= response.size();
        for label in &response.labels {
            let Some(keys) = self.keys_by_label.get_mut(label) else { continue };
            keys.remove(key);
            if keys.is_empty() {
                self.keys_by_label.remove(label);
            }
        }
    }

    /// Removes all responses that a purge covers, except those whose request was sent after the purge. Returns their
    /// keys.
    pub fn purge(&mut self, aged_purge: &AgedPurge) -> Vec<ObjectKey> {
        let Some(accepted_by) = latest_acceptance(aged_purge, Instant::now()) else { return Vec::new() };
        let mut keys = self.keys_covered_by(&aged_purge.purge);
        keys.retain(|key| {
            let response = self.entries.peek(key);
            response.is_none_or(|response| response.requested_at.get() <= accepted_by)
        });
        for key in &keys {
            self.remove(key);
        }
        keys
    }

    fn keys_covered_by(&self, purge: &Purge) -> Vec<ObjectKey> {
        let all_keys = self.entries.iter().map(|(key, _)| key);
        match purge {
            Purge::Everything => all_keys.cloned().collect(),
            Purge::Label(label) => {
                self.keys_by_label.get(label.as_str()).into_iter().flatten().cloned().collect()
            }
            Purge::Object { hostname, path } => {
                all_keys.filter(|key| key.matches_location(hostname, path)).cloned().collect()
            }
        }
    }

    /// Number of stored responses.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it stores no response.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of labels that some stored response has.
    pub fn label_count(&self) -> usize {
        self.keys_by_label.len()
    }

    /// The size of all stored responses, with their overhead.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
