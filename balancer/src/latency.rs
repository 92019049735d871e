//! Answer times and queueing delays over all servers.
//!
//! A queueing delay is the part of an answer's time that was not work, as a share of the class's latency
//! target.

use crate::interface::Seconds;
use crate::smoothing::MovingAverage;

/// Queueing delay of an answer from cache from which its server counts as overloaded.
pub const OVERLOAD_QUEUE_DELAY: f64 = 0.5;
/// The same for the usual delay of a server or the complete fleet: from there on retries elsewhere make
/// things worse.
pub const BUSY_QUEUE_DELAY: f64 = 0.35;

/// Smoothed figures of cache hits and time-outs over all servers.
pub struct FleetLatency {
    answer_time: MovingAverage,
    queue_delay: MovingAverage,
}

impl FleetLatency {
    /// Assumes half of what an overloaded fleet shows, until something is measured.
    pub fn new(latency_target: Seconds) -> Self {
        FleetLatency {
            answer_time: MovingAverage::starting_at(latency_target * OVERLOAD_QUEUE_DELAY / 2.0),
            queue_delay: MovingAverage::starting_at(OVERLOAD_QUEUE_DELAY / 2.0),
        }
    }

    /// The usual answer time.
    pub fn answer_time(&self) -> Seconds {
        self.answer_time.value()
    }

    /// Whether the complete fleet is slow.
    pub fn is_busy(&self) -> bool {
        self.queue_delay.value() > BUSY_QUEUE_DELAY
    }

    /// Notes one answer or time-out.
    pub fn record(&mut self, elapsed: Seconds, queue_delay: f64, now: Seconds) {
        self.answer_time.record(elapsed, now);
        // Twice the usual delay at most: a few slow servers must not pass for a slow fleet.
        let max_delay = (2.0 * self.queue_delay.value()).max(BUSY_QUEUE_DELAY / 4.0);
        self.queue_delay.record(queue_delay.min(max_delay), now);
    }
}
