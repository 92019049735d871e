//! The interface that a role implements to respond to requests.

use std::future::Future;

use glenfall_control_plane::config::RequestLimits;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::http::response::LocalResponse;
use crate::http_server::message::{FullRequest, FullResponse};

/// Responds to complete requests.
pub trait Handler: 'static {
    /// Responds to a request. The future is dropped if the client closes its connection.
    fn handle(&self, request: FullRequest) -> impl Future<Output = FullResponse>;
    /// The current limits for clients; called for each request.
    fn limits(&self) -> RequestLimits;
    /// Whether the process is draining. If so, the connection is closed after each response.
    fn is_draining(&self) -> bool;
    /// Called when a request is rejected before it was read completely. `started` is when its head was complete.
    fn on_rejected(&self, _head: &Parts, _response: &LocalResponse, _started: Instant) {}
    /// Called when a client took too long to send the head of a request.
    fn on_slow_head(&self) {}
}
