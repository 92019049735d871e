//! The edge proxy: routes clients' requests, sends cacheable reads through a shield, which consistent hashing (RJ-CH)
//! chooses by the object, and forwards all other requests straight to a server.

mod counters;
mod handler;
mod local_cache;
mod read;
pub mod read_plan;
mod routed_request;
mod shield_selector;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::config::{Config, Route};
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{AgedPurge, ProxyRole};
use glenfall_control_plane::rate_limit::QuotaHolder;
use hyper::header;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use self::counters::Counters;
pub use self::handler::{EdgeHandler, ReadinessHandler};
use self::local_cache::LocalCache;
use self::read::attempt_log::AttemptCounts;
use self::routed_request::{is_cacheable_read, RoutedRequest};
use self::shield_selector::ShieldSelector;
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::failure::{Cause, FailedRequest, Failure, FailureLog};
use crate::http::headers::{forwardable_headers, DEADLINE_HEADER, TRY_ID_HEADER};
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse};
use crate::http_server::FullRequest;
use crate::settings::Settings;
use crate::shield::object_fraction;
use crate::upstream::forward::{Forwarder, Outcome};
use crate::upstream::pool::Pool;
use crate::watch_client::{WatchClient, WatchHandler};

/// Transit time of a request from the client to this edge, plus that of the response back. It is subtracted from the
/// deadline, which the client counts from when it sends the request.
const CLIENT_TRANSIT_TIME: Duration = Duration::from_millis(12);
/// Fraction of the process's memory limit for the local cache of objects whose shield is in another zone. The cache saves
/// traffic between zones; the traffic for less requested objects would not justify the memory of a larger one.
pub const CACHE_MEMORY_SHARE: f64 = 0.06;
/// Time between the deadline of requests at a draining edge and the end of its grace period, when the remaining ones are
/// aborted.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);
/// `Retry-After` while the edge has no configuration or no service for a request, or no memory for another response.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The state of an edge: its routing, forwarding and local cache.
pub struct Edge {
    watch_client: Rc<WatchClient>,
    forwarder: Forwarder,
    shields: ShieldSelector,
    local_cache: LocalCache,
    /// Whether control publishes all changes to this edge.
    is_connected: Cell<bool>,
    /// Number of edges, which share the rate limits of the services; at least 1.
    edge_count: Cell<u32>,
    counters: Counters,
    attempt_counts: AttemptCounts,
    failures: FailureLog,
    /// The version of the configuration that routed the last request.
    latest_rev: Cell<u64>,
}

impl Edge {
    /// An edge that receives updates through `watch_client` and sends requests through `pool`.
    pub fn new(settings: &Rc<Settings>, watch_client: Rc<WatchClient>, pool: Rc<Pool>) -> Rc<Self> {
        Rc::new(Edge {
            watch_client,
            forwarder: Forwarder::new(pool, settings, ProxyRole::Edge),
            shields: ShieldSelector::new(&settings.zone),
            local_cache: LocalCache::new(settings.memory_share(CACHE_MEMORY_SHARE)),
            is_connected: Cell::new(false),
            edge_count: Cell::new(1),
            counters: Counters::default(),
            attempt_counts: AttemptCounts::default(),
            failures: FailureLog::default(),
            latest_rev: Cell::new(0),
        })
    }

    /// Answers a client's request.
    async fn serve(&self, request: &FullRequest) -> ProxyResponse {
        self.counters.requests.increment();
        let Some(config) = self.watch_client.config() else {
            return LocalResponse::rejected(Cause::NoConfiguration, NOT_READY_RETRY_AFTER).into();
        };
        self.check_config_order(config.rev);
        let host = request.host();
        let Some(route) = config.route(&host, request.head.uri.path()) else {
            self.counters.no_route.increment();
            return LocalResponse::no_route().into();
        };
        let deadline = self.deadline(route, request);
        let is_read = is_cacheable_read(route, request);
        // The draw is a number from 0 to 1 that selects a service of the route. For a read it depends only on the object,
        // so that a shield chooses the same service as the edge.
        let draw = match is_read {
            true => object_fraction(&host, request.path_and_query()),
            false => self.forwarder.origins.next_random(),
        };
        let Some(service) = route.choose_backend(draw) else {
            return LocalResponse::rejected(Cause::NoService, NOT_READY_RETRY_AFTER).into();
        };
        let headers = forwardable_headers(&request.head.headers);
        let routed = RoutedRequest { config: &config, route, service, request, headers, deadline };
        if is_read {
            self.read(routed).await
        } else {
            self.forward(routed).await
        }
    }

    fn check_config_order(&self, rev: u64) {
        let previous = self.latest_rev.replace(rev);
        Invariant::ConfigOrder
            .check(previous <= rev, || format!("configuration {rev} used after {previous}"));
    }

