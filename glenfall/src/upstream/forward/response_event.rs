//! Classifies the complete responses of servers: whether the request has run, and whether it has failed.

use glenfall_http_client::send::SendEvent;
use hyper::header::HeaderName;
use hyper::StatusCode;

use crate::http::response::ServerResponse;

/// The header by which a server states that it has not run the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-glenfall-not-run");

/// Whether a response states that the request has not run. A server that received a request addressed to another one
/// states it by its status alone.
pub fn states_not_run(response: &ServerResponse) -> bool {
    response.headers().contains_key(NOT_RUN_HEADER) || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// The event of a complete response in the state machine of sends.
pub fn response_event(response: &ServerResponse) -> SendEvent {
    let status = response.status();
    let is_error = status.is_client_error() || status.is_server_error();
    if states_not_run(response) {
        // A success contradicts the statement that the request has not run.
        return if is_error { SendEvent::NotRun } else { SendEvent::Malformed };
    }
    match status {
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            SendEvent::UnprovenRefusal
        }
        _ if status.is_server_error() => SendEvent::Failure,
        _ => SendEvent::Success,
    }
}
