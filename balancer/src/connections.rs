//! Connections of this node to servers: detects dead idle connections and decides when to close idle ones.

use crate::interface::Seconds;
use crate::settings::Prices;
use crate::smoothing::{DecayingCounter, MovingAverage, RARE_OBSERVATION_INTERVAL};

/// Connections that have been idle for less than this are not suspected to be dead.
pub const MIN_SUSPECT_IDLE_TIME: Seconds = 0.25;
/// Connections count as scarce when more than this share of attempts gets none. A single dead server causes
/// fewer.
const SCARCITY_THRESHOLD: f64 = 0.05;
/// Number of connections at each server that [`Prices::connection`] is the price of.
const PRICED_CONNECTIONS: f64 = 100.0;

/// A suspicion that connections which have been idle for some time are dead.
struct Suspicion {
    idle_time: Seconds,
    raised: Seconds,
}

/// What this node has learnt about its connections to all servers.
#[derive(Default)]
pub struct ConnectionTracker {
    /// The share of attempts that got no connection, smoothed.
    unreachable_share: MovingAverage,
    suspicion: Option<Suspicion>,
    /// Recent attempts sent to cache servers.
    sends: DecayingCounter,
    next_drain_close: Seconds,
}

impl ConnectionTracker {
    /// Records whether an attempt got no connection.
    pub fn record_attempt_end(&mut self, was_unreachable: bool, now: Seconds) {
        self.unreachable_share.record(f64::from(was_unreachable), now);
    }

    /// Counts an attempt that is sent to a cache server.
    pub fn record_send(&mut self, now: Seconds) {
        self.sends.increment(now);
    }

    /// Whether more than [`SCARCITY_THRESHOLD`] of the attempts get no connection. The servers then accept
    /// too few for all nodes.
    pub fn are_scarce(&self) -> bool {
        self.unreachable_share.value() > SCARCITY_THRESHOLD
    }

    /// The idle time from which a connection is assumed to be dead. Doubles every
    /// [`RARE_OBSERVATION_INTERVAL`] after a suspicion was raised; [`f64::MAX`] if there was none.
    pub fn suspect_idle_time(&self, now: Seconds) -> Seconds {
        self.suspicion.as_ref().map_or(f64::MAX, |suspicion| {
            suspicion.idle_time * ((now - suspicion.raised) / RARE_OBSERVATION_INTERVAL).exp2()
        })
    }

    /// Suspects connections that have been idle for `idle_time`, after one of them turned out to be dead.
    pub fn suspect(&mut self, idle_time: Seconds, now: Seconds) {
        let idle_time = self.suspect_idle_time(now).min(idle_time);
        self.suspicion = Some(Suspicion { idle_time, raised: now });
    }

    /// Whether idle connections should be closed: if connections are scarce, or if open connections of all
    /// `nodes` cost more than new ones.
    pub fn idle_is_costly(&self, prices: &Prices, nodes: f64, recent_requests: f64, now: Seconds) -> bool {
        let cost_of_open = prices.connection * nodes / PRICED_CONNECTIONS * recent_requests;
        self.are_scarce() || cost_of_open > prices.handshake * self.sends.value(now)
    }

    /// Whether it is time to close idle connections to draining servers again.
    pub fn drain_close_is_due(&self, now: Seconds) -> bool {
        now >= self.next_drain_close
    }

    /// Schedules the next closing of idle connections to draining servers.
    pub fn schedule_drain_close(&mut self, at: Seconds) {
        self.next_drain_close = at;
    }
}
