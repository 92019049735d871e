//! One origin server, as one process knows it.

use std::time::Duration;

use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::Server;
use tokio::time::Instant;

use super::latency_estimate::LatencyEstimate;
use super::outlier_ejection::{OutlierDetector, SendOutcome};

/// A server as control last published it, and what this process has observed of it.
pub struct Origin {
    server: Server,
    slow_start_ends_at: Instant,
    in_flight: u32,
    latency: LatencyEstimate,
    outlier_detector: OutlierDetector,
}

impl Origin {
    /// A server of which nothing has been observed yet.
    pub fn new(now: Instant, server: &Server) -> Self {
        Origin {
            server: server.clone(),
            slow_start_ends_at: slow_start_ends_at(now, server),
            in_flight: 0,
            latency: LatencyEstimate::new(now),
            outlier_detector: OutlierDetector::new(now),
        }
    }

    /// Updates the server to its latest published state. The end of its slow start is recomputed only if the server has
    /// changed, so that a repeated message does not restart it.
    pub fn update(&mut self, now: Instant, server: &Server) {
        if self.server == *server {
            return;
        }
        let has_returned = !self.server.ready && server.ready;
        Invariant::DrainIsFinal.check(!has_returned, || server.id.clone());
        self.server = server.clone();
        self.slow_start_ends_at = slow_start_ends_at(now, server);
    }

    /// The server as last published.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Whether it is ready and belongs to the service.
    pub fn serves(&self, service: &str) -> bool {
        self.server.ready && self.server.backend == service
    }

    /// Maximum number of concurrent requests, at least 1.
    pub fn capacity(&self) -> u32 {
        self.server.capacity.max(1)
    }

    /// Number of this process's requests in flight to it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// When its slow start ends; a time in the past once it has ended.
    pub fn slow_start_ends_at(&self) -> Instant {
        self.slow_start_ends_at
    }

    /// Estimate of its response time.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Its error rate and ejection.
    pub fn outlier_detector(&self) -> &OutlierDetector {
        &self.outlier_detector
    }

    /// Whether it is not ejected and has fewer requests in flight from this process than its capacity.
    pub fn has_capacity(&self, now: Instant) -> bool {
        !self.outlier_detector.is_ejected(now) && self.in_flight < self.capacity()
    }

    /// Adds a request to those in flight.
    pub fn request_started(&mut self) {
        self.in_flight += 1;
    }

    /// Removes a request from those in flight.
    pub fn request_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the outcome of a request. Its latency counts only if it was a success.
    pub fn record(&mut self, now: Instant, outcome: SendOutcome, latency: Duration) {
        self.outlier_detector.record(now, outcome);
        if outcome == SendOutcome::Success {
            self.latency.record(now, latency);
        }
    }
}

fn slow_start_ends_at(now: Instant, server: &Server) -> Instant {
    now + Duration::from_millis(server.warmup_left_ms)
}
