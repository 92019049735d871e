//! A request that is to be forwarded to a server.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

/// A request for a server of a service.
pub struct UpstreamRequest<'a> {
    /// The service of its route.
    pub service: &'a str,
    /// The method, as the client sent it.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// The headers as they are forwarded; `Host` is among them.
    pub headers: HeaderMap,
    /// The complete body; empty where there is none.
    pub body: Bytes,
    /// Whether it is idempotent and may run more than once.
    pub idempotent: bool,
    /// The maximum number of servers that it may be sent to.
    pub max_attempts: u32,
    /// Whether another process may already have sent it to a server.
    pub is_retry: bool,
    /// When its response is due.
    pub deadline: Instant,
    /// The latency target of its route.
    pub latency_target: Duration,
    /// Priority from 0, the highest, to 1.
    pub priority_rank: f64,
    /// The rate limit of the service for all machines together, in requests per second.
    pub rate_limit_per_s: Option<f64>,
}
