//! Adaptive concurrency limits: how many attempts may be in flight, learnt from how quickly they end.

use crate::interface::Seconds;

/// Least value of a limit. Below 1 a node sends one attempt, then pauses for the usual answer time divided by
/// the limit.
pub const MIN_LIMIT: f64 = 0.1;

/// A number in flight that grows while answers are quick and falls when they are slow (AIMD).
#[derive(Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    min: f64,
    last_decrease: Seconds,
}

impl ConcurrencyLimit {
    /// A limit that starts at `value` and never falls below `min`.
    pub fn new(value: f64, min: f64) -> Self {
        ConcurrencyLimit { value, min, last_decrease: 0.0 }
    }

    /// The present limit; may be a fraction, also below 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Raises the limit after a quick answer. A limit that is not used tells nothing and does not grow.
    pub fn increase(&mut self, in_flight: f64) {
        if in_flight >= self.value / 2.0 {
            self.value += (self.value / 2.0).min(1.0 / self.value);
        }
    }

    /// Lowers the limit by `factor` after a slow answer to what was sent at `sent`. Attempts that were sent
    /// before the last decrease say nothing of the limit that it set, so each decrease counts once for the
    /// attempts then in flight.
    pub fn decrease(&mut self, factor: f64, in_flight: f64, now: Seconds, sent: Seconds) {
        if sent > self.last_decrease {
            self.value = (in_flight.clamp(self.value / 2.0, self.value) * factor).max(self.min);
            self.last_decrease = now;
        }
    }

    /// Raises the limit to `value` if it is lower.
    pub fn raise_to(&mut self, value: f64) {
        self.value = self.value.max(value);
    }
}

/// Spaces out attempts where a limit is below 1, which a count in flight cannot express.
#[derive(Debug, Default)]
pub struct SendPacer {
    next_send: Seconds,
}

impl SendPacer {
    /// Whether the pause after earlier attempts, prolonged by `extra_pause`, is over.
    pub fn is_ready(&self, now: Seconds, extra_pause: Seconds) -> bool {
        now >= self.next_send + extra_pause
    }

    /// Adds the `pause` that one attempt calls for; at most two pauses may be saved up.
    pub fn record_send(&mut self, now: Seconds, pause: Seconds) {
        self.next_send = self.next_send.max(now - 2.0 * pause) + pause;
    }
}
