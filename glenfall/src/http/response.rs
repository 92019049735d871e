//! Responses to clients, typed by where they come from, so that status, seal and body are always those of one
//! response of one server.
//!
//! | type | made from | seal |
//! | --- | --- | --- |
//! | [`ServerResponse`] | what was read from one upstream exchange | the server's own, with its own status |
//! | [`CachedResponse`] | a stored copy of a server's 200 | with 200 and 206 only: it is good for the object and its ranges |
//! | [`LocalResponse`] | this process, in place of a server | never |
//!
//! Each becomes a [`ProxyResponse`], the only type that proxies hand to their clients. None of them lets its status,
//! its seal or its body be replaced, so that mixing two of them does not compile:
//!
//! ```compile_fail
//! # use glenfall::http::response::ServerResponse;
//! # use hyper::StatusCode;
//! fn change_status(mut response: ServerResponse) -> ServerResponse {
//!     response.status = StatusCode::BAD_GATEWAY; // private
//!     response
//! }
//! ```
//!
//! ```compile_fail
//! # use glenfall::http::response::{LocalResponse, ServerResponse};
//! fn local_with_headers(response: ServerResponse) -> LocalResponse {
//!     LocalResponse::bad_gateway().with_headers(response.headers().clone()) // no such method
//! }
//! ```
//!
//! ```compile_fail
//! # use glenfall::http::response::ProxyResponse;
//! # use http_body_util::Full;
//! # use bytes::Bytes;
//! fn untyped(response: hyper::Response<Full<Bytes>>) -> ProxyResponse {
//!     response.into() // there is no such conversion
//! }
//! ```
//!
//! ```compile_fail
//! # use glenfall::http::response::{CachedResponse, ProxyResponse};
//! fn cached_with_status(response: CachedResponse) -> ProxyResponse {
//!     let mut response = ProxyResponse::from(response);
//!     *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE; // no such method
//!     response
//! }
//! ```

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};

use crate::http::failure::{Cause, Failure, FAILURE};
use crate::http::headers::{passed_on, TRY_ID};
use crate::http::send_budget::{SendReport, SENDS};

/// A server's signature of its response.
pub const SEAL: HeaderName = HeaderName::from_static("x-glenfall-seal");
/// Labels of an object, by which it can be purged.
pub const TAGS: HeaderName = HeaderName::from_static("x-glenfall-tags");
/// How old a shield's copy is, in milliseconds.
pub const AGE_MS: HeaderName = HeaderName::from_static("x-glenfall-age-ms");
/// Where a shield's response comes from, see [`ShieldSource`]. No response without it is a shield's.
pub const SHIELD: HeaderName = HeaderName::from_static("x-glenfall-shield");

/// A whole response of an upstream: a server, or a shield that passes one on.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Whom the request was sent to, where the response is a failure.
    way: String,
}

impl ServerResponse {
    /// A response as it was read from one connection: its head and its whole body.
    pub fn new(head: Parts, body: Bytes) -> Self {
        ServerResponse { status: head.status, headers: head.headers, body, way: String::new() }
    }

    /// Notes whom the request was sent to, for the log.
    pub fn set_way(&mut self, way: String) {
        self.way = way;
    }

    /// Why the request failed, where a server answered with an error of its own or its shield says so.
    fn failure(&self) -> Option<Failure> {
        if self.shield_source().is_some() {
            return self.headers.get(FAILURE).map(|value| Failure::decode(Some(value)));
        }
        self.status.is_server_error().then(|| Failure::after(Cause::ServerError, self.way.clone()))
    }

    /// The server's status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// All of its headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Its whole body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Where a shield has this response from; `None` where no shield sent it.
    pub fn shield_source(&self) -> Option<ShieldSource> {
        ShieldSource::parse(self.headers.get(SHIELD)?)
    }

    /// A shield's response as its edge returns it: one that the shield made itself stays free of any server's seal.
    pub fn forward_from_shield(self) -> ProxyResponse {
        match self.shield_source() {
            Some(ShieldSource::Local | ShieldSource::Behind) => LocalResponse::relayed(self).into(),
            _ => self.forward(&Method::GET),
        }
    }

    /// The response to a request of this method, as the client gets it: without the headers of one connection.
    pub fn forward(self, method: &Method) -> ProxyResponse {
        let mut headers = passed_on(&self.headers);
        // Without a body, the response to `HEAD` keeps the length of what `GET` would bring.
        if method == Method::HEAD {
            if let Some(length) = self.headers.get(header::CONTENT_LENGTH) {
                headers.insert(header::CONTENT_LENGTH, length.clone());
            }
        }
        let failure = self.failure();
        ProxyResponse::new(self.status, headers, self.body, failure)
    }
}

