//! Forwards requests to the servers of a service: rate limit, concurrency limit, choice of a server, retries.
//!
//! The order of the checks matters. Memory and the concurrency limit are checked once, before anything else, so that an
//! overloaded process or service rejects a request at no cost. Each attempt then needs a token of the rate limit, a
//! server, time before the deadline and, for a retry, a token of the retry budget; a request that fails one of these
//! checks is sent to no further server.

mod attempts;
mod counters;
mod forwarder;
mod outcome;
mod rate_limit_queue;
mod request;
mod response_event;

pub use self::forwarder::Forwarder;
pub use self::outcome::{Outcome, Rejection, UNAVAILABLE_RETRY_AFTER};
pub use self::request::UpstreamRequest;
