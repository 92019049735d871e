//! Latencies for `status`: quantiles over the last one to two minutes, as quantiles since the start of the process would
//! hide a current problem.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// How long one histogram records. A report covers the current histogram and the previous one.
pub const WINDOW_DURATION: Duration = Duration::from_mins(1);
/// The longest latency that is recorded, in microseconds: 2 minutes, longer than any deadline. Longer ones are recorded
/// as this value.
pub const MAX_LATENCY_US: u64 = 120_000_000;
/// The precision of the histograms, in decimal digits. Two are enough for operators, and take about 10 KB for each
/// histogram.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantiles that are reported, with their part of the counters' names.
const REPORTED_QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

struct Histograms {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

/// The latencies of one kind of operation.
pub struct Latency {
    /// `None` only if the range or the precision of the histograms is invalid.
    histograms: RefCell<Option<Histograms>>,
    window_started: Cell<Instant>,
}

impl Default for Latency {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
        let histograms = empty().zip(empty()).map(|(current, previous)| Histograms { current, previous });
        Latency { histograms: RefCell::new(histograms), window_started: Cell::new(Instant::now()) }
    }
}

impl Latency {
    /// Records one latency.
    pub fn record(&self, latency: Duration) {
        if let Some(histograms) = self.histograms.borrow_mut().as_mut() {
            let microseconds = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
            histograms.current.saturating_record(microseconds);
        }
    }

    /// The counters `NAME_count`, `NAME_p50_us` and so on, over the last one to two minutes.
    pub fn report(&self, name: &str) -> Vec<(String, u64)> {
        let mut histograms = self.histograms.borrow_mut();
        let Some(histograms) = histograms.as_mut() else { return Vec::new() };
        self.rotate(histograms);
        let mut combined = histograms.previous.clone();
        // This can't fail, as both have the same bounds.
        let _ = combined.add(&histograms.current);
        let mut report = vec![(format!("{name}_count"), combined.len())];
        report.extend(
            REPORTED_QUANTILES.map(|(label, quantile)| {
                (format!("{name}_{label}_us"), combined.value_at_quantile(quantile))
            }),
        );
        report
    }

    /// Starts a new window if the current one is over.
    fn rotate(&self, histograms: &mut Histograms) {
        if self.window_started.get().elapsed() >= WINDOW_DURATION {
            self.window_started.set(Instant::now());
            std::mem::swap(&mut histograms.current, &mut histograms.previous);
            histograms.current.reset();
        }
    }
}
