//! Counters and latencies for `status`, and a rate limit for log lines.

pub mod counter;
pub mod latency;
pub mod log_limit;
