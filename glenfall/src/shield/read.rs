//! Reads at a shield: answered from its cache, from a fetch in flight, or by a new fetch.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_control_plane::config::{Config, Route};
use hyper::header::{HeaderMap, HeaderName};
use hyper::Method;
use tokio::time::{timeout_at, Instant};

use super::fetch::FetchRequest;
use super::fetch_result::{FetchEnd, Fetched};
use super::freshness::max_age;
use super::singleflight::{FetchReceiver, TooManyFetches};
use super::{object_draw, Shield, CONFIG_REV, REPEATED_REQUEST};
use crate::cache::{ObjectKey, StoredResponse};
use crate::http::failure::Cause;
use crate::http::headers::DEADLINE_HEADER;
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse, ShieldSource};
use crate::http::send_budget::{Allowance, SendReport};
use crate::http_server::FullRequest;
use crate::upstream::forward::{Rejection, UNAVAILABLE_RETRY_AFTER};

/// How long a read waits for the version of the configuration that its edge has used. Updates reach the machines of one
/// region within milliseconds of each other, and those of different regions within a round trip. One that takes longer
/// may not arrive at all, because the control node of this machine is partitioned.
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
    fn from_copy(copy: &StoredResponse, request: &HeaderMap, source: ShieldSource) -> ReadResult {
        let mut response = copy.respond_to(request).into();
        copy.add_cache_details(&mut response);
        ReadResult { response, source, report: SendReport::default() }
    }

    /// A server's response that can't be stored.
    fn passed(response: ServerResponse) -> ReadResult {
        let response = response.forward(&Method::GET);
        ReadResult { response, source: ShieldSource::Uncacheable, report: SendReport::default() }
    }

    fn local(response: LocalResponse) -> ReadResult {
        ReadResult { response: response.into(), source: ShieldSource::Local, report: SendReport::default() }
    }
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
        if !request.head.headers.contains_key(REPEATED_REQUEST) {
            self.forwarder.record_client_request(&key.service);
        }
        let stored = self.cache.borrow_mut().get(&key);
        let max_age = max_age(route);
        if let Some(copy) = stored.as_ref().filter(|copy| copy.age() < max_age) {
            self.counters.hits.increment();
            return ReadResult::from_copy(copy, &request.head.headers, self.under_lease(ShieldSource::Hit));
        }
        if let Some(receiver) = self.fetches.join(&key) {
            self.counters.collapsed.increment();
            return self.await_shared(receiver, deadline, request).await;
        }
        let allowance = Allowance::from_request(&request.head.headers, route.tries);
        if allowance.sends == 0 {
            let report = SendReport { used: 0, exhausted: true };
            let no_send_left = LocalResponse::gateway_timeout(Cause::NoSendLeft);
            return ReadResult { report, ..ReadResult::local(no_send_left) };
        }
        let fetch = FetchRequest::new(&config, route, key, &request.head, stored, allowance, deadline);
        match self.start_fetch(fetch) {
            Ok(receiver) => self.await_own(receiver, deadline, allowance, request).await,
            Err(TooManyFetches) => {
                self.reject(Rejection::new(Cause::TooManyFetches, UNAVAILABLE_RETRY_AFTER))
            }
        }
    }

    /// `source`, or `WithoutLease` if this shield has no lease on its stored responses now.
    fn under_lease(&self, source: ShieldSource) -> ShieldSource {
        if self.watch_client.may_serve_stored_responses() {
            source
        } else {
            ShieldSource::WithoutLease
        }
    }

    /// The configuration, once it is at least as new as the edge's. A rejection if it does not become so in time.
    async fn config_for(&self, headers: &HeaderMap, deadline: Instant) -> Result<Arc<Config>, ReadResult> {
        let rev = number_in(headers, CONFIG_REV).unwrap_or(0);
        let not_ready = |cause| ReadResult::local(LocalResponse::rejected(cause, NOT_READY_RETRY_AFTER));
        let wait_until = deadline.min(Instant::now() + CONFIG_WAIT);
        if timeout_at(wait_until, self.watch_client.wait_for_version(rev)).await.is_err() {
            return Err(ReadResult {
                source: ShieldSource::ConfigOutdated,
                ..not_ready(Cause::ShieldBehind)
            });
        }
        self.watch_client.config().ok_or_else(|| not_ready(Cause::NoConfiguration))
    }

    /// Waits for the fetch that this read has started, until the read's deadline.
    async fn await_own(
        &self,
        receiver: FetchReceiver,
        deadline: Instant,
        allowance: Allowance,
        request: &FullRequest,
    ) -> ReadResult {
        match await_end(receiver, deadline).await {
            Ok(FetchEnd { fetched: Fetched::Other(response), report }) => {
                ReadResult { report, ..ReadResult::passed(response) }
            }
            Ok(FetchEnd { fetched, report }) => ReadResult { report, ..self.result_of(fetched, request) },
            Err(fetched) => {
                // The fetch continues, and may use all sends that it was allowed.
                let report = SendReport { used: allowance.sends, exhausted: false };
                ReadResult { report, ..self.result_of(fetched, request) }
            }
        }
    }

    /// Waits for a fetch that another read has started. Servers receive it under the id of that read, so that it uses
    /// none of this read's sends.
    async fn await_shared(
        &self,
        receiver: FetchReceiver,
        deadline: Instant,
        request: &FullRequest,
    ) -> ReadResult {
        // Determined before the wait: a fetch that began before a purge may return content that the purge has
        // invalidated.
        let source = self.under_lease(ShieldSource::Miss);
        let result = match await_end(receiver, deadline).await {
            Ok(FetchEnd { fetched, report }) => {
                let report = SendReport { used: 0, exhausted: report.exhausted };
                ReadResult { report, ..self.result_of(fetched, request) }
            }
            Err(fetched) => self.result_of(fetched, request),
        };
        match result.source {
            ShieldSource::Miss => ReadResult { source, ..result },
            _ => result,
        }
    }

    /// The result of a fetch for any of the reads that wait for it.
    fn result_of(&self, fetched: Fetched, request: &FullRequest) -> ReadResult {
        match fetched {
            Fetched::Copy(copy) => ReadResult::from_copy(&copy, &request.head.headers, ShieldSource::Miss),
            Fetched::Other(failure) if !failure.status().is_success() => {
                ReadResult::local(LocalResponse::same_failure(&failure))
            }
            Fetched::Other(response) => ReadResult::passed(response),
            Fetched::Rejected(refusal) => self.reject(refusal),
            Fetched::Unknown(failure) => ReadResult::local(LocalResponse::bad_gateway(failure)),
            Fetched::TimedOut(failure) => ReadResult::local(LocalResponse::gateway_timeout(failure)),
        }
    }

    fn reject(&self, refusal: Rejection) -> ReadResult {
        self.counters.rejected.increment();
        ReadResult::local(LocalResponse::rejected(refusal.failure, refusal.retry_after))
    }
}

