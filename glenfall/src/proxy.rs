//! What edge and shield have in common: clients' connections, the way to the servers, and what the agent feeds them.

pub mod cache;
pub mod client_timeouts;
pub mod concurrency_limit;
pub mod failure;
pub mod feed;
pub mod forward;
pub mod memory_budget;
pub mod origins;
pub mod pool;
pub mod response;
pub mod send_budget;
pub mod serve;
