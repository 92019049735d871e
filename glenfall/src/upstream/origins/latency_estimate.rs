//! An estimate of a server's response time. Confidence in it decays while no response arrives.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new response time in the moving average.
const SMOOTHING_FACTOR: f64 = 0.15;
/// Half-life of the confidence in an estimate. Without the decay, a single slow response, as on a new connection or
/// from a machine that has just started, would keep requests away for good, and no response would show that the server
/// has become fast.
const CONFIDENCE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Lower bound of the average, in seconds, when its logarithm is computed.
const MIN_LATENCY_S: f64 = 1e-6;

/// Moving average of a server's response times.
pub struct LatencyEstimate {
    /// In seconds; 0 while no response has been observed.
    average_s: f64,
    log_average: f64,
    observed_at: Instant,
}

impl LatencyEstimate {
    /// An estimate before any response.
    pub fn new(now: Instant) -> Self {
        LatencyEstimate { average_s: 0.0, log_average: 0.0, observed_at: now }
    }

    /// Whether any response has been observed.
    pub fn is_known(&self) -> bool {
        self.average_s > 0.0
    }

    /// Natural logarithm of the average in seconds. Only meaningful if the estimate [is known](Self::is_known).
    pub fn log_average(&self) -> f64 {
        self.log_average
    }

    /// Confidence in the estimate: 1 just after a response, then decaying towards 0.
    pub fn confidence(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.observed_at).as_secs_f64();
        0.5f64.powf(age / CONFIDENCE_HALF_LIFE.as_secs_f64())
    }

    /// Adds a response time. The longer ago the previous one was observed, the more weight the new one has.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        let weight = 1.0 - (1.0 - SMOOTHING_FACTOR) * self.confidence(now);
        self.average_s =
            if self.is_known() { self.average_s + weight * (latency_s - self.average_s) } else { latency_s };
        self.log_average = self.average_s.max(MIN_LATENCY_S).ln();
        self.observed_at = now;
    }
}
