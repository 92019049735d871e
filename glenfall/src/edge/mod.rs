//! The edge: takes clients' requests, decides, and forwards: reads to the shield that RJ-CH names, all else
//! straight to a server.

mod ask_log;
mod read;
pub mod read_plan;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use glenfall_balancer::{Seconds, ServerId, Shields};
use glenfall_control_plane::config::{Config, RequestLimits, Route, RouteKind};
use glenfall_control_plane::fleet::Fleet;
use glenfall_control_plane::invariant::Invariant;
use glenfall_control_plane::messages::{AgedPurge, Member, ProxyRole, Purge};
use glenfall_control_plane::rate_limit::QuotaHolder;
use hyper::header::{self, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use tokio::time::Instant;

use self::read::Read;
use crate::cache::{Cache, Copy, ObjectKey};
use crate::http::failure::{Cause, FailedRequest, Failure, FailureLog};
use crate::http::headers::{passed_on, DEADLINE, TRY_ID};
use crate::http::response::{LocalResponse, ProxyResponse, ServerResponse, SEAL};
use crate::http_server::{plain_response, FullRequest, FullResponse, Handler};
use crate::metrics::counter::Counter;
use crate::metrics::latency::Latency;
use crate::settings::Settings;
use crate::shield::object_draw;
use crate::upstream::forward::{Forwarder, Outcome, UpstreamRequest};
use crate::upstream::pool::Pool;
use crate::watch_client::{WatchClient, WatchHandler};

/// What a request has spent on its way here since the client's clock started, and what its answer needs back.
const TRANSIT: Duration = Duration::from_millis(12);
/// Part of the machine's memory for copies of its own, of objects whose home lies in another zone: the bytes
/// between zones are what they save. More would cost more memory than the rarer objects are worth.
pub const COPIES: f64 = 0.06;
/// For so long after a purge nothing that it names is kept: a shield may hear of it later than this edge, and
/// an answer from before it may be under way.
pub const PURGED: Duration = Duration::from_secs(3);
/// The newest of them that each copy is held against as it is served.
const CHECKED_PURGES: usize = 8;
/// Purges remembered for that.
pub const MOST_PURGED: usize = 1024;
/// An edge that is told to stop has its answers ready so long before it gives up what is left.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// When to come back to a node that is not ready yet.
const UNREADY: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Counters {
    requests: Counter,
    reads: Counter,
    own_copies: Counter,
    refreshed: Counter,
    no_route: Counter,
    shield_failed: Counter,
    bypassed: Counter,
    refused: Counter,
    unknown: Counter,
    timed_out: Counter,
    read: Latency,
    write: Latency,
}

/// An edge: the requests that it forwards, and its own copies.
pub struct Edge {
    feed: Rc<WatchClient>,
    forwarder: Forwarder,
    shields: RefCell<Shields>,
    /// The processes of the ready shields, as last told.
    incarnations: RefCell<BTreeMap<ServerId, u64>>,
    /// Shields of the own zone.
    near: RefCell<Vec<ServerId>>,
    copies: RefCell<Cache>,
    purged: RefCell<VecDeque<(Instant, Purge)>>,
    in_touch: Cell<bool>,
    zone: String,
    edges: Cell<u32>,
    /// Shields are there and ready, by what control says.
    shielded: Cell<bool>,
    began: Instant,
    counters: Counters,
    failures: FailureLog,
    /// The newest version that a request was decided by.
    decided: Cell<u64>,
    asks: ask_log::AskCounts,
}

/// A request that is counted at a shield until this is dropped, also where its client has gone.
struct InFlight<'a>(&'a RefCell<Shields>, &'a ServerId);

impl<'a> InFlight<'a> {
    fn at(shields: &'a RefCell<Shields>, shield: &'a ServerId) -> Self {
        shields.borrow_mut().begin(shield);
        InFlight(shields, shield)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end(self.1);
    }
}

impl Edge {
    /// An edge that is fed by `feed` and sends through `pool`.
    pub fn new(boot: &Rc<Settings>, feed: Rc<WatchClient>, pool: Rc<Pool>) -> Rc<Self> {
        Rc::new(Edge {
            feed,
            forwarder: Forwarder::new(pool, boot, ProxyRole::Edge),
            shields: RefCell::default(),
            incarnations: RefCell::default(),
            near: RefCell::default(),
            copies: RefCell::new(Cache::new(boot.memory_share(COPIES))),
            purged: RefCell::default(),
            in_touch: Cell::new(false),
            zone: boot.zone.clone(),
            edges: Cell::new(1),
            shielded: Cell::new(false),
            began: Instant::now(),
            counters: Counters::default(),
            failures: FailureLog::default(),
            decided: Cell::new(0),
            asks: ask_log::AskCounts::default(),
        })
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// What this edge may ask of services under a ceiling. Where no shield answers, or it is out of touch, the shields are
    /// gone or it is cut off from them, and those who reach them don't ask for it.
    fn hold(&self) {
        let none_answers = self.shields.borrow().all_fail(self.now());
        let alone = !self.shielded.get() || !self.in_touch.get() || none_answers;
        self.forwarder.hold(QuotaHolder::Edge { of: self.edges.get() as usize, alone });
    }

    async fn serve(&self, whole: &FullRequest) -> ProxyResponse {
        self.counters.requests.add();
        let Some(config) = self.feed.config() else {
            return LocalResponse::refused(Cause::NoConfiguration, UNREADY).into();
        };
        let before = self.decided.replace(config.rev);
        Invariant::ConfigOrder.check(before <= config.rev, || format!("{} after {before}", config.rev));
        let Some(route) = config.route(whole.host(), whole.head.uri.path()) else {
            self.counters.no_route.add();
            return LocalResponse::no_route().into();
        };
        let until = self.deadline(route, whole);
        let is_read =
            route.kind == RouteKind::Cacheable && whole.head.method == Method::GET && whole.body.is_empty();
        let draw = match is_read {
            true => object_draw(whole.host(), whole.path_and_query()),
            false => self.forwarder.origins.draw(),
        };
        let Some(service) = route.service(draw) else {
            return LocalResponse::refused(Cause::NoService, UNREADY).into();
        };
        let headers = passed_on(&whole.head.headers);
        if is_read {
            self.counters.reads.add();
            let (config, headers) = (&config, &headers);
            return self.read(Read { config, route, service, whole, headers, until }).await;
        }
        self.forwarder.count(service);
        let job = UpstreamRequest { until, ..self.job(&config, route, service, whole, headers) };
        let outcome = self.forwarder.send(job).await;
        self.response_to(outcome, &whole.head.method)
    }

    /// What a shield's last process failed says nothing of the next one: control tells that it is ready.
    fn forgive_restarted(&self, incarnations: BTreeMap<ServerId, u64>) {
        let now = self.now();
        let known = self.incarnations.replace(incarnations);
        let mut shields = self.shields.borrow_mut();
        for (shield, incarnation) in self.incarnations.borrow().iter() {
            if known.get(shield).is_some_and(|known| known != incarnation) {
                shields.heard(now, shield, now, false);
            }
        }
    }

    /// A shield has answered what was sent to it at this time. Where all had failed, the others are likely to be back as
    /// well: while they rest, it would be asked for all that they hold.
    fn shield_answers(&self, shield: &ServerId, sent: Seconds) {
        let now = self.now();
        let mut shields = self.shields.borrow_mut();
        if shields.all_fail(now) {
            for other in self.incarnations.borrow().keys() {
                shields.heard(now, other, now, false);
            }
        }
        shields.heard(now, shield, sent, false);
    }

    /// When a request must be answered: the one deadline of all that it waits for, from when it has been read. It is the
    /// client's or the route's, whichever is earlier. One that comes after the signal to stop ends within the grace:
    /// its server is told how much time there is, and answers in it.
    fn deadline(&self, route: &Route, whole: &FullRequest) -> Instant {
        let stated = whole.head.headers.get(DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = stated.map_or(route.deadline_ms, |ms: u64| ms.min(route.deadline_ms));
        let until = Instant::now() + Duration::from_millis(wait).saturating_sub(TRANSIT);
        let last = self.feed.grace_ends().map(|end| end - LAST_ANSWERS);
        last.map_or(until, |last| until.min(last))
    }

    /// A client's request as it goes to servers.
    fn job<'a>(
        &self,
        config: &Config,
        route: &Route,
        service: &'a str,
        whole: &'a FullRequest,
        headers: HeaderMap,
    ) -> UpstreamRequest<'a> {
        // A method that writes is not repeated, whatever the route says of its reads.
        let repeatable = match route.kind {
            RouteKind::Mutating => false,
            RouteKind::Idempotent => true,
            RouteKind::Cacheable => whole.head.method == Method::GET || whole.head.method == Method::HEAD,
        };
        UpstreamRequest {
            service,
            method: &whole.head.method,
            uri: &whole.head.uri,
            headers,
            body: whole.body.clone(),
            repeatable,
            tries: route.tries,
            again: false,
            until: Instant::now(),
            aim: route.latency_target(),
            rank: config.priority_rank(route),
            per_s: config.backend(service).and_then(|backend| backend.rate_per_s),
        }
    }

    /// Keeps what a shield gave from a copy of its own, unless a purge of late names it.
    pub fn keep(&self, object: &ObjectKey, reply: &ServerResponse, asked: Instant) {
        let Some(born) = Copy::handed_on(reply, asked) else { return };
        let Some(copy) = Copy::of(reply, born).filter(|_| self.feed.vouches()) else { return };
        let mut purged = self.purged.borrow_mut();
        while purged.front().is_some_and(|(at, _)| at.elapsed() >= PURGED) {
            purged.pop_front();
        }
        if !purged.iter().any(|(_, purge)| names(purge, object, &copy)) {
            self.copies.borrow_mut().insert(object.clone(), Rc::new(copy));
        }
    }

    /// A copy that this edge holds itself.
    pub fn copy(&self, object: &ObjectKey) -> Option<Rc<Copy>> {
        self.copies.borrow_mut().get(object)
    }

    /// What the newest purges name is not there any more, and has not been kept since.
    fn check_not_purged(&self, object: &ObjectKey, copy: &Copy) {
        let purged = self.purged.borrow();
        let mut newest = purged.iter().rev().take(CHECKED_PURGES).filter(|(at, _)| at.elapsed() < PURGED);
        let named = newest.any(|(_, purge)| names(purge, object, copy));
        Invariant::CopyNotPurged.check(!named, || format!("{object:?}"));
    }

    /// Purges of late that bar what they name.
    pub fn remembered_purges(&self) -> usize {
        self.purged.borrow().len()
    }

    /// What a client gets of what came of its request at servers.
    fn response_to(&self, outcome: Outcome, method: &Method) -> ProxyResponse {
        match outcome {
            Outcome::Answered(reply) => reply.forward(method),
            Outcome::NotRun(refusal) => {
                self.counters.refused.add();
                LocalResponse::refused(refusal.failure, refusal.retry_after).into()
            }
            Outcome::Unknown(failure) => {
                self.counters.unknown.add();
                LocalResponse::bad_gateway(failure).into()
            }
            Outcome::TimedOut(failure) => {
                self.counters.timed_out.add();
                LocalResponse::gateway_timeout(failure).into()
            }
        }
    }

    /// Counts and logs a request that failed. The route is the one that would take it now.
    fn note_failure(&self, failure: &Failure, head: &Parts, status: StatusCode, began: Instant) {
        let config = self.feed.config();
        self.failures.note(failure, || {
            let text = |name| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
            let host = text(header::HOST);
            let route = config.as_ref().and_then(|config| config.route(host, head.uri.path()));
            FailedRequest {
                try_id: text(TRY_ID),
                method: head.method.as_str(),
                host,
                path: head.uri.path_and_query().map_or("", |path| path.as_str()),
                route: route.map_or("", |route| &route.name),
                status: status.as_u16(),
                rev: config.as_ref().map_or(0, |config| config.rev),
                in_touch: self.feed.vouches(),
                began,
            }
        });
    }
}

/// Whether a purge names a copy of an object.
fn names(purge: &Purge, object: &ObjectKey, copy: &Copy) -> bool {
    match purge {
        Purge::Everything => true,
        Purge::Label(label) => copy.labelled(label),
        Purge::Object { hostname, path } => object.at(hostname, path),
    }
}

/// What a shield is known by: where it takes reads.
fn shield_id(member: &Member) -> ServerId {
    ServerId(member.http.to_string().as_str().into())
}

impl WatchHandler for Edge {
    fn config(&self, _config: &Arc<Config>) {}

    fn fleet(&self, fleet: &Fleet) {
        self.forwarder.update(fleet);
        let ready = fleet.shields.iter().filter(|member| member.ready && member.proxy == ProxyRole::Shield);
        let incarnations: BTreeMap<ServerId, u64> =
            ready.map(|member| (shield_id(member), member.incarnation)).collect();
        let ready: Vec<ServerId> = incarnations.keys().cloned().collect();
        let near = fleet.shields.iter().filter(|member| member.zone == self.zone);
        self.near.replace(near.map(shield_id).collect());
        self.shields.borrow_mut().update(&ready);
        self.forgive_restarted(incarnations);
        self.edges.set(fleet.edges.len().max(1) as u32);
        self.shielded.set(!ready.is_empty());
        self.hold();
    }

    fn purge(&self, purges: &[AgedPurge]) {
        let now = Instant::now();
        let mut purged = self.purged.borrow_mut();
        for purge in purges {
            self.copies.borrow_mut().purge(purge);
            // Of one told late, shields know as well.
            if Duration::from_millis(purge.age_ms) < PURGED {
                purged.push_back((now, purge.purge.clone()));
            }
        }
        if purged.len() > MOST_PURGED {
            purged.clear();
            purged.push_back((now, Purge::Everything));
        }
    }

    fn in_touch(&self, yes: bool) {
        self.in_touch.set(yes);
        self.hold();
    }

    fn report(&self) -> Vec<(String, u64)> {
        let c = &self.counters;
        [
            ("requests", c.requests.get()),
            ("reads", c.reads.get()),
            ("own_copies", c.own_copies.get()),
            ("refreshed", c.refreshed.get()),
            ("no_route", c.no_route.get()),
            ("shield_failed", c.shield_failed.get()),
            ("bypassed", c.bypassed.get()),
            ("refused", c.refused.get()),
            ("unknown", c.unknown.get()),
            ("timed_out", c.timed_out.get()),
        ]
        .into_iter()
        .chain(self.forwarder.report())
        .map(|(name, value)| (name.to_owned(), value))
        .chain(self.failures.report())
        .chain(self.asks.report())
        .chain(c.read.report("read"))
        .chain(c.write.report("write"))
        .collect()
    }
}

/// An edge as a handler of clients' requests.
pub struct Serving(pub Rc<Edge>);

impl Handler for Serving {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        let began = Instant::now();
        let read = whole.head.method == Method::GET;
        let mut unanswered = Unanswered { edge: &self.0, head: &whole.head, began, is_answered: false };
        let mut answer = self.0.serve(&whole).await;
        unanswered.is_answered = true;
        drop(unanswered);
        if answer.failure().is_some() {
            // By it clients and logs know which request this answers.
            answer.set_try_id(whole.head.headers.get(TRY_ID));
        }
        if let Some(failure) = answer.failure() {
            let sealed = answer.headers().contains_key(SEAL);
            let is_servers = failure.cause == Cause::ServerError;
            Invariant::SealIsServers.check(!sealed || is_servers, || format!("{failure:?}"));
            self.0.note_failure(failure, &whole.head, answer.status(), began);
        }
        let counters = &self.0.counters;
        if read { &counters.read } else { &counters.write }.add(began.elapsed());
        answer.into()
    }

    fn limits(&self) -> RequestLimits {
        self.0.feed.config().map(|config| config.req_limits).unwrap_or_default()
    }

    fn is_draining(&self) -> bool {
        self.0.feed.leaving()
    }

    fn on_rejected(&self, head: &Parts, response: &LocalResponse, began: Instant) {
        self.0.note_failure(response.failure(), head, response.status(), began);
    }

    fn on_slow_head(&self) {
        let (head, _) = hyper::Request::new(()).into_parts();
        self.0.note_failure(&Cause::HeadTooSlow.into(), &head, StatusCode::REQUEST_TIMEOUT, Instant::now());
    }
}

/// A request that has no answer yet. Dropped so, its client's connection has ended.
struct Unanswered<'a> {
    edge: &'a Edge,
    head: &'a Parts,
    began: Instant,
    is_answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.edge.note_failure(
                &Cause::ClientGone.into(),
                self.head,
                StatusCode::from_u16(499).unwrap_or_default(),
                self.began,
            );
        }
    }
}

/// Tells whoever asks whether new clients should come here.
pub struct Readiness(pub Rc<WatchClient>);

impl Handler for Readiness {
    async fn handle(&self, _request: FullRequest) -> FullResponse {
        if self.0.ready() {
            plain_response(StatusCode::OK, "ready")
        } else {
            plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    /// Whoever asks goes on asking.
    fn is_draining(&self) -> bool {
        false
    }
}
