//! Requests to origin servers and shields: connections, load balancing with outlier ejection, retries and limits.

pub mod concurrency_limit;
pub mod forward;
pub mod origins;
pub mod pool;
