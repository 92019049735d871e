//! Latencies for `status`: quantiles over the last minute or two, as those since the start hide what is wrong now.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// How long one histogram is filled; what is told covers it and the one before.
pub const TURN: Duration = Duration::from_secs(60);
/// In microseconds; beyond it nothing is waited for.
pub const LONGEST: u64 = 120_000_000;
/// Two figures that hold are enough to see by, in some 10 KB.
const FIGURES: u8 = 2;
const TOLD: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

struct Filled {
    now: Histogram<u32>,
    before: Histogram<u32>,
}

/// The latencies of one kind of work.
pub struct Latency {
    /// `None` only where the bounds above could not be met.
    filled: RefCell<Option<Filled>>,
    turned: Cell<Instant>,
}

impl Default for Latency {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, LONGEST, FIGURES).ok();
        let filled = empty().zip(empty()).map(|(now, before)| Filled { now, before });
        Latency { filled: RefCell::new(filled), turned: Cell::new(Instant::now()) }
    }
}

impl Latency {
    /// Counts work that took so long.
    pub fn add(&self, took: Duration) {
        if let Some(filled) = self.filled.borrow_mut().as_mut() {
            filled.now.saturating_record((took.as_micros() as u64).clamp(1, LONGEST));
        }
    }

    /// `NAME_count`, and `NAME_p50_us` and the like, of the last minute or two.
    pub fn report(&self, name: &str) -> Vec<(String, u64)> {
        let mut filled = self.filled.borrow_mut();
        let Some(filled) = filled.as_mut() else { return Vec::new() };
        if self.turned.get().elapsed() >= TURN {
            self.turned.set(Instant::now());
            std::mem::swap(&mut filled.now, &mut filled.before);
            filled.now.reset();
        }
        let mut both = filled.before.clone();
        // They have the same bounds.
        let _ = both.add(&filled.now);
        let mut told = vec![(format!("{name}_count"), both.len())];
        told.extend(TOLD.map(|(what, q)| (format!("{name}_{what}_us"), both.value_at_quantile(q))));
        told
    }
}