    /// The time by which a request must be answered. All waits on its behalf end by then. It is the client's or the route's
    /// deadline, whichever is earlier, and counts from when the request was read. A request that arrives while the edge is
    /// draining ends within the grace period: its server receives the remaining time, and answers within it.
    fn deadline(&self, route: &Route, request: &FullRequest) -> Instant {
        let requested =
            request.head.headers.get(DEADLINE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        let timeout_ms = requested.map_or(route.deadline_ms, |ms: u64| ms.min(route.deadline_ms));
        let deadline = Instant::now() + Duration::from_millis(timeout_ms).saturating_sub(CLIENT_TRANSIT_TIME);
        let drain_deadline = self.watch_client.drain_deadline().map(|end| end - DRAIN_MARGIN);
        drain_deadline.map_or(deadline, |drain_deadline| deadline.min(drain_deadline))
    }

    /// Forwards a request that no cache can answer to a server of its service.
    async fn forward(&self, mut routed: RoutedRequest<'_>) -> ProxyResponse {
        self.forwarder.record_client_request(routed.service);
        let headers = std::mem::take(&mut routed.headers);
        let outcome = self.forwarder.send(routed.upstream_request(headers, false)).await;
        self.response_to(outcome, &routed.request.head.method)
    }

    /// The response to the client for the outcome of its request at the servers.
    fn response_to(&self, outcome: Outcome, method: &Method) -> ProxyResponse {
        match outcome {
            Outcome::Answered(response) => response.forward(method),
            Outcome::NotRun(rejection) => {
                self.counters.rejected.increment();
                LocalResponse::rejected(rejection.failure, rejection.retry_after).into()
            }
            Outcome::Unknown(failure) => {
                self.counters.unknown.increment();
                LocalResponse::bad_gateway(failure).into()
            }
            Outcome::TimedOut(failure) => {
                self.counters.timed_out.increment();
                LocalResponse::gateway_timeout(failure).into()
            }
        }
    }

    /// Updates this edge's quota of the rate limits of services. If no shield answers, or control does not publish to this
    /// edge, either the shields are down or the edge is partitioned from them. It then takes the larger quota of an edge
    /// without shields: edges that reach the shields do not use their own quotas meanwhile.
    fn update_quota_share(&self) {
        let without_shields =
            !self.shields.any_ready() || !self.is_connected.get() || self.shields.all_failing();
        self.forwarder.set_quota_holder(QuotaHolder::Edge {
            edge_count: self.edge_count.get() as usize,
            without_shields,
        });
    }

    /// Stores a shield's response in the local cache; `sent` is when the request was sent to the shield. Nothing is stored
    /// without a lease, or if a recent purge matches the response.
    pub fn cache_response(&self, object: &ObjectKey, response: &ServerResponse, sent: Instant) {
        let Some(fetch_time) = StoredResponse::fetched_at(response, sent) else { return };
        let Some(stored) = StoredResponse::from_response(response, fetch_time) else { return };
        if self.watch_client.may_serve_stored_responses() {
            self.local_cache.store(object, stored);
        }
    }

    /// The stored response for an object in the local cache, whatever its age.
    pub fn cached(&self, object: &ObjectKey) -> Option<Rc<StoredResponse>> {
        self.local_cache.get(object)
    }

    /// The number of recent purges that keep responses out of the local cache.
    pub fn recent_purge_count(&self) -> usize {
        self.local_cache.recent_purge_count()
    }

    /// Counts and logs a failed request, with its route in the current configuration.
    fn log_failure(&self, failure: &Failure, head: &Parts, status: StatusCode, received: Instant) {
        let config = self.watch_client.config();
        self.failures.record(failure, || {
            let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
            let host = text(header::HOST);
            let route = config.as_ref().and_then(|config| config.route(host, head.uri.path()));
            FailedRequest {
                try_id: text(TRY_ID_HEADER),
                method: head.method.as_str(),
                host,
                path: head.uri.path_and_query().map_or("", |path| path.as_str()),
                route: route.map_or("", |route| &route.name),
                status: status.as_u16(),
                rev: config.as_ref().map_or(0, |config| config.rev),
                holds_lease: self.watch_client.may_serve_stored_responses(),
                started: received,
            }
        });
    }
}

impl WatchHandler for Edge {
    fn config_changed(&self, _config: &Arc<Config>) {}

    fn fleet_changed(&self, fleet: &Fleet) {
        self.forwarder.update(fleet);
        self.shields.update(fleet);
        self.edge_count.set(fleet.edges.len().max(1) as u32);
        self.update_quota_share();
    }

    fn purge(&self, purges: &[AgedPurge]) {
        self.local_cache.purge(purges);
    }

    fn connection_changed(&self, is_connected: bool) {
        self.is_connected.set(is_connected);
        self.update_quota_share();
    }

    fn counters(&self) -> Vec<(String, u64)> {
        let counts = self.counters.counts().into_iter().chain(self.forwarder.report());
        let mut report: Vec<(String, u64)> = counts.map(|(name, count)| (name.to_owned(), count)).collect();
        report.extend(self.failures.report());
        report.extend(self.attempt_counts.report());
        report.extend(self.counters.latencies());
        report
    }
}
