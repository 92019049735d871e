//! A response received from an upstream.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::StatusCode;

use super::accessors::response_accessors;
use super::shield_source::{ShieldSource, SHIELD_HEADER};
use super::LABELS_HEADER;
use crate::http::failure::{Cause, Failure, FAILURE_HEADER};

/// A complete response of an upstream: a server, or a shield that forwards one.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// The servers that the request was sent to, if the response is a failure.
    attempts: String,
}

response_accessors!(ServerResponse);

impl ServerResponse {
    /// A response with the head and the complete body that were read from one connection.
    pub fn new(head: Parts, body: Bytes) -> Self {
        ServerResponse { status: head.status, headers: head.headers, body, attempts: String::new() }
    }

    /// Records the servers that the request was sent to, for the log.
    pub fn set_attempts(&mut self, attempts: String) {
        self.attempts = attempts;
    }

    /// The servers that the request was sent to; empty unless it was recorded.
    pub(super) fn attempts(&self) -> &str {
        &self.attempts
    }

    /// Why the request failed, if a server responded with a 5xx status or the shield reports a failure.
    pub(super) fn failure(&self) -> Option<Failure> {
        if self.shield_source().is_some() {
            return self.headers.get(FAILURE_HEADER).map(|value| Failure::decode(Some(value)));
        }
        let is_failure = self.status.is_server_error();
        is_failure.then(|| Failure::with_attempts(Cause::ServerError, self.attempts.clone()))
    }

    /// The labels by which its object can be purged.
    pub fn labels(&self) -> impl Iterator<Item = &str> {
        let values = self.headers.get_all(LABELS_HEADER).iter().filter_map(|value| value.to_str().ok());
        values.flat_map(str::split_whitespace)
    }

    /// Where the shield that sent this response got it; `None` if it was not sent by a shield.
    pub fn shield_source(&self) -> Option<ShieldSource> {
        ShieldSource::parse(self.headers.get(SHIELD_HEADER)?)
    }
}
