//! Adaptive concurrency limits: how many attempts may be in flight, learnt from how quickly they are
//! answered.

use crate::interface::Seconds;

/// Minimum value of a limit. With a limit below 1, a node sends one attempt and then pauses for the mean
/// answer time divided by the limit.
pub const MIN_LIMIT: f64 = 0.1;

/// A limit on attempts in flight that grows while answers are quick and falls when they are slow (AIMD).
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

    /// The present limit; may be a fraction, and below 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Raises the limit after a quick answer, if the attempts in flight use at least half of it. With fewer
    /// in flight, the answer does not show whether the server could handle more.
    pub fn increase(&mut self, in_flight: f64) {
        if in_flight >= self.value / 2.0 {
            self.value += (self.value / 2.0).min(1.0 / self.value);
        }
    }

    /// Lowers the limit after a slow answer to an attempt sent at `sent`. The new limit is `factor` times
    /// `in_flight`, which is first clamped to between half the limit and the limit. An attempt that was sent
    /// before the last decrease is ignored, as it was not yet subject to the limit that the decrease set. So
    /// the attempts that were in flight then do not lower the limit again.
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

/// Spaces out attempts if a limit is below 1, which a count of attempts in flight cannot express.
#[derive(Debug, Default)]
pub struct SendPacer {
    next_send: Seconds,
}

impl SendPacer {
    /// Whether the pause after earlier attempts, extended by `extra_pause`, is over.
    pub fn is_ready(&self, now: Seconds, extra_pause: Seconds) -> bool {
        now >= self.next_send + extra_pause
    }

    /// Adds the `pause` that follows one attempt. Unused time counts for at most two pauses.
    pub fn record_send(&mut self, now: Seconds, pause: Seconds) {
        self.next_send = self.next_send.max(now - 2.0 * pause) + pause;
    }
}
