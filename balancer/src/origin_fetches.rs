//! Fetches from the origin: coalesces fetches of the same key and limits how many are in flight.

use std::collections::BTreeMap;

use crate::concurrency_limit::{ConcurrencyLimit, MIN_LIMIT};
use crate::interface::{Key, RequestId, Seconds};
use crate::smoothing::MovingAverage;

/// Initial limit of all nodes together on reads in flight whose keys are not known to be cached; adapted
/// later.
const FLEET_INITIAL_LIMIT: f64 = 128.0;
/// Minimum initial limit of one node.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Minimum limit of all nodes together. With many nodes each node's share is less than one: the node then
/// pauses after each fetch.
const FLEET_MIN_LIMIT: f64 = 3.0;
/// The origin counts as slow when more than this share of fetches is slow. Fetch times vary widely, and a
/// slow fetch still fills a cache.
const SLOW_ORIGIN_THRESHOLD: f64 = 0.6;
/// The limit is multiplied by this when the origin is slow. Slow fetches take long to end, so decreases are
/// rare and must be large.
const LIMIT_DECREASE_FACTOR: f64 = 0.5;
/// Lower bound on the miss share that the limit is divided by.
const MIN_MISS_SHARE: f64 = 0.1;

/// A fetch in flight.
struct Fetch {
    leader: RequestId,
    /// Reads of the same key that wait for the fetch to end.
    waiters: Vec<RequestId>,
}

/// The fetches of this node in flight, and the state of the origin as learnt from those that ended.
pub struct OriginFetches {
    by_key: BTreeMap<Key, Fetch>,
    /// Attempts in flight that are expected to reach the origin.
    in_flight: u32,
    last_started: Seconds,
    /// The share of fetches that are slow, smoothed.
    slow_share: MovingAverage,
    /// How many fetches this node may have in flight (mode `ReadThrough`).
    limit: ConcurrencyLimit,
    /// Among reads of keys not known to be cached, the share of misses; 1 until a cache reports hits or
    /// misses.
    miss_share: MovingAverage,
}

impl OriginFetches {
    /// The initial state at one of `nodes` nodes.
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

    /// Lets a read wait for the fetch of its key that is in flight. Returns false if there is none.
    pub fn wait_for_fetch(&mut self, key: Key, request: RequestId) -> bool {
        let Some(fetch) = self.by_key.get_mut(&key) else { return false };
        fetch.waiters.push(request);
        true
    }

    /// Whether one more attempt may reach the origin. The limit is multiplied by `priority`. With a limit
    /// below 1, one attempt is allowed after a pause in proportion to `latency_target`.
    pub fn allows(&self, priority: f64, latency_target: Seconds, now: Seconds) -> bool {
        // With many nodes, most keys that this node does not know to be cached were fetched by other nodes,
        // so only the share of misses reaches the origin.
        let limit = priority * self.limit.value() / self.miss_share.value().max(MIN_MISS_SHARE);
        f64::from(self.in_flight) < limit && now - self.last_started >= latency_target * (1.0 / limit - 1.0)
    }

    /// Counts an attempt that is sent now and expected to reach the origin.
    pub fn begin_attempt(&mut self, now: Seconds) {
        self.in_flight += 1;
        self.last_started = now;
    }

    /// Counts the end of an attempt that was expected to reach the origin.
    pub fn end_attempt(&mut self) {
        self.in_flight -= 1;
    }

    /// Makes `request` the leader of the fetch of `key`, unless that fetch is already in flight.
    pub fn begin_fetch(&mut self, key: Key, request: RequestId) {
        self.by_key.entry(key).or_insert(Fetch { leader: request, waiters: Vec::new() });
    }

    /// Ends the fetch of `key` if `request` is its leader, and returns the reads that waited for it.
    pub fn end_fetch(&mut self, key: Key, request: RequestId) -> Vec<RequestId> {
        if self.by_key.get(&key).is_some_and(|fetch| fetch.leader == request) {
            self.by_key.remove(&key).map_or(Vec::new(), |fetch| fetch.waiters)
        } else {
            Vec::new()
        }
    }

    /// Whether the share of slow fetches is above [`SLOW_ORIGIN_THRESHOLD`].
    pub fn origin_is_slow(&self) -> bool {
        self.slow_share.value() > SLOW_ORIGIN_THRESHOLD
    }

    /// Records whether a read of a key that was not known to be cached was a miss.
    pub fn record_lookup(&mut self, was_miss: bool, now: Seconds) {
        self.miss_share.record(f64::from(was_miss), now);
    }

    /// Records whether a fetch sent at `sent` was slow, and adjusts the limit.
    pub fn record_fetch(&mut self, was_slow: bool, now: Seconds, sent: Seconds) {
        self.slow_share.record(f64::from(was_slow), now);
        let load = f64::from(self.in_flight + 1) * self.miss_share.value();
        if self.origin_is_slow() {
            self.limit.decrease(LIMIT_DECREASE_FACTOR, load, now, sent);
        } else {
            self.limit.increase(load);
        }
    }
}
