//! The complete requests and responses that handlers work with.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::config::canonical_host;
use http_body_util::Full;
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};

use crate::http::headers::retry_after_value;

/// A complete response. Proxies create it from a [`ProxyResponse`](crate::http::response::ProxyResponse).
pub type FullResponse = Response<Full<Bytes>>;

/// A request with its complete body.
pub struct FullRequest {
    /// Method, target and headers.
    pub head: Parts,
    /// The complete body; empty if the request has none.
    pub body: Bytes,
}

impl FullRequest {
    /// The host of the `Host` header in its canonical form; empty if it is missing or not text.
    pub fn host(&self) -> Cow<'_, str> {
        let value = self.head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        canonical_host(value.unwrap_or_default())
    }

    /// Path and query, as in the request line; `/` if there are none.
    pub fn path_and_query(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |path| path.as_str())
    }
}

/// A response with a fixed text as its body.
pub fn plain_response(status: StatusCode, text: &'static str) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A response that guarantees that the request has not run and never will. The client may retry it after this time.
pub fn retry_later_response(status: StatusCode, text: &'static str, retry_after: Duration) -> FullResponse {
    let mut response = plain_response(status, text);
    if let Some(value) = retry_after_value(retry_after) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
