//! The errors of an exchange.

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// There was no connection, or the request was not written completely: it has not run.
    NotSent,
    /// The request was written, and no usable response arrived: it may have run.
    NoResponse,
    /// As [`NoResponse`](Self::NoResponse), because the deadline passed.
    TimedOut,
}
