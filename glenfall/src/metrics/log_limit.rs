//! A token bucket for log lines: what comes in a flood is counted, and only some of it is written.

use tokio::time::Instant;

/// Bounds how many lines of one kind are written.
#[derive(Debug)]
pub struct LogLimit {
    at_once: f64,
    per_s: f64,
    left: f64,
    filled: Option<Instant>,
    /// Lines left out since the last one that was written.
    left_out: u64,
}

impl LogLimit {
    /// So many lines at once, and so many in a second from then on.
    pub fn new(at_once: f64, per_s: f64) -> Self {
        LogLimit { at_once, per_s, left: at_once, filled: None, left_out: 0 }
    }

    /// Whether a line may be written now: then how many were left out before it.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let passed = self.filled.map_or(0.0, |filled| now.saturating_duration_since(filled).as_secs_f64());
        self.filled = Some(now);
        self.left = (self.left + passed * self.per_s).min(self.at_once);
        if self.left < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}
