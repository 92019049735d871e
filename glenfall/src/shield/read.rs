//! Reads at a shield: answered from its cache, from a fetch in flight, or by a new fetch.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::config::{Config, Route};
use hyper::header::{HeaderMap, HeaderName};
use hyper::Method;
use tokio::time::{timeout_at, Instant};

use super::fetch::FetchRequest;
use super::fetch_result::{FetchOutcome, FetchResult};
use super::freshness::max_age;
use super::singleflight::{FetchReceiver, JoinedFetch, TooManyFetches};
use super::{object_fraction, Shield, CONFIG_VERSION_HEADER, REPEATED_REQUEST_HEADER};
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::failure::Cause;
use crate::http::headers::DEADLINE_HEADER;
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SendReport};
use crate::http_server::FullRequest;
use crate::upstream::forward::{Rejection, UNAVAILABLE_RETRY_AFTER};

/// How long a read waits for the version of the configuration that its edge has used. Updates reach the machines of one
/// region within milliseconds of each other, and those of different regions within a round trip. An update that takes
/// longer may not arrive at all, because the control node of this machine is partitioned.
const CONFIG_WAIT: Duration = Duration::from_millis(100);
/// `Retry-After` of a shield that lacks the configuration for a read.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time until the deadline of a read that states none.
const DEFAULT_DEADLINE_MS: u64 = 1000;
/// Upper bound of the time until the deadline that a read may state.
const MAX_DEADLINE_MS: u64 = 60_000;

/// The response to a read, and what its edge needs to know about it.
pub(super) struct ReadResult {
    pub response: ProxyResponse,
    pub source: ShieldSource,
    /// The sends that the read has used of those that its edge allowed.
    pub report: SendReport,
}

impl ReadResult {
    fn from_stored(
        stored_response: &StoredResponse,
        request: &HeaderMap,
        source: ShieldSource,
    ) -> ReadResult {
        let mut response = stored_response.respond_to(request).into();
        stored_response.add_cache_details(&mut response);
        ReadResult { response, source, report: SendReport::default() }
    }

    /// A server's response that can't be stored.
    fn uncacheable(response: ServerResponse) -> ReadResult {
        let response = response.forward(&Method::GET);
        ReadResult { response, source: ShieldSource::Uncacheable, report: SendReport::default() }
    }

    fn local(response: LocalResponse) -> ReadResult {
        ReadResult { response: response.into(), source: ShieldSource::Local, report: SendReport::default() }
    }
}

/// A read whose route and object are known.
#[derive(Clone, Copy)]
struct Read<'a> {
    config: &'a Arc<Config>,
    route: &'a Route,
    key: &'a ObjectKey,
    deadline: Instant,
    request: &'a FullRequest,
}

impl Shield {
    /// Answers a read.
    pub(super) async fn read(self: &Rc<Self>, request: &FullRequest) -> ReadResult {
        let deadline = deadline(&request.head.headers);
        let config = match self.config_for(&request.head.headers, deadline).await {
            Ok(config) => config,
            Err(not_ready) => return not_ready,
        };
        let Some((route, key)) = route_and_object(&config, request) else {
            return ReadResult::local(LocalResponse::no_route());
        };
        if !request.head.headers.contains_key(REPEATED_REQUEST_HEADER) {
            self.forwarder.record_client_request(&key.service);
        }
        let read = Read { config: &config, route, key: &key, deadline, request };
        loop {
            if let Some(result) = self.try_read(&read).await {
                return result;
            }
            self.counters.outdated_joins.increment();
            tracing::debug!(path = %key.path, "shared fetch began before a purge of its object: reading again");
            if Instant::now() >= deadline {
                return ReadResult::local(LocalResponse::gateway_timeout(Cause::NoResponse));
            }
        }
    }

    /// Answers a read from the cache, from a fetch in flight, or by a new fetch. `None` if the fetch in flight returned
    /// content from before a purge that was received before the read joined it.
    async fn try_read(self: &Rc<Self>, read: &Read<'_>) -> Option<ReadResult> {
        let Read { route, key, request, .. } = *read;
        let stored = self.cache.borrow_mut().get(key);
        let max_age = max_age(route);
        if let Some(stored_response) =
            stored.as_ref().filter(|stored_response| stored_response.age() < max_age)
        {
            self.counters.hits.increment();
            return Some(ReadResult::from_stored(
                stored_response,
                &request.head.headers,
                self.with_lease_status(ShieldSource::Hit),
            ));
        }
        if let Some(joined) = self.fetches.join(key) {
            self.counters.collapsed.increment();
            return self.await_joined_fetch(joined, read).await;
        }
        Some(self.read_by_new_fetch(read, stored).await)
    }

    async fn read_by_new_fetch(
        self: &Rc<Self>,
        read: &Read<'_>,
        stored: Option<Rc<StoredResponse>>,
    ) -> ReadResult {
        let Read { config, route, key, deadline, request } = *read;
        let allowance = Allowance::from_request(&request.head.headers, route.tries);
        if allowance.sends == 0 {
            let report = SendReport { used: 0, exhausted: true };
            let no_send_left = LocalResponse::gateway_timeout(Cause::NoSendLeft);
            return ReadResult { report, ..ReadResult::local(no_send_left) };
        }
        let key = key.clone();
        let fetch = FetchRequest::new(config, route, key, &request.head, stored, allowance, deadline);
        match self.start_fetch(fetch) {
            Ok(receiver) => self.await_started_fetch(receiver, deadline, allowance, request).await,
            Err(TooManyFetches) => {
                self.reject(Rejection::new(Cause::TooManyFetches, UNAVAILABLE_RETRY_AFTER))
            }
        }
    }

