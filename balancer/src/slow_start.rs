//! Slow start: a server that has just started gets requests in proportion to how far it has warmed up.

use crate::interface::Seconds;
use crate::settings::Guarantees;

/// Attempts that may be saved up of a warming server's allowance: few arrive unevenly.
const MAX_BURST_ATTEMPTS: f64 = 4.0;

/// Attempts that a server may be sent while it is warming up.
#[derive(Debug)]
pub struct SlowStartAllowance {
    attempts: f64,
}

impl SlowStartAllowance {
    /// An allowance of `attempts`, which may be a fraction.
    pub fn new(attempts: f64) -> Self {
        SlowStartAllowance { attempts }
    }

    /// Whether one more attempt is allowed.
    pub fn allows_attempt(&self) -> bool {
        self.attempts >= 1.0
    }

    /// Adds what has become available since the last refill, up to [`MAX_BURST_ATTEMPTS`].
    pub fn refill(&mut self, attempts: f64) {
        self.attempts = (self.attempts + attempts).min(MAX_BURST_ATTEMPTS);
    }

    /// Uses one attempt up.
    pub fn spend(&mut self) {
        self.attempts -= 1.0;
    }
}

/// The share of its capacity that a server which started at `started` can be trusted with at `now`. It grows
/// evenly over `duration`.
pub fn warmed_up_share(
    started: Option<Seconds>,
    now: Seconds,
    duration: Seconds,
    guarantees: &Guarantees,
) -> f64 {
    let started = started.unwrap_or(f64::NEG_INFINITY);
    let remaining = (1.0 - (now - started) / duration).clamp(0.0, 1.0);
    1.0 - (1.0 - guarantees.initial_capacity_share) * remaining
}
