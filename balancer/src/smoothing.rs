//! Smoothed statistics: a moving average of observations and a decaying counter.

use crate::interface::Seconds;

/// Minimum weight of a new observation in a moving average.
const MIN_OBSERVATION_WEIGHT: f64 = 0.1;
/// Maximum weight of a new observation in a moving average.
const MAX_OBSERVATION_WEIGHT: f64 = 0.3;
/// The weight of a new observation is the time since the previous one divided by this, between
/// [`MIN_OBSERVATION_WEIGHT`] and [`MAX_OBSERVATION_WEIGHT`]: older observations lose their meaning.
pub const RARE_OBSERVATION_INTERVAL: Seconds = 10.0;
/// Time constant of a [`DecayingCounter`], and how long a key is assumed to stay cached after it was served.
pub const RECENT_PERIOD: Seconds = 15.0;

/// An exponentially weighted moving average. The rarer observations are, the more each one counts, because in
/// a deployment of many nodes each node sees only a few.
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

    /// The current average; the initial value before the first observation.
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