    /// `source`, or `WithoutLease` if this shield has no lease on its stored responses now.
    fn with_lease_status(&self, source: ShieldSource) -> ShieldSource {
        if self.watch_client.may_serve_stored_responses() {
            source
        } else {
            ShieldSource::WithoutLease
        }
    }

    /// The configuration, once it is at least as new as the edge's. A rejection if there is none in time.
    async fn config_for(&self, headers: &HeaderMap, deadline: Instant) -> Result<Arc<Config>, ReadResult> {
        let version = numeric_header(headers, CONFIG_VERSION_HEADER).unwrap_or(0);
        let not_ready = |cause| ReadResult::local(LocalResponse::rejected(cause, NOT_READY_RETRY_AFTER));
        let wait_until = deadline.min(Instant::now() + CONFIG_WAIT);
        if timeout_at(wait_until, self.watch_client.wait_for_version(version)).await.is_err() {
            return Err(ReadResult {
                source: ShieldSource::ConfigOutdated,
                ..not_ready(Cause::ShieldConfigOutdated)
            });
        }
        self.watch_client.config().ok_or_else(|| not_ready(Cause::NoConfiguration))
    }

    /// Waits for the fetch that this read has started, until the read's deadline.
    async fn await_started_fetch(
        &self,
        receiver: FetchReceiver,
        deadline: Instant,
        allowance: Allowance,
        request: &FullRequest,
    ) -> ReadResult {
        match await_fetch_result(receiver, deadline).await {
            Ok(FetchResult { outcome: FetchOutcome::Uncacheable(response), report }) => {
                ReadResult { report, ..ReadResult::uncacheable(response) }
            }
            Ok(FetchResult { outcome, report }) => {
                ReadResult { report, ..self.shared_result(outcome, request) }
            }
            Err(outcome) => {
                // The fetch continues, and may use all sends that it was allowed.
                let report = SendReport { used: allowance.sends, exhausted: false };
                ReadResult { report, ..self.shared_result(outcome, request) }
            }
        }
    }

    /// Waits for a fetch that another read has started. Servers receive it under the id of that read, so that it uses
    /// none of this read's sends. `None` if its response is from before a purge that this read has to respect.
    async fn await_joined_fetch(&self, joined: JoinedFetch, read: &Read<'_>) -> Option<ReadResult> {
        // Determined before the wait: a shield without a lease may not have received a purge that the read has to
        // respect.
        let source = self.with_lease_status(ShieldSource::Miss);
        let result = match await_fetch_result(joined.receiver.clone(), read.deadline).await {
            Ok(FetchResult { outcome, report }) => {
                if self.fetches.is_outdated(read.key, &joined, &outcome) {
                    return None;
                }
                let report = SendReport { used: 0, exhausted: report.exhausted };
                ReadResult { report, ..self.shared_result(outcome, read.request) }
            }
            Err(outcome) => self.shared_result(outcome, read.request),
        };
        Some(match result.source {
            ShieldSource::Miss => ReadResult { source, ..result },
            _ => result,
        })
    }

    /// The result of a fetch for any of the reads that wait for it.
    fn shared_result(&self, outcome: FetchOutcome, request: &FullRequest) -> ReadResult {
        match outcome {
            FetchOutcome::Storable(stored_response) => {
                ReadResult::from_stored(&stored_response, &request.head.headers, ShieldSource::Miss)
            }
            FetchOutcome::Uncacheable(failure) if !failure.status().is_success() => {
                ReadResult::local(LocalResponse::for_joined_request(&failure))
            }
            FetchOutcome::Uncacheable(response) => ReadResult::uncacheable(response),
            FetchOutcome::Rejected(rejection) => self.reject(rejection),
            FetchOutcome::Unknown(failure) => ReadResult::local(LocalResponse::bad_gateway(failure)),
            FetchOutcome::TimedOut(failure) => ReadResult::local(LocalResponse::gateway_timeout(failure)),
        }
    }

    fn reject(&self, rejection: Rejection) -> ReadResult {
        self.counters.rejected.increment();
        ReadResult::local(LocalResponse::rejected(rejection.failure, rejection.retry_after))
    }
}

/// The time by which a read has to be answered.
fn deadline(headers: &HeaderMap) -> Instant {
    let timeout_ms =
        numeric_header(headers, DEADLINE_HEADER).unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
    Instant::now() + Duration::from_millis(timeout_ms)
}

fn numeric_header(headers: &HeaderMap, name: HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The route of a read and the key of its object; `None` if no route matches.
fn route_and_object<'a>(config: &'a Config, request: &FullRequest) -> Option<(&'a Route, ObjectKey)> {
    let (host, path) = (request.host(), request.path_and_query());
    let route = config.route(&host, request.head.uri.path());
    let route = route.filter(|_| request.head.method == Method::GET)?;
    let service = route.choose_backend(object_fraction(&host, path))?;
    Some((route, ObjectKey { service: service.into(), host: (*host).into(), path: path.into() }))
}

/// Waits for the result of a fetch until a deadline. The error is the outcome that the read gets if no result arrives.
async fn await_fetch_result(
    mut receiver: FetchReceiver,
    deadline: Instant,
) -> Result<FetchResult, FetchOutcome> {
    let response_lost = || FetchOutcome::Unknown(Cause::ResponseLost.into());
    match timeout_at(deadline, receiver.wait_for(Option::is_some)).await {
        Ok(Ok(result)) => result.clone().ok_or_else(response_lost),
        Ok(Err(_)) => Err(response_lost()),
        Err(_) => Err(FetchOutcome::TimedOut(Cause::NoResponse.into())),
    }
}
