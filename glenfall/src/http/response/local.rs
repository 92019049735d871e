//! A response made by this process, not by a server.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};

use super::proxy::ProxyResponse;
use super::server::ServerResponse;
use crate::http::failure::{Cause, Failure, FAILURE_HEADER};
use crate::http::headers::retry_after_value;

/// A response that this process makes because a request failed. It has no headers of a server.
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

    /// 503: the request has not run and never will. The client may retry it after this time.
    pub fn rejected(failure: impl Into<Failure>, retry_after: Duration) -> Self {
        let unavailable = Self::new(StatusCode::SERVICE_UNAVAILABLE, failure);
        LocalResponse { retry_after: retry_after_value(retry_after), ..unavailable }
    }

    /// 404: no route matches the request.
    pub fn no_route() -> Self {
        Self::new(StatusCode::NOT_FOUND, Cause::NoRoute)
    }

    /// 502: the request may have run, and no usable response was received.
    pub fn bad_gateway(failure: impl Into<Failure>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, failure)
    }

    /// 504: the request may have run, and no response was received before the deadline.
    pub fn gateway_timeout(failure: impl Into<Failure>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, failure)
    }

    /// 400: the request is invalid. The reason is the body of the response.
    pub fn bad_request(reason: &'static str) -> Self {
        let failure = Failure { cause: Cause::BadRequest, attempts: reason.into() };
        let body = Bytes::from_static(reason.as_bytes());
        LocalResponse { body, ..Self::new(StatusCode::BAD_REQUEST, failure) }
    }

    /// 413: the body is longer than the limit.
    pub fn payload_too_large() -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, Cause::BodyTooLarge)
    }

    /// 408: the request was not complete in time, and has not run.
    pub fn request_timeout() -> Self {
        Self::new(StatusCode::REQUEST_TIMEOUT, Cause::BodyTooSlow)
    }

    /// The failure of a fetch, for the requests that joined it. They get only the status of the server's response, as
    /// the response was not sent for them.
    pub fn for_joined_request(failure: &ServerResponse) -> Self {
        let cause = Failure::with_attempts(Cause::ServerError, failure.attempts().to_owned());
        Self::new(failure.status(), cause)
    }

    /// A response that a shield made itself, as its edge returns it to the client.
    pub(super) fn relayed(response: &ServerResponse) -> Self {
        LocalResponse {
            status: response.status(),
            retry_after: response.headers().get(header::RETRY_AFTER).cloned(),
            body: response.body().clone(),
            failure: Failure::decode(response.headers().get(FAILURE_HEADER)),
        }
    }

    /// Why the request failed.
    pub fn failure(&self) -> &Failure {
        &self.failure
    }

    /// The status that the client receives.
    pub fn status(&self) -> StatusCode {
        self.status
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

impl From<LocalResponse> for Response<Full<Bytes>> {
    fn from(local: LocalResponse) -> Self {
        ProxyResponse::from(local).into()
    }
}
