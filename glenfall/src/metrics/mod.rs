//! What proxies count and time, for `status`.

pub mod counter;
pub mod latency;
pub mod log_limit;
