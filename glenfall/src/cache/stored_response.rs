//! A response that may be sent again, and which responses may be stored.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use tokio::time::Instant;

use super::byte_range::ByteRange;
use crate::http::headers::{forwardable_headers, TRY_ID_HEADER};
use crate::http::response::{CachedResponse, ProxyResponse, ServerResponse, AGE_HEADER, SEAL_HEADER};

/// Memory that a stored response takes in addition to its body: headers, keys and table entries.
pub const ENTRY_OVERHEAD_BYTES: usize = 1024;
/// `Cache-Control` directives that forbid storing a response.
const NOT_STORABLE_DIRECTIVES: [&str; 2] = ["no-store", "private"];

/// A complete response that may be sent again.
#[derive(Debug)]
pub struct StoredResponse {
    /// The server's headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete object.
    pub body: Bytes,
    /// When the request was sent that fetched or last revalidated it: its content is no older than that.
    pub requested_at: Cell<Instant>,
    /// The labels by which it can be purged.
    pub labels: Vec<Box<str>>,
}

impl StoredResponse {
    /// Makes a stored response from a server's response to a request that was sent at `requested_at`; `None` if it must
    /// not be stored.
    pub fn from_response(response: &ServerResponse, requested_at: Instant) -> Option<StoredResponse> {
        if !is_storable(response) {
            return None;
        }
        let mut headers = forwardable_headers(response.headers());
        headers.remove(TRY_ID_HEADER);
        headers.remove(header::AGE);
        Some(StoredResponse {
            headers,
            body: response.body().clone(),
            requested_at: Cell::new(requested_at),
            labels: response.labels().map(Box::from).collect(),
        })
    }

    /// Records that a server has confirmed the content, by a response to a request that was sent at `requested_at`. The
    /// confirmation may be older than one that is already recorded.
    pub fn revalidate(&self, requested_at: Instant) {
        self.requested_at.set(self.requested_at.get().max(requested_at));
    }

    /// Adds to a response what an edge needs to store it as well: its age and its labels.
    pub fn add_cache_details(&self, response: &mut ProxyResponse) {
        response.set_cache_details(self.age(), &self.labels.join(" "));
    }

    /// When a shield sent its request to the server, computed from the age that the shield's response states. The
    /// request to the shield was sent at `requested_at`. `None` if the response states no valid age.
    pub fn fetched_at(response: &ServerResponse, requested_at: Instant) -> Option<Instant> {
        let age_ms = response.headers().get(AGE_HEADER)?.to_str().ok()?.parse().ok()?;
        requested_at.checked_sub(Duration::from_millis(age_ms))
    }

    /// Memory that it takes in the cache, in bytes.
    pub(super) fn size(&self) -> usize {
        self.body.len() + ENTRY_OVERHEAD_BYTES
    }

    /// How long ago its request was sent.
    pub fn age(&self) -> Duration {
        self.requested_at.get().elapsed()
    }

    /// The response to a request with these headers: the complete object, the requested range, or that the object is
    /// not modified.
    pub fn respond_to(&self, request: &HeaderMap) -> CachedResponse {
        let headers = self.response_headers(request);
        let etag = self.headers.get(header::ETAG);
        if etag.is_some() && request.get(header::IF_NONE_MATCH) == etag {
            return CachedResponse::not_modified(headers);
        }
        match self.requested_range(request) {
            ByteRange::Complete => CachedResponse::full(headers, self.body.clone()),
            ByteRange::NotSatisfiable => CachedResponse::range_not_satisfiable(self.body.len()),
            ByteRange::Part { first, last } => CachedResponse::range(headers, &self.body, first, last),
        }
    }

    fn response_headers(&self, request: &HeaderMap) -> HeaderMap {
        let mut headers = self.headers.clone();
        headers.insert(header::AGE, HeaderValue::from(self.age().as_secs()));
        if let Some(id) = request.get(TRY_ID_HEADER) {
            headers.insert(TRY_ID_HEADER, id.clone());
        }
        headers
    }

    fn requested_range(&self, request: &HeaderMap) -> ByteRange {
        let etag = self.headers.get(header::ETAG);
        let is_same_version = request.get(header::IF_RANGE).is_none_or(|validator| Some(validator) == etag);
        match header_text(request, header::RANGE) {
            Some(range) if is_same_version => ByteRange::parse(range, self.body.len()),
            _ => ByteRange::Complete,
        }
    }
}

fn header_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

/// Whether a response may be stored: it is complete and successful, has the server's signature, and its `Cache-Control`
/// does not forbid it.
fn is_storable(response: &ServerResponse) -> bool {
    let headers = response.headers();
    let is_complete = response.status() == StatusCode::OK
        && headers.contains_key(SEAL_HEADER)
        && !headers.contains_key(header::CONTENT_ENCODING)
        && !headers.contains_key(header::CONTENT_RANGE);
    is_complete && !headers.get_all(header::CACHE_CONTROL).iter().any(forbids_storing)
}

fn forbids_storing(cache_control: &HeaderValue) -> bool {
    // A value that is not text may contain a directive that forbids it.
    let Ok(text) = cache_control.to_str() else { return true };
    let text = text.to_ascii_lowercase();
    NOT_STORABLE_DIRECTIVES.iter().any(|directive| text.contains(directive))
}
