//! Fetches from the origin: one at a time for each key, and no more at once than the origin bears.

use std::collections::BTreeMap;

use crate::concurrency_limit::{ConcurrencyLimit, MIN_LIMIT};
use crate::interface::{Key, RequestId, Seconds};
use crate::smoothing::MovingAverage;

/// Reads of keys that are not known to be cached which all nodes together first have in flight; learnt from
/// then on.
const FLEET_INITIAL_LIMIT: f64 = 128.0;
/// Least limit of one node at its start.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// What all nodes together may always have in flight. With many nodes that is less than one each: a fetch,
/// then a pause.
const FLEET_MIN_LIMIT: f64 = 3.0;
/// The origin is slow when this share of fetches is slow: single ones vary much, and still fill a cache.
const SLOW_ORIGIN_THRESHOLD: f64 = 0.6;
/// A slow fetch lowers the limit by this factor: slow fetches take long to end, so decreases are few and must
/// be deep.
const DECREASE_FACTOR: f64 = 0.5;
/// Least share of misses that the limit is divided by.
const MIN_MISS_SHARE: f64 = 0.1;

/// A fetch in flight.
struct Fetch {
    leader: RequestId,
    /// Reads of the same key that wait for the fetch to end.
    waiters: Vec<RequestId>,
}

/// The fetches of this node and what their ends show of the origin.
pub struct OriginFetches {
    by_key: BTreeMap<Key, Fetch>,
    /// Attempts in flight that are expected to reach the origin.
    in_flight: u32,
    last_started: Seconds,
    /// The share of fetches that are slow, smoothed.
    slow_share: MovingAverage,
    /// How many fetches the origin bears at once (mode `ReadThrough`).
    limit: ConcurrencyLimit,
    /// The share of reads of keys not known to be cached that are misses, where caches report it.
    miss_share: MovingAverage,
}

impl OriginFetches {
    /// The state of one of `nodes` at its start.
    pub fn new(nodes: f64) -> Self {
        let initial = (FLEET_INITIAL_LIMIT / nodes).max(MIN_INITIAL_LIMIT);
        let min = (FLEET_MIN_LIMIT / nodes).clamp(MIN_LIMIT, 1.0);
        OriginFetches {
            by_key: BTreeMap::new(),
            in_flight: 0,
            last_started: 0.0,
            slow_share: MovingAverage::default(),
            limit: ConcurrencyLimit::new(initial, min),
            miss_share: MovingAverage::starting_at(1.0),
        }
    }

    /// Lets a read wait for the fetch of its key. Returns whether there is one.
    pub fn wait_for_fetch(&mut self, key: Key, request: RequestId) -> bool {
        let Some(fetch) = self.by_key.get_mut(&key) else { return false };
        fetch.waiters.push(request);
        true
    }

    /// Whether one more attempt may reach the origin; with a limit below 1, one after a pause that depends on
    /// `latency_target`. The limit is multiplied by `priority`.
    pub fn allows(&self, priority: f64, latency_target: Seconds, now: Seconds) -> bool {
        // Where there are many nodes, most of what this node does not know to be cached, others have had
        // fetched.
        let limit = priority * self.limit.value() / self.miss_share.value().max(MIN_MISS_SHARE);
        f64::from(self.in_flight) < limit && now - self.last_started >= latency_target * (1.0 / limit - 1.0)
    }

    /// Counts an attempt that is sent and expected to reach the origin.
    pub fn begin_attempt(&mut self, now: Seconds) {
        self.in_flight += 1;
        self.last_started = now;
    }

    /// Counts the end of such an attempt.
    pub fn end_attempt(&mut self) {
        self.in_flight -= 1;
    }

    /// Makes `request` the one that fetches `key`, unless another does already.
    pub fn begin_fetch(&mut self, key: Key, request: RequestId) {
        self.by_key.entry(key).or_insert(Fetch { leader: request, waiters: Vec::new() });
    }

    /// Ends the fetch of `key` if `request` leads it, and returns the reads that waited for it.
    pub fn end_fetch(&mut self, key: Key, request: RequestId) -> Vec<RequestId> {
        if self.by_key.get(&key).is_some_and(|fetch| fetch.leader == request) {
            self.by_key.remove(&key).map_or(Vec::new(), |fetch| fetch.waiters)
        } else {
            Vec::new()
        }
    }

    /// Whether so many fetches are slow that the origin counts as slow.
    pub fn origin_is_slow(&self) -> bool {
        self.slow_share.value() > SLOW_ORIGIN_THRESHOLD
    }

    /// Notes whether a read of a key that was not known to be cached was a miss.
    pub fn record_lookup(&mut self, was_miss: bool, now: Seconds) {
        self.miss_share.record(f64::from(was_miss), now);
    }

    /// Notes a fetch sent at `sent` and whether it was slow, and adjusts the limit.
    pub fn record_fetch(&mut self, was_slow: bool, now: Seconds, sent: Seconds) {
        self.slow_share.record(f64::from(was_slow), now);
        let load = f64::from(self.in_flight + 1) * self.miss_share.value();
        if self.origin_is_slow() {
            self.limit.decrease(DECREASE_FACTOR, load, now, sent);
        } else {
            self.limit.increase(load);
        }
    }
}
