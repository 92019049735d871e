//! The way to the servers of a service: which one, how often, and what its answer means.

mod attempts;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::messages::ProxyRole;
use glenfall_control_plane::rate_limit::{max_queue_time, QuotaHolder, RateLimiter};
use glenfall_control_plane::retry_budget::RetryBudget;
use glenfall_control_plane::Millis;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use tokio::time::{sleep_until, Instant};

use self::attempts::Attempts;
use crate::http::failure::{Cause, Failure};
use crate::http::headers::DEADLINE;
use crate::http::response::ServerResponse;
use crate::http::send_budget::{Allowance, SendReport};
use crate::metrics::counter::Counter;
use crate::settings::Settings;
use crate::upstream::concurrency_limit::ConcurrencyLimits;
use crate::upstream::origins::{OriginBalancer, SelectedOrigin};
use crate::upstream::pool::{ExchangeParams, Pool, SendError, UpstreamKind, RESPONSE_COMPLETION_TIMEOUT};

const WANT_SERVER: HeaderName = HeaderName::from_static("x-glenfall-want-server");

/// A server is to end its work this long before its answer would come too late, so that its own word comes in time.
const WAY_BACK: Duration = Duration::from_millis(15);
/// When to come back to a service whose servers are full: about when one of their requests ends.
const FULL: Duration = Duration::from_millis(100);
/// When to come back to one that has no server, or is above its ceiling.
pub const NONE: Duration = Duration::from_millis(400);

/// A request for a server.
pub struct UpstreamRequest<'a> {
    /// The service of its route.
    pub service: &'a str,
    /// As the client sent it.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// As they go on; `Host` among them.
    pub headers: HeaderMap,
    /// All of it; empty where there is none.
    pub body: Bytes,
    /// May it run again?
    pub repeatable: bool,
    /// Servers it may be sent to.
    pub tries: u32,
    /// It may have reached a server already, on another way.
    pub again: bool,
    /// When it has to be answered.
    pub until: Instant,
    /// The time within which its answer earns its full worth.
    pub aim: Duration,
    /// From 0, the highest, to 1.
    pub rank: f64,
    /// What all machines together may ask of the service.
    pub per_s: Option<f64>,
}

/// What came of it.
pub enum Outcome {
    /// To be passed on.
    Answered(ServerResponse),
    /// It has not run and will not.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Failure),
    /// The same, and time is up.
    TimedOut(Failure),
}

/// Why a request was sent to no server, or has run at none of them.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// What ended it.
    pub failure: Failure,
    /// It may come again after so long.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal before anything was sent.
    pub fn new(cause: Cause, retry_after: Duration) -> Self {
        Refusal { failure: cause.into(), retry_after }
    }
}

/// Sends requests to servers.
pub struct Forwarder {
    /// Connections to them.
    pub pool: Rc<Pool>,
    /// Which there are, and how they do.
    pub origins: OriginBalancer,
    /// Retries that the service may still be sent.
    retry_budget: RefCell<RetryBudget>,
    ceiling: RefCell<RateLimiter>,
    limits: ConcurrencyLimits,
    /// Services that have servers which take requests.
    served: RefCell<BTreeSet<String>>,
    /// Whose servers these are to share: the shields, or the edges.
    sharers: ProxyRole,
    began: Instant,
    /// Further tries sent, and those that the budget did not allow.
    further: Counter,
    spent: Counter,
    /// Requests refused as the service is crowded.
    limited: Counter,
    /// Requests refused as there is no room for their answers.
    no_room: Counter,
    /// Requests that waited for their turn under a ceiling, and those that did not get it.
    waited: Counter,
    above_ceiling: Counter,
}

impl Forwarder {
    /// A forwarder for one of the edges, or one of the shields.
    pub fn new(pool: Rc<Pool>, boot: &Settings, sharers: ProxyRole) -> Self {
        // What a shield fetches is large.
        let origins = OriginBalancer::new(&boot.zone, sharers == ProxyRole::Shield, &boot.node);
        let phase = origins.draw();
        Forwarder {
            pool,
            origins,
            retry_budget: RefCell::new(RetryBudget::new(boot.retry_budget())),
            ceiling: RefCell::new(RateLimiter::new(boot.rate_limit(), phase)),
            limits: ConcurrencyLimits::default(),
            served: RefCell::default(),
            sharers,
            began: Instant::now(),
            further: Counter::default(),
            spent: Counter::default(),
            limited: Counter::default(),
            no_room: Counter::default(),
            waited: Counter::default(),
            above_ceiling: Counter::default(),
        }
    }

