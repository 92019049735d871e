//! Pseudo-random numbers for jitter, reproducible for each seed.

use crate::rjch::{splitmix64, unit_fraction};

/// A pseudo-random number generator.
pub struct Jitter {
    state: u64,
}

impl Jitter {
    /// A generator for this seed.
    pub fn new(seed: u64) -> Self {
        Jitter { state: splitmix64(seed) }
    }

    /// The next number, uniform from 0 to 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(1);
        unit_fraction(splitmix64(self.state))
    }
}
