//! Smoothed figures: a moving average of observations and a counter that decays.

use crate::interface::Seconds;

/// Least weight of a new observation in a moving average.
const MIN_OBSERVATION_WEIGHT: f64 = 0.1;
/// Greatest weight of a new observation, however rare observations are.
const MAX_OBSERVATION_WEIGHT: f64 = 0.3;
/// The time that rare observations are set against: over it, an old observation loses its meaning.
pub const RARE_OBSERVATION_INTERVAL: Seconds = 10.0;
/// Time constant of a [`DecayingCounter`], and how long a key is assumed to be cached where it was last
/// served.
pub const RECENT_PERIOD: Seconds = 15.0;

/// An exponentially weighted moving average. Where observations are rare each counts for more, because in a
/// deployment of many nodes each node sees only a few.
#[derive(Debug, Default)]
pub struct MovingAverage {
    value: f64,
    updated: Seconds,
}

impl MovingAverage {
    /// An average that starts at `value`.
    pub fn starting_at(value: f64) -> Self {
        MovingAverage { value, updated: 0.0 }
    }

    /// The current average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds an observation made at `now`.
    pub fn record(&mut self, observed: f64, now: Seconds) {
        let age = now - self.updated;
        let weight = (age / RARE_OBSERVATION_INTERVAL).clamp(MIN_OBSERVATION_WEIGHT, MAX_OBSERVATION_WEIGHT);
        self.value += weight * (observed - self.value);
        self.updated = now;
    }
}

/// A count of recent occurrences, which decays exponentially over [`RECENT_PERIOD`].
#[derive(Debug, Default)]
pub struct DecayingCounter {
    count: f64,
    updated: Seconds,
}

impl DecayingCounter {
    /// The decayed count as of `now`.
    pub fn value(&self, now: Seconds) -> f64 {
        self.count * (-(now - self.updated) / RECENT_PERIOD).exp()
    }

    /// Counts one occurrence at `now`.
    pub fn increment(&mut self, now: Seconds) {
        self.count = self.value(now) + 1.0;
        self.updated = now;
    }
}
