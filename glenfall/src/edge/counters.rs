//! Counters and latencies of an edge, with their names in `status`.

use crate::metrics::counter::Counter;
use crate::metrics::latency::Latency;

/// The counters and latencies of an edge since its process started.
#[derive(Default)]
pub(super) struct Counters {
    pub requests: Counter,
    pub reads: Counter,
    /// Reads answered from the local cache.
    pub local_hits: Counter,
    /// Stale responses of the local cache that were confirmed as unchanged.
    pub revalidated: Counter,
    pub no_route: Counter,
    pub shield_failures: Counter,
    /// Reads sent to servers because no shield answered.
    pub bypassed_shields: Counter,
    pub rejected: Counter,
    /// Requests that a server may have run, and whose response was lost.
    pub unknown: Counter,
    pub timed_out: Counter,
    pub read_latency: Latency,
    pub write_latency: Latency,
}

impl Counters {
    /// The counters under their names in `status`.
    pub fn counts(&self) -> [(&'static str, u64); 10] {
        [
            ("requests", self.requests.get()),
            ("reads", self.reads.get()),
            ("own_copies", self.local_hits.get()),
            ("refreshed", self.revalidated.get()),
            ("no_route", self.no_route.get()),
            ("shield_failed", self.shield_failures.get()),
            ("bypassed", self.bypassed_shields.get()),
            ("refused", self.rejected.get()),
            ("unknown", self.unknown.get()),
            ("timed_out", self.timed_out.get()),
        ]
    }

    /// The latencies of reads and of all other requests, under their names in `status`.
    pub fn latencies(&self) -> Vec<(String, u64)> {
        let mut report = self.read_latency.report("read");
        report.extend(self.write_latency.report("write"));
        report
    }
}
