//! Reads server responses and rejects malformed ones.

use bytes::Bytes;
use glenfall_balancer::{CacheStatus, Load, Status};
use glenfall_http_client::BodyFraming;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{header, Response, StatusCode};

use crate::protocol::{CACHE_HEADER, LOAD_HEADER, MAX_BODY_BYTES, NOT_RUN_HEADER};

/// A complete server response with status 200.
pub struct ServerResponse {
    /// The content type that the server stated, if any.
    pub content_type: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The status for the balancer.
    pub status: Status,
    /// Whether the server had the object in its cache; `None` if the response does not state it.
    pub cache_status: Option<CacheStatus>,
    /// The load that the server reported, if any.
    pub load: Option<Load>,
    /// The response; only with `Status::Success`.
    pub response: Option<ServerResponse>,
}

impl AttemptResult {
    /// The result of an attempt without a successful response.
    pub fn without_response(status: Status) -> Self {
        AttemptResult { status, cache_status: None, load: None, response: None }
    }
}

/// Reads a response. The status is `Malformed` if the protocol does not know the status code, or if the
/// response does not state where its body ends.
pub async fn read(response: Response<Incoming>) -> AttemptResult {
    let (head, body) = response.into_parts();
    let Some(status) = status_of(head.status, &head.headers) else {
        return AttemptResult::without_response(Status::Malformed);
    };
    // A body whose stated length is too large is not read.
    let is_too_large = body.size_hint().lower() > MAX_BODY_BYTES as u64;
    if BodyFraming::of(&head.headers) != BodyFraming::Delimited || is_too_large {
        return AttemptResult::without_response(Status::Malformed);
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let is_too_large = error.is::<LengthLimitError>();
            let status = if is_too_large { Status::Malformed } else { status_of_error(error.downcast_ref()) };
            return AttemptResult::without_response(status);
        }
    };
    let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
    AttemptResult {
        status,
        cache_status: cache_status_of(&head.headers),
        load: load_of(&head.headers),
        response: (status == Status::Success).then_some(ServerResponse { content_type, body }),
    }
}

/// The status of a failed exchange whose request was written completely: either the connection was lost, or the
/// received bytes are not a response. Only a lost connection is evidence about the server's process.
pub fn status_of_error(error: Option<&hyper::Error>) -> Status {
    if error.is_some_and(glenfall_http_client::is_invalid_response) {
        Status::Malformed
    } else {
        Status::Broken
    }
}

fn status_of(status: StatusCode, headers: &HeaderMap) -> Option<Status> {
    let has_not_run = headers.get(NOT_RUN_HEADER).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Some(Status::Success),
        StatusCode::NOT_FOUND => Some(Status::NotCached),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_not_run => {
            Some(Status::Overloaded)
        }
        StatusCode::SWITCHING_PROTOCOLS => None,
        status if status.is_success() => None,
        _ => Some(Status::Error),
    }
}

fn cache_status_of(headers: &HeaderMap) -> Option<CacheStatus> {
    match headers.get(CACHE_HEADER)?.as_bytes() {
        b"hit" => Some(CacheStatus::Hit),
        b"miss" => Some(CacheStatus::Miss),
        b"pending" => Some(CacheStatus::MissInProgress),
        _ => None,
    }
}

fn load_of(headers: &HeaderMap) -> Option<Load> {
    let report = headers.get(LOAD_HEADER)?.to_str().ok()?;
    glenfall_balancer_settings::parse_load_report(report, '=')
}