    fn now(&self) -> Millis {
        self.began.elapsed().as_millis() as Millis
    }

    /// Counters for `status`.
    pub fn report(&self) -> [(&'static str, u64); 8] {
        [
            ("further_tries", self.further.get()),
            ("budget_spent", self.spent.get()),
            ("limited", self.limited.get()),
            ("no_room", self.no_room.get()),
            ("answer_bytes_held", self.pool.memory.held() as u64),
            ("waited", self.waited.get()),
            ("above_ceiling", self.above_ceiling.get()),
            ("connections_opened", self.pool.connections_opened()),
        ]
    }

    /// Takes the servers and the size of a fleet.
    pub fn update(&self, fleet: &Fleet) {
        // What a shield asks of servers has its own order.
        let edges = if self.sharers == ProxyRole::Edge { &fleet.edges[..] } else { &[] };
        for addr in self.origins.update(Instant::now(), &fleet.servers, edges) {
            self.pool.close_idle(addr.into());
        }
        let machines = fleet.edges.len() + fleet.shields.len();
        self.retry_budget.borrow_mut().set_machine_count(self.now(), machines);
        let sharers = match self.sharers {
            ProxyRole::Edge => fleet.edges.len(),
            ProxyRole::Shield => fleet.shields.iter().filter(|shield| shield.ready).count(),
        };
        let mut shares = BTreeMap::new();
        for server in fleet.servers.iter().filter(|server| server.ready) {
            let share = f64::from(server.capacity) / sharers.max(1) as f64;
            *shares.entry(server.backend.as_str()).or_insert(0.0) += share;
        }
        self.limits.update(&shares);
        self.note_served(shares.into_keys().map(str::to_owned).collect());
    }

    /// Tells of services that have lost their last server, or have one again.
    fn note_served(&self, served: BTreeSet<String>) {
        let before = self.served.replace(served);
        let served = self.served.borrow();
        before.difference(&served).for_each(|service| tracing::warn!(?service, "service has no server left"));
        served.difference(&before).for_each(|service| tracing::info!(?service, "service has servers"));
    }

    /// Counts a client's request for a service. Each is counted by one machine only.
    pub fn count(&self, service: &str) {
        self.retry_budget.borrow_mut().record_request(self.now(), service);
    }

    /// Whether the service may be sent one request more than its clients have sent.
    fn may_retry(&self, service: &str) -> bool {
        let may = self.retry_budget.borrow_mut().try_spend(self.now(), service);
        if may { &self.further } else { &self.spent }.add();
        may
    }

    /// What this machine is among those that share the ceilings.
    pub fn hold(&self, holder: QuotaHolder) {
        self.ceiling.borrow_mut().set_holder(self.now(), holder);
    }

    /// Takes a request out of this machine's part of its service's ceiling, and waits a little for its turn.
    pub async fn under_ceiling(&self, job: &UpstreamRequest<'_>, may_wait: bool) -> bool {
        let Some(per_s) = job.per_s else { return true };
        let patient_until = Instant::now() + if may_wait { max_queue_time(job.aim) } else { Duration::ZERO };
        let mut waited = false;
        loop {
            let taken = self.ceiling.borrow_mut().try_acquire(self.now(), job.service, per_s, job.rank);
            let Err(wait) = taken else { return true };
            let turn = Instant::now() + Duration::from_millis(wait.max(1));
            if turn > patient_until.min(job.until) {
                self.above_ceiling.add();
                return false;
            }
            if !waited {
                self.waited.add();
                waited = true;
            }
            sleep_until(turn).await;
        }
    }

    /// Sends a request to one server of its service, and to others where that can do no harm; to none where the
    /// service has enough to do.
    pub async fn send(&self, job: UpstreamRequest<'_>) -> Outcome {
        let allowance = Allowance::all(job.tries);
        self.send_within(job, allowance).await.0
    }

    /// The same with a part of the request's sends, and how many of them were used.
    pub async fn send_within(&self, job: UpstreamRequest<'_>, allowance: Allowance) -> (Outcome, SendReport) {
        if !self.pool.memory.is_free() {
            self.no_room.add();
            return (Outcome::NotRun(Refusal::new(Cause::NoMemory, FULL)), SendReport::default());
        }
        let Some(mut admitted) = self.limits.admit(job.service, job.rank, job.aim) else {
            self.limited.add();
            return (Outcome::NotRun(Refusal::new(Cause::ConcurrencyLimit, FULL)), SendReport::default());
        };
        let (outcome, report) = self.send_admitted(job, allowance).await;
        match &outcome {
            Outcome::Answered(_) => admitted.answered(),
            Outcome::NotRun(refusal) if refusal.failure.cause == Cause::ServersFull => admitted.crowded(),
            Outcome::TimedOut(_) => admitted.crowded(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
        (outcome, report)
    }

    async fn send_admitted(
        &self,
        mut job: UpstreamRequest<'_>,
        allowance: Allowance,
    ) -> (Outcome, SendReport) {
        let mut attempts = Attempts::new(allowance.sends, job.repeatable);
        while attempts.sends.may_begin() {
            let server = match self.next_server(&job, &mut attempts).await {
                Ok(server) => server,
                Err(cause) => {
                    attempts.not_sent(cause);
                    break;
                }
            };
            let Ok(want) = HeaderValue::from_str(&server.id) else { continue };
            job.headers.insert(WANT_SERVER, want);
            let another = attempts.sends.another_may_follow() || job.repeatable && allowance.held_back > 0;
            attempts.check_send();
            let in_flight = self.origins.track(&server.id);
            let ended = self.exchange(&job, &server, another).await;
            in_flight.finish(attempts.ended(ended));
        }
        let report = SendReport { used: attempts.sends.used(), short: attempts.sends.is_short() };
        (attempts.into_outcome(), report)
    }

    /// The server that a request goes to next, once the ceiling, the deadline and the retry budget allow it; else what
    /// does not.
    async fn next_server(
        &self,
        job: &UpstreamRequest<'_>,
        attempts: &mut Attempts,
    ) -> Result<SelectedOrigin, Cause> {
        let sends = attempts.sends.used();
        if !attempts.under_ceiling && !self.under_ceiling(job, sends == 0).await {
            return Err(Cause::RateLimit);
        }
        attempts.under_ceiling = true;
        let warm = |addr| self.pool.has_idle_connection(addr);
        let server = self.origins.choose(Instant::now(), job.service, &attempts.tried, warm);
        let server = server.ok_or(Cause::NoServer)?;
        attempts.tried.push(server.id.clone());
        if Instant::now() >= job.until {
            return Err(Cause::DeadlineBeforeSend);
        }
        let is_retry = job.again || sends > 0;
        if is_retry && !self.may_retry(job.service) {
            return Err(Cause::RetryBudget);
        }
        Ok(server)
    }

    /// Sends a request to a server. Where another may be asked after it, this one must leave time for that; one that
    /// may run only once has all the time.
    async fn exchange(
        &self,
        job: &UpstreamRequest<'_>,
        server: &SelectedOrigin,
        another: bool,
    ) -> Result<ServerResponse, SendError> {
        let began = Instant::now();
        let until = if another { began + (job.until - began) / 2 } else { job.until };
        let request = || {
            let mut request = Request::new(Full::new(job.body.clone()));
            *request.method_mut() = job.method.clone();
            *request.uri_mut() = job.uri.clone();
            *request.headers_mut() = job.headers.clone();
            let left = until.saturating_duration_since(Instant::now()).saturating_sub(WAY_BACK);
            let left = left.as_millis() as u64;
            request.headers_mut().insert(DEADLINE, HeaderValue::from(left.max(1)));
            request
        };
        let is_ready = || self.origins.is_ready(&server.id);
        let params = ExchangeParams {
            address: server.addr.into(),
            kind: UpstreamKind::Origin,
            deadline: until,
            completion_timeout: another.then_some(RESPONSE_COMPLETION_TIMEOUT),
            may_still_send: Some(&is_ready),
        };
        self.pool.exchange(params, request).await
    }
}
