//! A token bucket for log lines: in a flood all lines are counted, but only some are written.

use tokio::time::Instant;

/// Bounds how many lines of one kind are written.
#[derive(Debug)]
pub struct LogLimit {
    /// The capacity of the bucket.
    burst: f64,
    lines_per_s: f64,
    tokens: f64,
    last_refill: Option<Instant>,
    /// Lines that were not written since the last one that was.
    suppressed: u64,
}

impl LogLimit {
    /// Allows `burst` lines at once, and `lines_per_s` lines per second from then on.
    pub fn new(burst: f64, lines_per_s: f64) -> Self {
        LogLimit { burst, lines_per_s, tokens: burst, last_refill: None, suppressed: 0 }
    }

    /// Asks to write a line now. If it may be written, returns how many lines were suppressed before it.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        self.refill(now);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self.last_refill.map_or(0.0, |last| now.saturating_duration_since(last).as_secs_f64());
        self.last_refill = Some(now);
        self.tokens = (self.tokens + elapsed * self.lines_per_s).min(self.burst);
    }
}
