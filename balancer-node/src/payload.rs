//! Builds the request that is forwarded to servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{header, Method, Request, Uri};

use crate::protocol::{DEADLINE_MS_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// The parts of a client's request that are forwarded.
pub struct Payload {
    /// The client's method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The id that the client gave to the request.
    pub id: HeaderValue,
    /// The client's idempotency key, where it sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

impl Payload {
    /// Whether the request is a write; any method but GET counts as one.
    pub fn is_write(&self) -> bool {
        self.method != Method::GET
    }

    /// Builds the request to the server at `addr`. `time_left` is sent as its deadline.
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
