//! A response from the cache.

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::StatusCode;

use super::accessors::response_accessors;
use super::proxy::ProxyResponse;
use super::SEAL_HEADER;

/// A response made from a stored response (a server's 200). Each constructor sets the status: 200, 206, 304 or 416.
#[derive(Clone, Debug)]
pub struct CachedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

response_accessors!(CachedResponse);

impl CachedResponse {
    /// 200: the complete object.
    pub fn full(headers: HeaderMap, body: Bytes) -> Self {
        CachedResponse { status: StatusCode::OK, headers, body }
    }

    /// 206: the bytes `first` to `last` of the object, both included. Both must be within the body.
    pub fn range(mut headers: HeaderMap, body: &Bytes, first: usize, last: usize) -> Self {
        let range = format!("bytes {first}-{last}/{}", body.len());
        if let Ok(range) = HeaderValue::from_str(&range) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        CachedResponse { status: StatusCode::PARTIAL_CONTENT, headers, body: body.slice(first..=last) }
    }

    /// 304: the client's stored response is still fresh. It has no seal, as no server sent this status.
    pub fn not_modified(mut headers: HeaderMap) -> Self {
        headers.remove(SEAL_HEADER);
        CachedResponse { status: StatusCode::NOT_MODIFIED, headers, body: Bytes::new() }
    }

    /// 416: the range begins after the end of the object. Its only header is the length of the object, as no server sent
    /// this response.
    pub fn range_not_satisfiable(length: usize) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(range) = HeaderValue::from_str(&format!("bytes */{length}")) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        CachedResponse { status: StatusCode::RANGE_NOT_SATISFIABLE, headers, body: Bytes::new() }
    }
}

impl From<CachedResponse> for ProxyResponse {
    fn from(cached: CachedResponse) -> Self {
        ProxyResponse::new(cached.status, cached.headers, cached.body, None)
    }
}
