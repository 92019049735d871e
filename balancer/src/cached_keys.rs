//! Tracks which servers probably have which keys in their caches (mode `ReadThrough`).

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};
use crate::smoothing::RECENT_PERIOD;

/// A key at a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheLocation {
    /// The cached key.
    pub key: Key,
    /// The server that may have it.
    pub server: ServerId,
}

/// When each server last served each key, from its cache or by a fetch.
#[derive(Default)]
pub struct CachedKeys {
    last_served: BTreeMap<CacheLocation, Seconds>,
}

impl CachedKeys {
    /// Whether the server served the key within [`RECENT_PERIOD`], so that it is assumed to have it.
    pub fn contains(&self, location: &CacheLocation, now: Seconds) -> bool {
        self.last_served.get(location).is_some_and(|&at| is_recent(at, now))
    }

    /// Records that the server has served the key.
    pub fn insert(&mut self, location: CacheLocation, now: Seconds) {
        self.last_served.insert(location, now);
    }

    /// Records that the server may no longer have the key.
    pub fn remove(&mut self, location: &CacheLocation) {
        self.last_served.remove(location);
    }

    /// Removes entries older than [`RECENT_PERIOD`].
    pub fn forget_expired(&mut self, now: Seconds) {
        self.last_served.retain(|_, &mut at| is_recent(at, now));
    }
}

fn is_recent(at: Seconds, now: Seconds) -> bool {
    now - at < RECENT_PERIOD
}