/// The time by which a read has to be answered.
fn deadline(headers: &HeaderMap) -> Instant {
    let timeout_ms = number_in(headers, DEADLINE_HEADER).unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
    Instant::now() + Duration::from_millis(timeout_ms)
}

fn number_in(headers: &HeaderMap, name: HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The route of a read and the key of its object; `None` if no route matches.
fn route_and_object<'a>(config: &'a Config, request: &FullRequest) -> Option<(&'a Route, ObjectKey)> {
    let (host, path) = (request.host(), request.path_and_query());
    let route = config.route(host, request.head.uri.path());
    let route = route.filter(|_| request.head.method == Method::GET)?;
    let service = route.service(object_draw(host, path))?;
    Some((route, ObjectKey { service: service.into(), host: host.into(), path: path.into() }))
}

/// Waits for the result of a fetch until a deadline. The error is the outcome that the read gets if no result arrives.
async fn await_end(mut receiver: FetchReceiver, deadline: Instant) -> Result<FetchEnd, Fetched> {
    let lost = || Fetched::Unknown(Cause::AnswerLost.into());
    match timeout_at(deadline, receiver.wait_for(Option::is_some)).await {
        Ok(Ok(end)) => end.clone().ok_or_else(lost),
        Ok(Err(_)) => Err(lost()),
        Err(_) => Err(Fetched::TimedOut(Cause::NoAnswer.into())),
    }
}
