//! Counters and latencies of a shield, reported under the names that `status` shows.

use crate::cache::Cache;
use crate::metrics::counter::Counter;
use crate::metrics::latency::Latency;

/// What a shield has counted since its process started.
#[derive(Default)]
pub(super) struct Counters {
    pub hits: Counter,
    pub misses: Counter,
    /// Reads that shared the fetch of another read.
    pub collapsed: Counter,
    /// Reads that did not use the response of the fetch that they shared, as it was from before a purge.
    pub outdated_joins: Counter,
    /// Stored responses that a server has confirmed as unchanged.
    pub revalidated: Counter,
    pub rejected: Counter,
    /// Stored responses loaded from disk after a start.
    pub warm_start: Counter,
    pub read_latency: Latency,
    pub fetch_latency: Latency,
}

impl Counters {
    /// The counters and the size of the cache, under their names in `status`.
    pub fn counts(&self, cache: &Cache) -> [(&'static str, u64); 9] {
        [
            ("hits", self.hits.get()),
            ("misses", self.misses.get()),
            ("joined", self.collapsed.get()),
            ("joined_outdated", self.outdated_joins.get()),
            ("refreshed", self.revalidated.get()),
            ("refused", self.rejected.get()),
            ("found_on_disk", self.warm_start.get()),
            ("copies", cache.len() as u64),
            ("copy_bytes", cache.bytes() as u64),
        ]
    }

    /// The latencies of reads and of fetches, under their names in `status`.
    pub fn latencies(&self) -> Vec<(String, u64)> {
        let mut report = self.read_latency.report("answer");
        report.extend(self.fetch_latency.report("fetch"));
        report
    }
}
