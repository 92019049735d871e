//! The result of a fetch, as the reads that share it receive it.

use std::rc::Rc;

use crate::cache::StoredResponse;
use crate::http::failure::Failure;
use crate::http::response::ServerResponse;
use crate::http::send_budget::SendReport;
use crate::upstream::forward::Rejection;

/// How a fetch ended.
#[derive(Clone)]
pub(super) enum FetchOutcome {
    /// A response that may be stored.
    Storable(Rc<StoredResponse>),
    /// A server's response that can't be stored.
    Uncacheable(ServerResponse),
    /// No server has run the request.
    Rejected(Rejection),
    /// A server may have run the request, and there is no response.
    Unknown(Failure),
    /// A server may have run the request, and the deadline has passed.
    TimedOut(Failure),
}

/// The result of a fetch, for all reads that wait for it.
#[derive(Clone)]
pub(super) struct FetchResult {
    /// How the fetch ended.
    pub outcome: FetchOutcome,
    /// The sends that it used of the allowance of the read that started it.
    pub report: SendReport,
}
