//! The part of a client's request that is forwarded to servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{header, Method, Request, Uri};

use crate::protocol::{DEADLINE_MS_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// A client's request as it is forwarded to servers.
pub struct Payload {
    /// The client's method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's id of the request.
    pub id: HeaderValue,
    /// The client's idempotency key, where it sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

impl Payload {
    /// Whether it writes.
    pub fn is_write(&self) -> bool {
        self.method != Method::GET
    }

    /// The request to the server at `addr`, for an answer within `time_left`.
    pub fn to_request(&self, addr: SocketAddr, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(header::HOST, host_value(addr));
        headers.insert(REQUEST_ID_HEADER, self.id.clone());
        headers.insert(DEADLINE_MS_HEADER, HeaderValue::from(time_left.as_millis() as u64));
        if let Some(key) = &self.idempotency_key {
            headers.insert(IDEMPOTENCY_KEY_HEADER, key.clone());
        }
        request
    }
}

/// The `Host` header for a server at `addr`.
pub fn host_value(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).unwrap_or(HeaderValue::from_static("localhost"))
}
