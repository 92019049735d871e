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

use super::fetch_result::{FetchEnd, Fetched};
use super::singleflight::{FetchReceiver, StartedFetch, TooManyFetches};
use super::{Shield, REPEATED_REQUEST};
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::headers::forwardable_headers;
use crate::http::response::ServerResponse;
use crate::http::send_budget::Allowance;
use crate::upstream::forward::{Outcome, UpstreamRequest};

/// How long a fetch may continue after the deadline of the read that started it, so that its response serves the next
/// read. Servers get at most this much more time than the client has left.
const MAX_OVERRUN: Duration = Duration::from_millis(400);

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
    terms: RouteTerms,
}

/// The settings of an object's route and service that apply to its fetches.
struct RouteTerms {
    max_sends: u32,
    timeout: Duration,
    latency_target: Duration,
    priority_rank: f64,
    rate_per_s: Option<f64>,
}

impl RouteTerms {
    fn new(config: &Config, route: &Route, service: &str) -> Self {
        RouteTerms {
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
        let is_retry = request.headers.contains_key(REPEATED_REQUEST);
        let terms = RouteTerms::new(config, route, &key.service);
        let uri = request.uri.clone();
        FetchRequest { key, uri, headers, stale, is_retry, allowance, read_deadline, terms }
    }

    fn upstream_request(&mut self, started: Instant) -> UpstreamRequest<'_> {
        UpstreamRequest {
            service: &self.key.service,
            method: &Method::GET,
            uri: &self.uri,
            headers: std::mem::take(&mut self.headers),
            body: Bytes::new(),
            idempotent: true,
            max_attempts: self.terms.max_sends,
            is_retry: self.is_retry,
            deadline: (started + self.terms.timeout).min(self.read_deadline + MAX_OVERRUN),
            latency_target: self.terms.latency_target,
            priority_rank: self.terms.priority_rank,
            rate_limit_per_s: self.terms.rate_per_s,
        }
    }
}

impl Shield {
    /// Starts a fetch, which continues even if the read that started it ends first.
    pub(super) fn start_fetch(
        self: &Rc<Self>,
        request: FetchRequest,
    ) -> Result<FetchReceiver, TooManyFetches> {
        let (started, receiver) = self.fetches.start(&request.key)?;
        self.counters.misses.increment();
        let shield = Rc::clone(self);
        spawn_local(async move {
            let end = shield.fetch(request, &started).await;
            started.publish(end);
        });
        Ok(receiver)
    }

    /// Fetches an object, and stores the response unless a purge that was received meanwhile covers it.
    async fn fetch(&self, mut request: FetchRequest, started: &StartedFetch) -> FetchEnd {
        let began = Instant::now();
        let allowance = request.allowance;
        let (outcome, report) =
            self.forwarder.send_with_allowance(request.upstream_request(began), allowance).await;
        let FetchRequest { key, stale, .. } = request;
        let fetched = match outcome {
            Outcome::Answered(response) => self.take_response(&key, response, began, stale.as_ref()),
            Outcome::NotRun(refusal) => Fetched::Rejected(refusal),
            Outcome::Unknown(failure) => Fetched::Unknown(failure),
            Outcome::TimedOut(failure) => Fetched::TimedOut(failure),
        };
        self.counters.fetch_latency.record(began.elapsed());
        self.fetches.finish(started);
        if let Fetched::Copy(copy) = &fetched {
            let is_revalidated = stale.is_some_and(|stale| Rc::ptr_eq(&stale, copy));
            if !started.is_purged(copy) {
                self.store(key, copy, is_revalidated);
            }
        }
        FetchEnd { fetched, report }
    }

    /// The outcome of a fetch to which a server has responded. A stale stored response that the server confirms counts
    /// as requested at `sent_at` from now on.
    fn take_response(
        &self,
        key: &ObjectKey,
        response: ServerResponse,
        sent: Instant,
        stale: Option<&Rc<StoredResponse>>,
    ) -> Fetched {
        if let (StatusCode::NOT_MODIFIED, Some(stale)) = (response.status(), stale) {
            tracing::debug!(path = %key.path, "stored response revalidated");
            self.counters.revalidated.increment();
            stale.requested_at.set(sent);
            return Fetched::Copy(Rc::clone(stale));
        }
        match StoredResponse::from_response(&response, sent) {
            Some(copy) => Fetched::Copy(Rc::new(copy)),
            None => Fetched::Other(response),
        }
    }
}
