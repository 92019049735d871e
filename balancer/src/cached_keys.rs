//! Which servers probably have which keys in their caches (mode `ReadThrough`).

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};
use crate::smoothing::RECENT_PERIOD;

/// A key at a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheLocation {
    /// The key.
    pub key: Key,
    /// The server that may have it.
    pub server: ServerId,
}

/// When servers last answered keys from cache or fetched them.
#[derive(Default)]
pub struct CachedKeys {
    last_served: BTreeMap<CacheLocation, Seconds>,
}

impl CachedKeys {
    /// Whether the server is assumed to have the key.
    pub fn contains(&self, location: &CacheLocation, now: Seconds) -> bool {
        self.last_served.get(location).is_some_and(|&at| is_recent(at, now))
    }

    /// Notes that the server has served the key.
    pub fn insert(&mut self, location: CacheLocation, now: Seconds) {
        self.last_served.insert(location, now);
    }

    /// Notes that the server no longer has the key.
    pub fn remove(&mut self, location: &CacheLocation) {
        self.last_served.remove(location);
    }

    /// Forgets what is too old to be relied on.
    pub fn forget_expired(&mut self, now: Seconds) {
        self.last_served.retain(|_, &mut at| is_recent(at, now));
    }
}

fn is_recent(at: Seconds, now: Seconds) -> bool {
    now - at < RECENT_PERIOD
}