/// A response made from a stored copy of a server's 200. Its constructors fix the status.
#[derive(Clone, Debug)]
pub struct CachedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl CachedResponse {
    /// All of the object.
    pub fn whole(headers: HeaderMap, body: Bytes) -> Self {
        CachedResponse { status: StatusCode::OK, headers, body }
    }

    /// A range of the object, from `first` up to and including `last`, both within it.
    pub fn range(mut headers: HeaderMap, body: &Bytes, first: usize, last: usize) -> Self {
        let range = format!("bytes {first}-{last}/{}", body.len());
        if let Ok(range) = HeaderValue::from_str(&range) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        CachedResponse { status: StatusCode::PARTIAL_CONTENT, headers, body: body.slice(first..=last) }
    }

    /// The client's own copy is still good. No server gave this status, so that it bears no seal.
    pub fn not_modified(mut headers: HeaderMap) -> Self {
        headers.remove(SEAL);
        CachedResponse { status: StatusCode::NOT_MODIFIED, headers, body: Bytes::new() }
    }

    /// The range begins past the end. A failure that no server gave, so that it says nothing of the object but its
    /// length.
    pub fn range_not_satisfiable(length: usize) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(range) = HeaderValue::from_str(&format!("bytes */{length}")) {
            headers.insert(header::CONTENT_RANGE, range);
        }
        CachedResponse { status: StatusCode::RANGE_NOT_SATISFIABLE, headers, body: Bytes::new() }
    }

    /// 200, 206, 304 or 416.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// The copy's headers, and what the status needs.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The part of the copy that is asked for.
    pub fn body(&self) -> &Bytes {
        &self.body
    }
}

/// A response that this process gives in place of a server. It bears no header of any server.
#[derive(Clone, Debug)]
pub struct LocalResponse {
    status: StatusCode,
    retry_after: Option<HeaderValue>,
    body: Bytes,
    failure: Failure,
}

impl LocalResponse {
    /// A response whose body names the cause.
    fn new(status: StatusCode, failure: impl Into<Failure>) -> Self {
        let failure = failure.into();
        let body = Bytes::from_static(failure.cause.name().as_bytes());
        LocalResponse { status, retry_after: None, body, failure }
    }

    /// 503: the request has not run and never will; it may come again after this time.
    pub fn refused(failure: impl Into<Failure>, retry_after: Duration) -> Self {
        let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())).ok();
        LocalResponse { retry_after: seconds, ..Self::new(StatusCode::SERVICE_UNAVAILABLE, failure) }
    }

    /// 404: no route takes the request.
    pub fn no_route() -> Self {
        Self::new(StatusCode::NOT_FOUND, Cause::NoRoute)
    }

    /// 502: the request may have run, and nothing usable came back.
    pub fn bad_gateway(failure: impl Into<Failure>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, failure)
    }

    /// 504: the same, as time ran out.
    pub fn gateway_timeout(failure: impl Into<Failure>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, failure)
    }

    /// 400: the request is not understood, for this reason.
    pub fn bad_request(reason: &'static str) -> Self {
        let failure = Failure { cause: Cause::BadRequest, way: reason.into() };
        let body = Bytes::from_static(reason.as_bytes());
        LocalResponse { body, ..Self::new(StatusCode::BAD_REQUEST, failure) }
    }

    /// 413: the body is longer than is taken.
    pub fn payload_too_large() -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, Cause::BodyTooLarge)
    }

    /// 408: the request did not come whole in time, and has not run.
    pub fn request_timeout() -> Self {
        Self::new(StatusCode::REQUEST_TIMEOUT, Cause::BodyTooSlow)
    }

    /// The failure of a server for those who waited for another request's response: it was not given to them, so that
    /// they get its status and nothing else of it.
    pub fn same_failure(failure: &ServerResponse) -> Self {
        Self::new(failure.status, Failure::after(Cause::ServerError, failure.way.clone()))
    }

    /// What a shield said itself, for the edge's client.
    fn relayed(response: ServerResponse) -> Self {
        LocalResponse {
            status: response.status,
            retry_after: response.headers.get(header::RETRY_AFTER).cloned(),
            failure: Failure::decode(response.headers.get(FAILURE)),
            body: response.body,
        }
    }

    /// Why the request failed.
    pub fn failure(&self) -> &Failure {
        &self.failure
    }

    /// The status that the client gets.
    pub fn status(&self) -> StatusCode {
        self.status
    }
}

