//! Overload relief: an overloaded server gets only a share of its keys until it has recovered.

use crate::interface::Seconds;

/// An overloaded server takes this part of the keys that it took before.
const REDUCTION_FACTOR: f64 = 0.7;
/// The share is reduced at most once in so long, however many reports arrive: a server's load reports come
/// about so often.
const REDUCTION_INTERVAL: Seconds = 0.5;
/// The share grows back by this much a second, as slowly as queues drain.
const RECOVERY_RATE: f64 = 0.1;
/// Least share of its keys that an overloaded server takes: enough to see when it is no longer overloaded.
const MIN_SHARE: f64 = 0.05;

/// The share of its keys of which requests go to the server; the same at all nodes that are notified.
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
    /// The present share, up to 1.
    pub fn value(&self) -> f64 {
        self.share
    }

    /// Reduces the share of a server that was found overloaded. Returns whether it was: reports that follow
    /// soon after a reduction are ignored.
    pub fn reduce(&mut self, now: Seconds) -> bool {
        if !self.is_settled(now) {
            return false;
        }
        self.share = (self.share * REDUCTION_FACTOR).max(MIN_SHARE);
        self.last_reduced = now;
        true
    }

    /// Lets the share grow back for `elapsed`, unless it was reduced a moment ago.
    pub fn recover(&mut self, now: Seconds, elapsed: Seconds) {
        if self.is_settled(now) {
            self.share = (self.share + RECOVERY_RATE * elapsed).min(1.0);
        }
    }

    /// A restarted server gets the requests for all of its keys.
    pub fn restore(&mut self) {
        self.share = 1.0;
    }

    fn is_settled(&self, now: Seconds) -> bool {
        now - self.last_reduced >= REDUCTION_INTERVAL
    }
}
