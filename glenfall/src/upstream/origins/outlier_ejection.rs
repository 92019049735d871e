//! Outlier ejection: a server that does not respond, or is at capacity, gets no requests for a time; one that responds
//! with errors gets fewer requests, in proportion to its error rate.

use std::time::Duration;

use tokio::time::Instant;

/// How long a server is ejected after a connection or a response failed.
pub const EJECTION_TIME: Duration = Duration::from_millis(1500);
/// How long a server is ejected after it rejected a request because it was at capacity: about the time until one of its
/// requests ends and frees a slot.
const AT_CAPACITY_EJECTION_TIME: Duration = Duration::from_millis(60);
/// Weight of a request's outcome in the moving average of the error rate.
const ERROR_RATE_SMOOTHING_FACTOR: f64 = 0.3;
/// Half-life of the error rate while no outcome is observed: as it decays, the server is tried again by a few requests.
const ERROR_RATE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Exponent of the success rate in a server's score: a server that fails a third of its requests gets a fifth of the
/// score of one that fails none.
const SUCCESS_RATE_EXPONENT: i32 = 4;

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The server responded with a success or a client error.
    Success,
    /// The server responded with a server error. Its latency is not recorded, as a server that fails all requests may
    /// do so immediately.
    ServerError,
    /// The server stated that it has not run the request, for example because it is at capacity.
    Rejected,
    /// There was no connection or no usable response, or the address is now that of another server.
    Failed,
}

/// Error rate and ejection of one server.
pub struct OutlierDetector {
    /// Moving average of the error rate, as of `error_rate_at`.
    error_rate: f64,
    error_rate_at: Instant,
    ejected_until: Instant,
}

impl OutlierDetector {
    /// A detector before any outcome: without errors, and not ejected.
    pub fn new(now: Instant) -> Self {
        OutlierDetector { error_rate: 0.0, error_rate_at: now, ejected_until: now }
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until > now
    }

    /// The factor, from 0 to 1, by which the error rate lowers the server's score.
    pub fn success_factor(&self, now: Instant) -> f64 {
        (1.0 - self.error_rate(now)).powi(SUCCESS_RATE_EXPONENT)
    }

    /// Updates the error rate and the ejection with the outcome of a request.
    pub fn record(&mut self, now: Instant, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Success => self.record_error_sample(now, 0.0),
            SendOutcome::ServerError => self.record_error_sample(now, 1.0),
            SendOutcome::Rejected => self.ejected_until = now + AT_CAPACITY_EJECTION_TIME,
            SendOutcome::Failed => {
                self.record_error_sample(now, 1.0);
                self.ejected_until = now + EJECTION_TIME;
            }
        }
    }

    fn error_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.error_rate_at).as_secs_f64();
        self.error_rate * 0.5f64.powf(age / ERROR_RATE_HALF_LIFE.as_secs_f64())
    }

    fn record_error_sample(&mut self, now: Instant, sample: f64) {
        let previous = self.error_rate(now);
        self.error_rate = previous + ERROR_RATE_SMOOTHING_FACTOR * (sample - previous);
        self.error_rate_at = now;
    }
}
