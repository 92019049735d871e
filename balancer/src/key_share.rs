//! Overload protection: an overloaded server gets requests for only a share of its keys until it has
//! recovered.

use crate::interface::Seconds;

/// Each reduction multiplies the key share by this.
const REDUCTION_FACTOR: f64 = 0.7;
/// Minimum time between two reductions, however many reports arrive. Servers report their load at about this
/// interval.
const REDUCTION_INTERVAL: Seconds = 0.5;
/// How much of the share recovers per second: about as slowly as queues drain.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// Minimum share, so that enough requests remain to detect that the server is no longer overloaded.
const MIN_KEY_SHARE: f64 = 0.05;

/// The share of a server's keys for which it gets requests. The same at all nodes that receive the
/// notifications.
#[derive(Debug)]
pub struct KeyShare {
    share: f64,
    last_reduced: Seconds,
}

impl Default for KeyShare {
    fn default() -> Self {
        KeyShare { share: 1.0, last_reduced: 0.0 }
    }
}

impl KeyShare {
    /// The present share, from [`MIN_KEY_SHARE`] to 1.
    pub fn value(&self) -> f64 {
        self.share
    }

    /// Reduces the share of an overloaded server. Returns false if the last reduction is less than
    /// [`REDUCTION_INTERVAL`] ago and the share stays as it is.
    pub fn reduce(&mut self, now: Seconds) -> bool {
        if !self.is_settled(now) {
            return false;
        }
        self.share = (self.share * REDUCTION_FACTOR).max(MIN_KEY_SHARE);
        self.last_reduced = now;
        true
    }

    /// Lets the share recover over the time `elapsed`, unless it was reduced within [`REDUCTION_INTERVAL`].
    pub fn recover(&mut self, now: Seconds, elapsed: Seconds) {
        if self.is_settled(now) {
            self.share = (self.share + RECOVERY_PER_SECOND * elapsed).min(1.0);
        }
    }

    /// Resets the share to 1, after a restart of the server.
    pub fn restore(&mut self) {
        self.share = 1.0;
    }

    fn is_settled(&self, now: Seconds) -> bool {
        now - self.last_reduced >= REDUCTION_INTERVAL
    }
}
