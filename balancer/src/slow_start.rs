//! Slow start: a server that has just started gets requests in proportion to its warmed-up capacity.

use crate::interface::Seconds;
use crate::settings::Guarantees;

/// Burst size of a server's allowance, in attempts: at low rates, requests arrive unevenly.
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

    /// Adds the attempts that have become available since the last refill, up to [`MAX_BURST_ATTEMPTS`].
    pub fn refill(&mut self, attempts: f64) {
        self.attempts = (self.attempts + attempts).min(MAX_BURST_ATTEMPTS);
    }

    /// Takes one attempt from the allowance.
    pub fn spend(&mut self) {
        self.attempts -= 1.0;
    }
}

/// The share of its capacity that a server started at `started` can use at `now`; grows linearly to 1 over
/// `duration`. `None` stands for a server that started long ago.
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
