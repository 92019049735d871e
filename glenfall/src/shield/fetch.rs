//! Fetches of a shield from the servers, within the sends that the read's edge allows, and the revalidation of stale
//! responses.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::config::{Config, Route};
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::fetch_result::{FetchOutcome, FetchResult};
use super::singleflight::{FetchReceiver, StartedFetch, TooManyFetches};
use super::{Shield, REPEATED_REQUEST_HEADER};
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::headers::forwardable_headers;
use crate::http::response::ServerResponse;
use crate::http::send_budget::Allowance;
use crate::upstream::forward::{Outcome, UpstreamRequest};

/// How long a fetch may continue after the deadline of the read that started it, so that its response serves the next
/// read. Servers get at most this much more time than the client has left.
const FETCH_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// The request of a fetch, and its limits.
pub(super) struct FetchRequest {
    key: ObjectKey,
    uri: Uri,
    headers: HeaderMap,
    /// The stored response to revalidate, if there is one.
    stale: Option<Rc<StoredResponse>>,
    /// Whether another shield may have counted the request and sent it to a server.
    is_retry: bool,
    allowance: Allowance,
    /// The deadline of the read that starts the fetch.
    read_deadline: Instant,
    route_params: RouteParams,
}

/// The settings of an object's route and service that apply to its fetches.
struct RouteParams {
    max_sends: u32,
    timeout: Duration,
    latency_target: Duration,
    priority_rank: f64,
    rate_per_s: Option<f64>,
}

impl RouteParams {
    fn new(config: &Config, route: &Route, service: &str) -> Self {
        RouteParams {
            max_sends: route.tries,
            timeout: Duration::from_millis(route.deadline_ms),
            latency_target: route.latency_target(),
            priority_rank: config.priority_rank(route),
            rate_per_s: config.backend(service).and_then(|backend| backend.rate_per_s),
        }
    }
}

impl FetchRequest {
    /// The fetch for a read that finds no fresh response. Objects are always fetched completely, whatever range the
    /// read requests.
    pub fn new(
        config: &Arc<Config>,
        route: &Route,
        key: ObjectKey,
        request: &Parts,
        stale: Option<Rc<StoredResponse>>,
        allowance: Allowance,
        read_deadline: Instant,
    ) -> Self {
        let mut headers = forwardable_headers(&request.headers);
        for name in [header::RANGE, header::IF_RANGE, header::IF_NONE_MATCH, header::IF_MODIFIED_SINCE] {
            headers.remove(name);
        }
        if let Some(etag) = stale.as_ref().and_then(|stale| stale.headers.get(header::ETAG)) {
            headers.insert(header::IF_NONE_MATCH, etag.clone());
        }
        let is_retry = request.headers.contains_key(REPEATED_REQUEST_HEADER);
        let route_params = RouteParams::new(config, route, &key.service);
        let uri = request.uri.clone();
        FetchRequest { key, uri, headers, stale, is_retry, allowance, read_deadline, route_params }
    }

    fn upstream_request(&mut self, started_at: Instant) -> UpstreamRequest<'_> {
        UpstreamRequest {
            service: &self.key.service,
            method: &Method::GET,
            uri: &self.uri,
            headers: std::mem::take(&mut self.headers),
            body: Bytes::new(),
            idempotent: true,
            max_attempts: self.route_params.max_sends,
            is_retry: self.is_retry,
            deadline: (started_at + self.route_params.timeout).min(self.read_deadline + FETCH_GRACE_PERIOD),
            latency_target: self.route_params.latency_target,
            priority_rank: self.route_params.priority_rank,
            rate_limit_per_s: self.route_params.rate_per_s,
        }
    }
}

impl Shield {
    /// Starts a fetch, which continues even if the read that started it ends first.
    pub(super) fn start_fetch(
        self: &Rc<Self>,
        request: FetchRequest,
    ) -> Result<FetchReceiver, TooManyFetches> {
        let (started_fetch, receiver) = self.fetches.start(&request.key)?;
        self.counters.misses.increment();
        let shield = Rc::clone(self);
        spawn_local(async move {
            let result = shield.fetch(request, &started_fetch).await;
            started_fetch.publish(result);
        });
        Ok(receiver)
    }

    /// Fetches an object, and stores the response unless a purge that was received meanwhile covers it.
    async fn fetch(&self, mut request: FetchRequest, started_fetch: &StartedFetch) -> FetchResult {
        let started_at = Instant::now();
        let allowance = request.allowance;
        let (outcome, report) =
            self.forwarder.send_with_allowance(request.upstream_request(started_at), allowance).await;
        let FetchRequest { key, stale, .. } = request;
        let outcome = match outcome {
            Outcome::Answered(response) => self.process_response(&key, response, started_at, stale.as_ref()),
            Outcome::NotRun(rejection) => FetchOutcome::Rejected(rejection),
            Outcome::Unknown(failure) => FetchOutcome::Unknown(failure),
            Outcome::TimedOut(failure) => FetchOutcome::TimedOut(failure),
        };
        self.counters.fetch_latency.record(started_at.elapsed());
        self.fetches.finish(started_fetch);
        if let FetchOutcome::Storable(stored_response) = &outcome {
            let is_revalidated = stale.is_some_and(|stale| Rc::ptr_eq(&stale, stored_response));
            if !self.fetches.is_purged(started_fetch, stored_response) {
                self.store(key, stored_response, is_revalidated);
            }
        }
        FetchResult { outcome, report }
    }

    /// The outcome of a fetch to which a server has responded. A stale stored response that the server confirms counts
    /// as requested at `sent_at` from now on.
    fn process_response(
        &self,
        key: &ObjectKey,
        response: ServerResponse,
        sent_at: Instant,
        stale: Option<&Rc<StoredResponse>>,
    ) -> FetchOutcome {
        if let (StatusCode::NOT_MODIFIED, Some(stale)) = (response.status(), stale) {
            tracing::debug!(path = %key.path, "stored response revalidated");
            self.counters.revalidated.increment();
            stale.revalidate(sent_at);
            return FetchOutcome::Storable(Rc::clone(stale));
        }
        match StoredResponse::from_response(&response, sent_at) {
            Some(stored_response) => FetchOutcome::Storable(Rc::new(stored_response)),
            None => FetchOutcome::Uncacheable(response),
        }
    }
}
