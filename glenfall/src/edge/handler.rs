//! The HTTP handlers of an edge: clients' requests, and the readiness endpoint.

use std::rc::Rc;

use glenfall_control_plane::config::RequestLimits;
use glenfall_control_plane::invariant::Invariant;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use super::Edge;
use crate::http::failure::Cause;
use crate::http::headers::TRY_ID_HEADER;
use crate::http::response::{LocalResponse, ProxyResponse, SEAL_HEADER};
use crate::http_server::{plain_response, FullRequest, FullResponse, Handler};
use crate::watch_client::WatchClient;

/// The status that is logged for a request whose client has disconnected. Other proxies, such as nginx, use the same.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// Handles the requests of an edge's clients.
pub struct EdgeHandler(pub Rc<Edge>);

impl Handler for EdgeHandler {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        let received = Instant::now();
        let disconnect_guard =
            DisconnectGuard { edge: &self.0, head: &request.head, received, is_answered: false };
        let mut response = self.0.serve(&request).await;
        disconnect_guard.answered();
        self.log_if_failed(&mut response, &request.head, received);
        let counters = &self.0.counters;
        let is_read = request.head.method == Method::GET;
        let latency = if is_read { &counters.read_latency } else { &counters.write_latency };
        latency.record(received.elapsed());
        response.into()
    }

    fn limits(&self) -> RequestLimits {
        self.0.watch_client.config().map(|config| config.req_limits).unwrap_or_default()
    }

    fn is_draining(&self) -> bool {
        self.0.watch_client.is_draining()
    }

    fn on_rejected(&self, head: &Parts, response: &LocalResponse, received: Instant) {
        self.0.log_failure(response.failure(), head, response.status(), received);
    }

    fn on_slow_head(&self) {
        let (head, ()) = hyper::Request::new(()).into_parts();
        let failure = Cause::HeadTooSlow.into();
        self.0.log_failure(&failure, &head, StatusCode::REQUEST_TIMEOUT, Instant::now());
    }
}

impl EdgeHandler {
    fn log_if_failed(&self, response: &mut ProxyResponse, head: &Parts, received: Instant) {
        if response.failure().is_none() {
            return;
        }
        // The id lets clients match the response to its request and to the log line.
        response.set_try_id(head.headers.get(TRY_ID_HEADER));
        let Some(failure) = response.failure() else { return };
        let is_sealed = response.headers().contains_key(SEAL_HEADER);
        let is_from_server = failure.cause == Cause::ServerError;
        Invariant::SealIsServers.check(!is_sealed || is_from_server, || format!("{failure:?}"));
        self.0.log_failure(failure, head, response.status(), received);
    }
}

/// Logs the request when dropped, unless it was answered: its client has then closed the connection.
struct DisconnectGuard<'a> {
    edge: &'a Edge,
    head: &'a Parts,
    received: Instant,
    is_answered: bool,
}

impl DisconnectGuard<'_> {
    fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let status = StatusCode::from_u16(CLIENT_CLOSED_REQUEST).unwrap_or_default();
        self.edge.log_failure(&Cause::ClientDisconnected.into(), self.head, status, self.received);
    }
}

/// Handles the readiness endpoint, which reports whether new clients should connect to this edge.
pub struct ReadinessHandler(pub Rc<WatchClient>);

impl Handler for ReadinessHandler {
    async fn handle(&self, _request: FullRequest) -> FullResponse {
        if self.0.is_ready() {
            plain_response(StatusCode::OK, "ready")
        } else {
            plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    /// The endpoint answers throughout draining, so that its callers see that the edge is not ready.
    fn is_draining(&self) -> bool {
        false
    }
}
