//! A rate limit for log lines (token bucket): lines beyond it are counted and not written.

use tokio::time::Instant;

/// Limits how many log lines of one kind are written.
#[derive(Debug)]
pub struct LogLimit {
    /// Capacity of the bucket, in lines.
    burst: f64,
    lines_per_s: f64,
    tokens: f64,
    last_refill: Option<Instant>,
    /// Number of lines suppressed since the last line that was written.
    suppressed: u64,
}

impl LogLimit {
    /// Allows `burst` lines at once, and `lines_per_s` lines per second from then on.
    pub fn new(burst: f64, lines_per_s: f64) -> Self {
        LogLimit { burst, lines_per_s, tokens: burst, last_refill: None, suppressed: 0 }
    }

    /// Returns how many lines were suppressed since the last one if a line may be written now, and `None` if this line
    /// has to be suppressed too.
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
