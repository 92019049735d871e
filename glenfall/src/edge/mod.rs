//! The edge proxy: routes clients' requests, sends reads through the shield that RJ-CH names, and forwards all other
//! requests straight to a server.

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
pub use self::local_cache::{MAX_RECENT_PURGES, PURGE_BARRIER_TIME};
use self::read::attempt_log::AttemptCounts;
use self::routed_request::{is_cacheable_read, RoutedRequest};
use self::shield_selector::ShieldSelector;
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::failure::{Cause, FailedRequest, Failure, FailureLog};
use crate::http::headers::{forwardable_headers, DEADLINE_HEADER, TRY_ID_HEADER};
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse};
use crate::http_server::FullRequest;
use crate::settings::Settings;
use crate::shield::object_draw;
use crate::upstream::forward::{Forwarder, Outcome};
use crate::upstream::pool::Pool;
use crate::watch_client::{WatchClient, WatchHandler};

/// Time between the start of the client's clock and the arrival of its request here, plus the time that the response
/// needs back. It is subtracted from the deadline.
const CLIENT_TRANSIT_TIME: Duration = Duration::from_millis(12);
/// Share of the machine's memory for the local cache of objects whose shield is in another zone. It saves traffic between
/// zones; a larger cache would use more memory than the traffic for the less requested objects justifies.
pub const CACHE_MEMORY_SHARE: f64 = 0.06;
/// A draining edge has its responses ready this long before the end of its grace time, when it aborts the others.
const DRAIN_MARGIN: Duration = Duration::from_millis(200);
/// `Retry-After` of a node that is not ready yet, or has no memory for another response.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An edge: the requests that it forwards, and its local cache.
pub struct Edge {
    watch_client: Rc<WatchClient>,
    forwarder: Forwarder,
    shields: ShieldSelector,
    local_cache: LocalCache,
    /// Whether control publishes all changes to this edge.
    in_touch: Cell<bool>,
    /// Number of edges, which share what may be requested of the services; 1 at least.
    edge_count: Cell<u32>,
    counters: Counters,
    attempt_counts: AttemptCounts,
    failures: FailureLog,
    /// The newest version of the configuration that a request was routed by.
    latest_rev: Cell<u64>,
}

impl Edge {
    /// An edge that learns of changes through `watch_client` and sends through `pool`.
    pub fn new(settings: &Rc<Settings>, watch_client: Rc<WatchClient>, pool: Rc<Pool>) -> Rc<Self> {
        Rc::new(Edge {
            watch_client,
            forwarder: Forwarder::new(pool, settings, ProxyRole::Edge),
            shields: ShieldSelector::new(&settings.zone),
            local_cache: LocalCache::new(settings.memory_share(CACHE_MEMORY_SHARE)),
            in_touch: Cell::new(false),
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
        let Some(route) = config.route(request.host(), request.head.uri.path()) else {
            self.counters.no_route.increment();
            return LocalResponse::no_route().into();
        };
        let deadline = self.deadline(route, request);
        let is_read = is_cacheable_read(route, request);
        // A shield draws the same service for an object as the edge.
        let draw = match is_read {
            true => object_draw(request.host(), request.path_and_query()),
            false => self.forwarder.origins.next_random(),
        };
        let Some(service) = route.service(draw) else {
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
        Invariant::ConfigOrder.check(previous <= rev, || format!("{rev} after {previous}"));
    }

    /// The time by which a request must be answered: the one deadline of all that it waits for, counted from when it was
    /// read. It is the client's or the route's, whichever is earlier. A request that arrives while the edge is draining
    /// ends within the grace time: its server receives the remaining time, and answers within it.
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

    /// The client's response for the outcome of its request at the servers.
    fn response_to(&self, outcome: Outcome, method: &Method) -> ProxyResponse {
        match outcome {
            Outcome::Answered(response) => response.forward(method),
            Outcome::NotRun(refusal) => {
                self.counters.rejected.increment();
                LocalResponse::rejected(refusal.failure, refusal.retry_after).into()
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

    /// Updates this edge's share of what may be requested of services with a rate limit. Where no shield answers, or the
    /// edge is out of touch, either the shields are gone or the edge is partitioned from them; those that reach the
    /// shields do not use the edges' share then.
    fn update_quota_share(&self) {
        let alone = !self.shields.any_ready() || !self.in_touch.get() || self.shields.all_failing();
        self.forwarder.set_quota_holder(QuotaHolder::Edge { of: self.edge_count.get() as usize, alone });
    }

    /// Stores a shield's response to a request sent at this time in the local cache. Nothing is stored without a lease,
    /// or where a recent purge names the response.
    pub fn cache_response(&self, object: &ObjectKey, response: &ServerResponse, sent: Instant) {
        let Some(born) = StoredResponse::fetched_at(response, sent) else { return };
        let Some(copy) = StoredResponse::from_response(response, born) else { return };
        if self.watch_client.may_serve_stored_responses() {
            self.local_cache.store(object, copy);
        }
    }

    /// The response that the local cache holds for an object, whatever its age.
    pub fn cached(&self, object: &ObjectKey) -> Option<Rc<StoredResponse>> {
        self.local_cache.get(object)
    }

    /// How many recent purges keep responses out of the local cache.
    pub fn recent_purge_count(&self) -> usize {
        self.local_cache.recent_purge_count()
    }

    /// Counts and logs a failed request, with the route that takes it by the current configuration.
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

    fn connection_changed(&self, yes: bool) {
        self.in_touch.set(yes);
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
