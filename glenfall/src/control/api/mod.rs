//! The HTTP interface of a control node for servers and operators. Routes each request to its resource.
//!
//! Each resource has its own module. A request that fails returns an [`ApiError`], which determines the status and the
//! body of the response.

mod configuration;
pub mod error;
mod purge;
mod servers;
mod state_export;
mod status;
mod voters;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use glenfall_control_plane::config::{ConfigChange, RequestLimits, MAX_DOCUMENT_BYTES};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::time::Instant;

use super::node::Control;
use crate::http_server::{FullRequest, FullResponse, Handler};
use crate::metrics::log_limit::LogLimit;
use error::ApiError;

/// Log lines about rejected requests that may be written in one burst.
const LOG_BURST_LINES: f64 = 64.0;
/// Log lines about rejected requests per second, once the burst is used up.
const LOG_LINES_PER_S: f64 = 2.0;

/// Largest request head in bytes; servers and operators send only a few short headers.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Time limit for receiving a request head, from its first byte.
const HEADER_TIMEOUT_MS: u64 = 5000;
/// Time after which an idle connection is closed. Servers keep their connections open between heartbeats.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Prefix of the path of a server, followed by the identifier of the server.
const SERVER_PATH_PREFIX: &str = "/api/servers/";

/// The HTTP interface of a control node.
pub struct Api {
    control: Rc<Control>,
    log_limit: RefCell<LogLimit>,
}

impl Api {
    /// Serves the requests to `control`. Log lines about rejected requests have one common limit.
    pub fn new(control: Rc<Control>) -> Self {
        Api { control, log_limit: RefCell::new(LogLimit::new(LOG_BURST_LINES, LOG_LINES_PER_S)) }
    }

    async fn route(&self, request: &FullRequest) -> Result<FullResponse, ApiError> {
        let control = &self.control;
        let path = request.head.uri.path();
        let method = request.head.method.as_str();
        if let Some(id) = path.strip_prefix(SERVER_PATH_PREFIX) {
            return route_server(control, method, id, request).await;
        }
        match (method, path) {
            ("GET", "/api/config") => configuration::read(control).await,
            ("PUT", "/api/config") => configuration::change(control, request, ConfigChange::Put).await,
            ("PATCH", "/api/config") => configuration::change(control, request, ConfigChange::Patch).await,
            ("POST", "/api/purge") => purge::purge(control, &request.body).await,
            ("GET", "/api/state") => state_export::export(control).await,
            ("GET", "/api/core") => Ok(voters::list(control)),
            ("POST", "/api/core") => voters::change(control, &request.body).await,
            ("GET", "/api/status") => Ok(status::report(control)),
            ("GET", "/api/ready") if control.quorum.update() => Err(ApiError::NoQuorum),
            ("GET", "/api/ready") => Ok(empty_response()),
            (_, "/api/config" | "/api/core" | "/api/purge" | "/api/state" | "/api/status") => {
                Err(ApiError::MethodNotAllowed)
            }
            _ => Err(ApiError::UnknownPath),
        }
    }

    fn log_rejection(&self, head: &Parts, error: &ApiError, started: Instant) {
        let Some(not_logged) = self.log_limit.borrow_mut().admit(Instant::now()) else { return };
        tracing::warn!(
            method = %head.method,
            path = ?head.uri.path(),
            status = error.status().as_u16(),
            reason = error.log_reason(),
            elapsed_ms = started.elapsed().as_millis() as u64,
            not_logged,
            "request rejected"
        );
    }
}

async fn route_server(
    control: &Control,
    method: &str,
    id: &str,
    request: &FullRequest,
) -> Result<FullResponse, ApiError> {
    match method {
        "PUT" => servers::heartbeat(control, id, &request.body).await,
        "DELETE" => servers::deregister(control, id).await,
        _ => Err(ApiError::ServerMethodNotAllowed),
    }
}

impl Handler for Api {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        let started = Instant::now();
        match self.route(&request).await {
            Ok(response) => response,
            Err(error) => {
                self.log_rejection(&request.head, &error, started);
                json_response(error.status(), &error.body())
            }
        }
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits {
            max_header_bytes: MAX_HEADER_BYTES,
            max_body_bytes: MAX_DOCUMENT_BYTES,
            header_timeout_ms: HEADER_TIMEOUT_MS,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        }
    }

    fn is_draining(&self) -> bool {
        self.control.is_shutting_down()
    }
}

/// A response with a JSON document that is already encoded.
fn encoded_response(status: StatusCode, document: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(document));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> FullResponse {
    encoded_response(status, Bytes::from(body.to_string()))
}

/// A successful response with an empty JSON object.
fn empty_response() -> FullResponse {
    json_response(StatusCode::OK, &json!({}))
}