/// Where a shield's response comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShieldSource {
    /// A copy that it had.
    Hit,
    /// A copy that it fetched.
    Miss,
    /// A copy, or a fetch begun before the request, while it holds no lease: purges may have been missed.
    Unvouched,
    /// A server's response that can't be kept.
    Passed,
    /// The shield itself.
    Local,
    /// The shield itself, which has not heard of the edge's configuration yet and has asked no server.
    Behind,
}

impl ShieldSource {
    const ALL: [ShieldSource; 6] = [
        ShieldSource::Hit,
        ShieldSource::Miss,
        ShieldSource::Unvouched,
        ShieldSource::Passed,
        ShieldSource::Local,
        ShieldSource::Behind,
    ];

    fn name(self) -> &'static str {
        match self {
            ShieldSource::Hit => "hit",
            ShieldSource::Miss => "miss",
            ShieldSource::Unvouched => "unvouched",
            ShieldSource::Passed => "pass",
            ShieldSource::Local => "own",
            ShieldSource::Behind => "behind",
        }
    }

    fn parse(value: &HeaderValue) -> Option<Self> {
        Self::ALL.into_iter().find(|source| value.as_bytes() == source.name().as_bytes())
    }
}

/// What a proxy hands to its client. Only headers between this system's own processes can still be set.
#[derive(Debug)]
pub struct ProxyResponse {
    response: Response<Full<Bytes>>,
    failure: Option<Failure>,
}

impl ProxyResponse {
    fn new(status: StatusCode, headers: HeaderMap, body: Bytes, failure: Option<Failure>) -> Self {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        ProxyResponse { response, failure }
    }

    /// As the client gets it.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// As the client gets them.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Why the request failed, if it did; for logs.
    pub fn failure(&self) -> Option<&Failure> {
        self.failure.as_ref()
    }

    /// Notes whom a request that failed was sent to before.
    pub fn preceded_by(mut self, way: &str) -> Self {
        self.failure = self.failure.map(|failure| failure.preceded_by(way));
        self
    }

    /// Tells an edge why the request failed, if it did.
    pub fn tell_failure(&mut self) {
        if let Some(failure) = &self.failure {
            self.response.headers_mut().insert(FAILURE, failure.encode());
        }
    }

    /// Tells an edge where the response comes from.
    pub fn set_shield_source(&mut self, source: ShieldSource) {
        self.response.headers_mut().insert(SHIELD, HeaderValue::from_static(source.name()));
    }

    /// Tells an edge what it needs to keep a copy.
    pub fn set_copy_details(&mut self, age: Duration, tags: &str) {
        let headers = self.response.headers_mut();
        headers.insert(AGE_MS, HeaderValue::from(age.as_millis() as u64));
        if let Ok(tags) = HeaderValue::from_str(tags) {
            headers.insert(TAGS, tags);
        }
    }

    /// Tells an edge what was used of the sends that it allowed; nothing where it used none.
    pub fn set_send_report(&mut self, report: SendReport) {
        if report != SendReport::default() {
            self.response.headers_mut().insert(SENDS, report.encode());
        }
    }

    /// Names the request that this answers, as an edge knows it.
    pub fn set_try_id(&mut self, id: Option<&HeaderValue>) {
        match id {
            Some(id) => self.response.headers_mut().insert(TRY_ID, id.clone()),
            None => self.response.headers_mut().remove(TRY_ID),
        };
    }
}

impl From<LocalResponse> for ProxyResponse {
    fn from(local: LocalResponse) -> Self {
        let mut headers = HeaderMap::new();
        if let Some(seconds) = local.retry_after {
            headers.insert(header::RETRY_AFTER, seconds);
        }
        ProxyResponse::new(local.status, headers, local.body, Some(local.failure))
    }
}

impl From<CachedResponse> for ProxyResponse {
    fn from(cached: CachedResponse) -> Self {
        ProxyResponse::new(cached.status, cached.headers, cached.body, None)
    }
}

impl From<ProxyResponse> for Response<Full<Bytes>> {
    fn from(response: ProxyResponse) -> Self {
        response.response
    }
}

impl From<LocalResponse> for Response<Full<Bytes>> {
    fn from(local: LocalResponse) -> Self {
        ProxyResponse::from(local).into()
    }
}
