//! The forwarder: sends a request to a server of its service, and to others while retries are allowed and safe.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::ProxyRole;
use glenfall_control_plane::rate_limit::QuotaHolder;
use glenfall_control_plane::retry_budget::RetryBudget;
use glenfall_control_plane::Millis;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use tokio::time::Instant;

use super::attempts::Attempts;
use super::counters::ForwarderCounters;
use super::outcome::{Outcome, Rejection, AT_CAPACITY_RETRY_AFTER};
use super::rate_limit_queue::{RateLimitExceeded, RateLimitQueue};
use super::request::UpstreamRequest;
use crate::http::failure::Cause;
use crate::http::headers::DEADLINE_HEADER;
use crate::http::response::ServerResponse;
use crate::http::send_budget::{Allowance, SendReport};
use crate::settings::Settings;
use crate::upstream::concurrency_limit::ConcurrencyLimits;
use crate::upstream::origins::{OriginBalancer, SelectedOrigin};
use crate::upstream::pool::{ExchangeParams, Pool, SendError, UpstreamKind, RESPONSE_COMPLETION_TIMEOUT};

/// The header with the id of the server that a request is addressed to. Any other process rejects the request,
/// including one that has since begun to listen at the same address.
const EXPECTED_SERVER_HEADER: HeaderName = HeaderName::from_static("x-glenfall-want-server");
/// Servers get a deadline that is this much earlier than that of this process, so that their own response to a request
/// that takes too long arrives in time.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(15);

/// Forwards requests to servers.
pub struct Forwarder {
    /// The connections to servers, and to shields.
    pub pool: Rc<Pool>,
    /// The servers, and what has been observed of each.
    pub origins: OriginBalancer,
    retry_budget: RefCell<RetryBudget>,
    rate_limit: RateLimitQueue,
    concurrency_limits: ConcurrencyLimits,
    /// Services that have a ready server.
    available_services: RefCell<BTreeSet<String>>,
    /// The role of this process. All proxies of the same role share the servers' capacity.
    role: ProxyRole,
    started_at: Instant,
    counters: ForwarderCounters,
}

