//! Why requests fail. Each failure has a typed cause, which is counted, logged with the id of the request, and reported
//! by a shield to its edge, so that a failed request can be explained afterwards.

mod cause;
mod description;
mod log;

pub use cause::Cause;
pub use description::{Failure, FAILURE_HEADER};
pub use log::{FailedRequest, FailureLog};
