//! A client's request with the route, service and deadline that the edge has assigned to it.

use std::sync::Arc;

use glenfall_control_plane::config::{Config, Route, RouteKind};
use hyper::header::HeaderMap;
use hyper::Method;
use tokio::time::Instant;

use crate::cache::ObjectKey;
use crate::http_server::FullRequest;
use crate::upstream::forward::UpstreamRequest;

/// A request and the routing decision for it.
pub(super) struct RoutedRequest<'a> {
    pub config: &'a Arc<Config>,
    pub route: &'a Route,
    pub service: &'a str,
    pub request: &'a FullRequest,
    /// The client's headers that are forwarded: without hop-by-hop headers and the system's own.
    pub headers: HeaderMap,
    pub deadline: Instant,
}

/// Whether a request can be answered from a cache.
pub(super) fn is_cacheable_read(route: &Route, request: &FullRequest) -> bool {
    route.kind == RouteKind::Cacheable && request.head.method == Method::GET && request.body.is_empty()
}

impl RoutedRequest<'_> {
    /// The cache key of the object that a read requests.
    pub fn object(&self) -> ObjectKey {
        ObjectKey {
            service: self.service.into(),
            host: (*self.request.host()).into(),
            path: self.request.path_and_query().into(),
        }
    }

    /// The request to a server, with these headers. `is_retry` is true if the request may have reached a server before.
    pub fn upstream_request(&self, headers: HeaderMap, is_retry: bool) -> UpstreamRequest<'_> {
        UpstreamRequest {
            service: self.service,
            method: &self.request.head.method,
            uri: &self.request.head.uri,
            headers,
            body: self.request.body.clone(),
            idempotent: self.is_idempotent(),
            max_attempts: self.route.tries,
            is_retry,
            deadline: self.deadline,
            latency_target: self.route.latency_target(),
            priority_rank: self.config.priority_rank(self.route),
            rate_limit_per_s: self.config.backend(self.service).and_then(|backend| backend.rate_per_s),
        }
    }

    /// Whether the request may run more than once. A write on a cacheable route is never repeated: only its reads are
    /// known to be idempotent.
    fn is_idempotent(&self) -> bool {
        let method = &self.request.head.method;
        match self.route.kind {
            RouteKind::Mutating => false,
            RouteKind::Idempotent => true,
            RouteKind::Cacheable => method == Method::GET || method == Method::HEAD,
        }
    }
}
