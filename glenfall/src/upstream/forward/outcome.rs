//! How a forwarded request ended.

use std::time::Duration;

use crate::http::failure::{Cause, Failure};
use crate::http::response::ServerResponse;

/// When a client may retry if the servers of a service are at capacity: about when one of their requests ends.
pub(super) const AT_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// When a client may retry if a service has no server, or its rate limit is exceeded.
pub const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// How a forwarded request ended.
pub enum Outcome {
    /// A server responded; the response is passed on.
    Answered(ServerResponse),
    /// The request has not run at any server and will not run.
    NotRun(Rejection),
    /// The request may have run, and there is no usable response.
    Unknown(Failure),
    /// The request may have run, and its deadline has passed.
    TimedOut(Failure),
}

/// Why a request was sent to no server, or has run at none of them.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The failure that ended it.
    pub failure: Failure,
    /// The time after which its client may retry.
    pub retry_after: Duration,
}

impl Rejection {
    /// The rejection of a request that was sent to no server.
    pub fn new(cause: Cause, retry_after: Duration) -> Self {
        Rejection { failure: cause.into(), retry_after }
    }
}
