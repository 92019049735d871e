//! Answer times and queueing delays over all servers.
//!
//! A queueing delay is the answer time minus the expected work, as a share of the class's latency target.

use crate::interface::Seconds;
use crate::smoothing::MovingAverage;

/// A server counts as overloaded when the queueing delay of an answer from cache exceeds this.
pub const OVERLOAD_QUEUE_DELAY: f64 = 0.5;
/// A server, or the complete fleet, counts as busy when its mean queueing delay exceeds this. Retries at
/// other servers then increase the load.
pub const BUSY_QUEUE_DELAY: f64 = 0.35;

/// Mean answer time and queueing delay of cache hits and timeouts, smoothed over all servers.
pub struct FleetLatency {
    answer_time: MovingAverage,
    queue_delay: MovingAverage,
}

impl FleetLatency {
    /// Starts at half of the queueing delay of an overloaded fleet.
    pub fn new(latency_target: Seconds) -> Self {
        FleetLatency {
            answer_time: MovingAverage::starting_at(latency_target * OVERLOAD_QUEUE_DELAY / 2.0),
            queue_delay: MovingAverage::starting_at(OVERLOAD_QUEUE_DELAY / 2.0),
        }
    }

    /// The mean answer time.
    pub fn answer_time(&self) -> Seconds {
        self.answer_time.value()
    }

    /// Whether the mean queueing delay over all servers is above [`BUSY_QUEUE_DELAY`].
    pub fn is_busy(&self) -> bool {
        self.queue_delay.value() > BUSY_QUEUE_DELAY
    }

    /// Records one answer from cache or one timeout.
    pub fn record(&mut self, elapsed: Seconds, queue_delay: f64, now: Seconds) {
        self.answer_time.record(elapsed, now);
        // Capped at twice the mean delay, so that a few slow servers do not make the fleet count as slow.
        let max_delay = (2.0 * self.queue_delay.value()).max(BUSY_QUEUE_DELAY / 4.0);
        self.queue_delay.record(queue_delay.min(max_delay), now);
    }
}
