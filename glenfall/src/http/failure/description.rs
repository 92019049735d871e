//! The description of a failure that a shield sends to its edge and that is logged: the cause and the attempts.

use std::borrow::Cow;

use hyper::header::{HeaderName, HeaderValue};

use super::cause::Cause;

/// Carries a [`Failure`] from a shield to its edge. It is not forwarded to clients.
pub const FAILURE_HEADER: HeaderName = HeaderName::from_static("x-glenfall-failure");
/// The longest description of attempts in the header and in the log.
const MAX_ATTEMPTS_BYTES: usize = 400;

/// Why a request failed, and the attempts that were made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub cause: Cause,
    /// The servers and shields that the request was sent to, in order, and the outcome of each attempt; empty if it was
    /// not sent.
    pub attempts: Cow<'static, str>,
}

impl From<Cause> for Failure {
    fn from(cause: Cause) -> Self {
        Failure { cause, attempts: Cow::Borrowed("") }
    }
}

impl Failure {
    /// A failure with the attempts that were made.
    pub fn with_attempts(cause: Cause, attempts: String) -> Self {
        Failure { cause, attempts: Cow::Owned(attempts) }
    }

    /// Adds attempts that were made earlier, before those in the description.
    pub fn with_earlier_attempts(mut self, attempts: &str) -> Self {
        if !attempts.is_empty() {
            let separator = if self.attempts.is_empty() { "" } else { ", " };
            self.attempts = Cow::Owned(format!("{attempts}{separator}{}", self.attempts));
        }
        self
    }

    /// The attempts, shortened for the header and the log.
    pub(super) fn shortened_attempts(&self) -> &str {
        shortened(&self.attempts, MAX_ATTEMPTS_BYTES)
    }

    /// The value of the header. Attempts that a header value can't contain are left out.
    pub fn encode(&self) -> HeaderValue {
        let text = format!("{} {}", self.cause.name(), self.shortened_attempts());
        HeaderValue::from_str(text.trim_end()).unwrap_or_else(|_| HeaderValue::from_static(self.cause.name()))
    }

    /// Reads the header of a shield's response. A missing header, and a cause that this release does not know, become
    /// [`Cause::Unspecified`].
    pub fn decode(value: Option<&HeaderValue>) -> Self {
        let Some(text) = value.and_then(|value| value.to_str().ok()) else {
            return Cause::Unspecified.into();
        };
        let (cause, attempts) = text.split_once(' ').unwrap_or((text, ""));
        Failure::with_attempts(Cause::parse(cause).unwrap_or(Cause::Unspecified), attempts.to_owned())
    }
}

/// The longest prefix of a text that has at most `max_bytes` bytes and ends at a character boundary.
pub(super) fn shortened(text: &str, max_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(max_bytes)]
}
