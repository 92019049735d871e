//! Counters of the forwarder.

use crate::metrics::counter::Counter;

/// What the forwarder counts for `status`.
#[derive(Default)]
pub struct ForwarderCounters {
    /// Retries sent.
    pub retries: Counter,
    /// Retries that the retry budget did not allow.
    pub retry_budget_exhausted: Counter,
    /// Requests rejected by the concurrency limit.
    pub concurrency_limited: Counter,
    /// Requests rejected because there is no memory for their responses.
    pub out_of_memory: Counter,
    /// Requests that waited for a token of the rate limit.
    pub rate_limit_queued: Counter,
    /// Requests rejected by the rate limit.
    pub rate_limited: Counter,
}
