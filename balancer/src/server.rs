//! The state that this node holds for one listed server.

use crate::concurrency_limit::{ConcurrencyLimit, SendPacer, MIN_LIMIT};
use crate::interface::{RosterEntry, Seconds, ServerState};
use crate::key_share::KeyShare;
use crate::latency::BUSY_QUEUE_DELAY;
use crate::node_config::NodeConfig;
use crate::outlier_ejection::ServerHealth;
use crate::settings::CacheMode;
use crate::slow_start::{warmed_up_share, SlowStartAllowance};
use crate::smoothing::MovingAverage;

/// Requests that all nodes together may have in flight at one server at any load: a few for each core.
pub const FLEET_MIN_IN_FLIGHT: f64 = 8.0;

/// A server's roster entry, this node's load on it, and its limits and health as learnt from its answers.
#[derive(Debug)]
pub struct Server {
    entry: RosterEntry,
    in_flight: u32,
    capacity: f64,
    usable_capacity: f64,
    last_used: Seconds,
    pacer: SendPacer,
    /// The attempts that it may be sent while it is warming up.
    pub slow_start: SlowStartAllowance,
    /// The number of attempts in flight above which answers get slow, learnt from answer times.
    pub limit: ConcurrencyLimit,
    /// The share of its keys for which it gets requests; less than 1 after an overload.
    pub key_share: KeyShare,
    /// Its failures, answers and ejection.
    pub health: ServerHealth,
    /// The queueing delay of its answers, smoothed.
    pub queue_delay: MovingAverage,
}

impl Server {
    /// A server that has just been listed. `allowance` is its initial slow-start allowance, random from 0 to
    /// 1, so that many nodes do not all send their first attempt at once.
    pub fn new(entry: RosterEntry, allowance: f64, config: &NodeConfig, now: Seconds) -> Self {
        let min_limit = config.node_share(1.0).min(MIN_LIMIT);
        Server {
            entry,
            in_flight: 0,
            capacity: 0.0,
            usable_capacity: 0.0,
            last_used: 0.0,
            pacer: SendPacer::default(),
            slow_start: SlowStartAllowance::new(allowance),
            limit: ConcurrencyLimit::new(initial_limit(config), min_limit),
            key_share: KeyShare::default(),
            health: ServerHealth::new(now),
            queue_delay: MovingAverage::default(),
        }
    }

    /// Its last roster entry, except that the start time is the latest one that was ever listed.
    pub fn entry(&self) -> &RosterEntry {
        &self.entry
    }

    /// Applies a new roster entry. A later start time means that the server was restarted: this clears its
    /// failures, restores its key share, raises its limit to the initial one if it is lower, and starts slow
    /// start with this `allowance`.
    pub fn update_entry(&mut self, entry: RosterEntry, allowance: f64, config: &NodeConfig) {
        let known_start = self.entry.started;
        let is_restart = entry.started.is_some_and(|at| known_start.is_none_or(|known| at > known));
        let started = if is_restart { entry.started } else { known_start };
        if is_restart {
            self.health.clear_after_restart();
            self.slow_start = SlowStartAllowance::new(allowance);
            self.key_share.restore();
            self.limit.raise_to(initial_limit(config));
        }
        self.entry = RosterEntry { started, ..entry };
    }

    /// Marks the server as having left the list.
    pub fn mark_gone(&mut self) {
        self.entry.state = ServerState::Gone;
    }

    /// Whether its state allows new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Whether it has left the list.
    pub fn is_gone(&self) -> bool {
        self.entry.state == ServerState::Gone
    }

    /// Whether it is the origin and not a cache (mode `Aside`).
    pub fn is_origin(&self, cache: &CacheMode) -> bool {
        matches!(cache, CacheMode::Aside { origin_kind } if *origin_kind == self.entry.kind)
    }

    /// Number of this node's attempts in flight to it.
    pub fn in_flight(&self) -> f64 {
        f64::from(self.in_flight)
    }

    /// Its weight in the slot array, which determines its number of points; 0 if it has none.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Sets the capacity and returns whether it has changed.
    pub fn set_capacity(&mut self, capacity: f64) -> bool {
        let has_changed = capacity != self.capacity;
        self.capacity = capacity;
        has_changed
    }

    /// The capacity that can be used at present: reduced while the server is warming up, 0 while it may not
    /// be sent requests.
    pub fn usable_capacity(&self) -> f64 {
        self.usable_capacity
    }

    /// Computes the usable capacity as of `now`.
    pub fn refresh_usable_capacity(&mut self, now: Seconds, config: &NodeConfig) {
        let duration = config.slow_start_duration();
        let guarantees = &config.settings().guarantees;
        self.usable_capacity = if self.is_placeable() {
            self.capacity * warmed_up_share(self.entry.started, now, duration, guarantees)
        } else {
            0.0
        };
    }

    /// Whether it is a ready cache server, so that requests may be placed on it.
    pub fn is_placeable(&self) -> bool {
        self.capacity > 0.0 && self.is_ready()
    }

    /// Whether it has not reached its full capacity yet.
    pub fn is_warming_up(&self) -> bool {
        self.usable_capacity < self.capacity
    }

    /// Whether its mean queueing delay is above [`BUSY_QUEUE_DELAY`].
    pub fn is_busy(&self) -> bool {
        self.queue_delay.value() > BUSY_QUEUE_DELAY
    }

    /// How long this node's connections to it have been idle; 0 while one is in use or if none was ever used.
    pub fn idle_time(&self, now: Seconds) -> Seconds {
        if self.in_flight > 0 || self.last_used == 0.0 {
            0.0
        } else {
            now - self.last_used
        }
    }

    /// Whether fewer attempts are in flight than the limit allows.
    pub fn is_below_limit(&self) -> bool {
        self.in_flight() < self.limit.value()
    }

    /// Whether one more attempt is within the limit divided by `divisor`. With nothing in flight, one attempt
    /// is allowed after the pause that follows the previous one. `answer_time` is the mean over the fleet.
    pub fn limit_allows_attempt(&self, divisor: f64, answer_time: Seconds, now: Seconds) -> bool {
        let limit = self.limit.value();
        let extra_pause = answer_time / limit * (divisor - 1.0);
        let has_paused = self.in_flight == 0 && self.pacer.is_ready(now, extra_pause);
        has_paused || self.in_flight() < (limit / divisor).floor()
    }

    /// Counts an attempt that is sent to it. `answer_time` is the mean over the fleet.
    pub fn begin_attempt(&mut self, now: Seconds, answer_time: Seconds) {
        self.in_flight += 1;
        self.pacer.record_send(now, answer_time / self.limit.value());
        if self.is_warming_up() {
            self.slow_start.spend();
        }
    }

    /// Counts the end of an attempt.
    pub fn end_attempt(&mut self, now: Seconds) {
        self.in_flight -= 1;
        self.last_used = now;
    }
}

/// The concurrency limit of a server that has not answered this node yet.
fn initial_limit(config: &NodeConfig) -> f64 {
    config.node_share(2.0 * FLEET_MIN_IN_FLIGHT)
}
