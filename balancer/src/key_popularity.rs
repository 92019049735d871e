//! Key popularity: decides over how many slots of the slot array a hot key is distributed.

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds};
use crate::smoothing::DecayingCounter;

/// Maximum load that a key may add to each of its slots, as a share of the mean load of a server.
const MAX_KEY_LOAD_SHARE: f64 = 0.6;
/// Added to the total request count, so that two requests in a row for a key do not make it hot.
const REQUEST_COUNT_OFFSET: f64 = 50.0;
/// Keys whose decayed count falls to this value are removed.
const MIN_REQUEST_COUNT: f64 = 0.1;

/// Recent requests accepted by this node, for each key and in total.
#[derive(Default)]
pub struct KeyPopularity {
    keys: BTreeMap<Key, DecayingCounter>,
    total: DecayingCounter,
}

impl KeyPopularity {
    /// Counts a request for `key`.
    pub fn record(&mut self, key: Key, now: Seconds) {
        self.keys.entry(key).or_default().increment(now);
        self.total.increment(now);
    }

    /// The decayed count of all requests.
    pub fn recent_requests(&self, now: Seconds) -> f64 {
        self.total.value(now)
    }

    /// How many slots a key is distributed over, with this many servers: one, unless it is hot. Each request
    /// starts at one of these slots at random. Otherwise all nodes would fill the first slot of a hot key
    /// before the next one, as each sees only its part of the key's traffic.
    pub fn slot_count(&self, key: Key, servers: f64, now: Seconds) -> f64 {
        let count = self.keys.get(&key).map_or(0.0, |counter| counter.value(now));
        let share = (count - 1.0).max(0.0) / (self.total.value(now) + REQUEST_COUNT_OFFSET);
        (share * servers / MAX_KEY_LOAD_SHARE).ceil().clamp(1.0, servers.max(1.0))
    }

    /// Removes keys that are no longer requested.
    pub fn forget_unpopular_keys(&mut self, now: Seconds) {
        self.keys.retain(|_, counter| counter.value(now) > MIN_REQUEST_COUNT);
    }
}