impl Forwarder {
    /// A forwarder for a process of this role.
    pub fn new(pool: Rc<Pool>, settings: &Settings, proxy_role: ProxyRole) -> Self {
        // Shields fetch large responses, and traffic between zones is expensive.
        let prefers_own_zone = proxy_role == ProxyRole::Shield;
        let origins = OriginBalancer::new(&settings.zone, prefers_own_zone, &settings.node);
        let started_at = Instant::now();
        let rate_limit = RateLimitQueue::new(settings.rate_limit(), origins.next_random(), started_at);
        Forwarder {
            pool,
            origins,
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_budget())),
            rate_limit,
            concurrency_limits: ConcurrencyLimits::default(),
            available_services: RefCell::default(),
            role: proxy_role,
            started_at,
            counters: ForwarderCounters::default(),
        }
    }

    fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    /// Counters for `status`.
    pub fn report(&self) -> [(&'static str, u64); 8] {
        let counters = &self.counters;
        [
            ("further_tries", counters.retries.get()),
            ("budget_spent", counters.retry_budget_exhausted.get()),
            ("limited", counters.concurrency_limited.get()),
            ("no_room", counters.out_of_memory.get()),
            ("answer_bytes_held", self.pool.memory.reserved_bytes() as u64),
            ("waited", counters.rate_limit_queued.get()),
            ("above_ceiling", counters.rate_limited.get()),
            ("connections_opened", self.pool.connections_opened()),
        ]
    }

    /// Applies a new fleet: its servers, and the number of machines that share them.
    pub fn update(&self, fleet: &Fleet) {
        // Shields choose among all servers, without subsets.
        let edges = if self.role == ProxyRole::Edge { &fleet.edges[..] } else { &[] };
        for address in self.origins.update(Instant::now(), &fleet.servers, edges) {
            self.pool.close_idle(address.into());
        }
        let machine_count = fleet.edges.len() + fleet.shields.len();
        self.retry_budget.borrow_mut().set_machine_count(self.now(), machine_count);
        let capacity_shares = self.capacity_shares(fleet);
        self.concurrency_limits.update(&capacity_shares);
        self.log_availability(capacity_shares.into_keys().map(str::to_owned).collect());
    }

    /// This machine's share of the capacity of the ready servers, by service.
    fn capacity_shares<'a>(&self, fleet: &'a Fleet) -> BTreeMap<&'a str, f64> {
        let sharing_proxies = match self.role {
            ProxyRole::Edge => fleet.edges.len(),
            ProxyRole::Shield => fleet.shields.iter().filter(|shield| shield.ready).count(),
        };
        let mut shares = BTreeMap::new();
        for server in fleet.servers.iter().filter(|server| server.ready) {
            let share = f64::from(server.capacity) / sharing_proxies.max(1) as f64;
            *shares.entry(server.backend.as_str()).or_insert(0.0) += share;
        }
        shares
    }

    /// Logs services that have lost their last ready server, or have one again.
    fn log_availability(&self, available: BTreeSet<String>) {
        let previous = self.available_services.replace(available);
        let available = self.available_services.borrow();
        for service in previous.difference(&available) {
            tracing::warn!(?service, "service has no ready server");
        }
        for service in available.difference(&previous) {
            tracing::info!(?service, "service has a ready server");
        }
    }

    /// Counts a client's request for a service towards the retry budget. Each request is counted by one machine only.
    pub fn record_client_request(&self, service: &str) {
        self.retry_budget.borrow_mut().record_request(self.now(), service);
    }

    /// Spends a retry from the budget of a service; `false` if the budget is exhausted.
    fn try_spend_retry(&self, service: &str) -> bool {
        let is_allowed = self.retry_budget.borrow_mut().try_spend(self.now(), service);
        match is_allowed {
            true => self.counters.retries.increment(),
            false => self.counters.retry_budget_exhausted.increment(),
        }
        is_allowed
    }

    /// Sets this machine's role among those that share the rate limits.
    pub fn set_quota_holder(&self, holder: QuotaHolder) {
        self.rate_limit.set_holder(holder);
    }

    /// Acquires a token of the rate limit of the request's service. With `may_wait`, waits for it as long as the
    /// request's latency target and deadline allow.
    pub async fn acquire_rate_limit(
        &self,
        request: &UpstreamRequest<'_>,
        may_wait: bool,
    ) -> Result<(), RateLimitExceeded> {
        self.rate_limit.acquire(request, may_wait, &self.counters).await
    }

    /// Sends a request to a server of its service, and to others where that is safe. Rejects it without sending it if
    /// the service is overloaded.
    pub async fn send(&self, request: UpstreamRequest<'_>) -> Outcome {
        let allowance = Allowance::all(request.max_attempts);
        self.send_with_allowance(request, allowance).await.0
    }

    /// As [`send`](Self::send), to no more servers than the allowance states. Also reports how much of the allowance
    /// was used.
    pub async fn send_with_allowance(
        &self,
        request: UpstreamRequest<'_>,
        allowance: Allowance,
    ) -> (Outcome, SendReport) {
        if !self.pool.memory.has_capacity() {
            self.counters.out_of_memory.increment();
            return rejected_as_overloaded(Cause::NoMemory);
        }
        let Some(mut permit) =
            self.concurrency_limits.admit(request.service, request.priority_rank, request.latency_target)
        else {
            self.counters.concurrency_limited.increment();
            return rejected_as_overloaded(Cause::ConcurrencyLimit);
        };
        let (outcome, report) = self.send_admitted(request, allowance).await;
        match &outcome {
            Outcome::Answered(_) => permit.record_response(),
            Outcome::NotRun(rejection) if rejection.failure.cause == Cause::ServersOverloaded => {
                permit.record_overload();
            }
            Outcome::TimedOut(_) => permit.record_overload(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
        (outcome, report)
    }

    async fn send_admitted(
        &self,
        mut request: UpstreamRequest<'_>,
        allowance: Allowance,
    ) -> (Outcome, SendReport) {
        let mut attempts = Attempts::new(allowance.sends, request.idempotent);
        while attempts.may_send() {
            let server = match self.next_server(&request, &mut attempts).await {
                Ok(server) => server,
                Err(cause) => {
                    attempts.stop(cause);
                    break;
                }
            };
            let Ok(server_id) = HeaderValue::from_str(&server.id) else { continue };
            request.headers.insert(EXPECTED_SERVER_HEADER, server_id);
            let edge_may_retry = request.idempotent && allowance.reserved_sends > 0;
            let retry_may_follow = attempts.another_may_follow() || edge_may_retry;
            attempts.check_send();
            let in_flight = self.origins.track(&server.id);
            let result = self.exchange(&request, &server, retry_may_follow).await;
            in_flight.finish(attempts.record(result));
        }
        let report = attempts.report();
        (attempts.into_outcome(), report)
    }

    /// Selects the server of the next attempt, once the rate limit, the deadline and the retry budget allow it.
    /// Otherwise returns the cause that prevents the attempt.
    async fn next_server(
        &self,
        request: &UpstreamRequest<'_>,
        attempts: &mut Attempts,
    ) -> Result<SelectedOrigin, Cause> {
        if !attempts.has_rate_limit_token() {
            let may_wait = !attempts.was_sent();
            self.acquire_rate_limit(request, may_wait).await.map_err(|_| Cause::RateLimit)?;
            attempts.rate_limit_token_acquired();
        }
        let has_idle_connection = |address| self.pool.has_idle_connection(address);
        let server = self
            .origins
            .choose(Instant::now(), request.service, attempts.tried(), has_idle_connection)
            .ok_or(Cause::NoServer)?;
        attempts.server_selected(&server.id);
        if Instant::now() >= request.deadline {
            return Err(Cause::DeadlineBeforeSend);
        }
        let is_retry = request.is_retry || attempts.was_sent();
        if is_retry && !self.try_spend_retry(request.service) {
            return Err(Cause::RetryBudget);
        }
        Ok(server)
    }

    /// Sends a request to a server. Where a retry may follow, the attempt gets half of the remaining time, to leave
    /// time for the retry. A request that may run only once gets all of it.
    async fn exchange(
        &self,
        request: &UpstreamRequest<'_>,
        server: &SelectedOrigin,
        retry_may_follow: bool,
    ) -> Result<ServerResponse, SendError> {
        let now = Instant::now();
        let deadline = if retry_may_follow { now + (request.deadline - now) / 2 } else { request.deadline };
        let is_ready = || self.origins.is_ready(&server.id);
        let params = ExchangeParams {
            address: server.addr.into(),
            kind: UpstreamKind::Origin,
            deadline,
            completion_timeout: retry_may_follow.then_some(RESPONSE_COMPLETION_TIMEOUT),
            may_still_send: Some(&is_ready),
        };
        self.pool.exchange(params, || http_request(request, deadline)).await
    }
}

fn rejected_as_overloaded(cause: Cause) -> (Outcome, SendReport) {
    (Outcome::NotRun(Rejection::new(cause, AT_CAPACITY_RETRY_AFTER)), SendReport::default())
}

/// Builds the HTTP request. Its deadline header states the time that remains for the server.
fn http_request(request: &UpstreamRequest<'_>, deadline: Instant) -> Request<Full<Bytes>> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let time_for_server_ms = time_left.saturating_sub(RESPONSE_TRANSIT_TIME).as_millis() as u64;
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.uri.clone();
    *http_request.headers_mut() = request.headers.clone();
    http_request.headers_mut().insert(DEADLINE_HEADER, HeaderValue::from(time_for_server_ms.max(1)));
    http_request
}
