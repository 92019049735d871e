//! The way to the servers of a service: which one, how often, and what its answer means.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall_http::send::{self, Event, Fate, Stage};
use glenfall_plane::budget::Budget;
use glenfall_plane::ceiling::{patience, Ceiling, Holder};
use glenfall_plane::fleet::Fleet;
use glenfall_plane::messages::Proxy;
use glenfall_plane::Millis;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::{sleep_until, Instant};

use crate::boot::Boot;
use crate::counter::Counter;
use crate::limit::Limits;
use crate::origins::{End, Origins};
use crate::pool::{Pool, Trouble, Trust, ANSWER_TIME};
use crate::response::ServerResponse;
use crate::serve::DEADLINE;

const WANT_SERVER: HeaderName = HeaderName::from_static("x-glenfall-want-server");
const NOT_RUN: HeaderName = HeaderName::from_static("x-glenfall-not-run");

/// Servers that may be found unreachable for one request: nothing was sent to them, so that they don't count
/// as tries, but each costs the time of a connect.
const UNREACHABLE: usize = 4;
/// When to come back to a service whose servers are full: about when one of their requests ends.
const FULL: Duration = Duration::from_millis(100);
/// When to come back to one that has no server, or is above its ceiling.
pub const NONE: Duration = Duration::from_millis(400);

/// A request for a server.
pub struct Job<'a> {
    pub service: &'a str,
    pub method: &'a Method,
    pub uri: &'a Uri,
    /// As they go on; `Host` among them.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// May it run again?
    pub repeatable: bool,
    /// Servers it may be sent to.
    pub tries: u32,
    /// It may have reached a server already, on another way.
    pub again: bool,
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
    /// It has not run and will not; it may come again after so long.
    NotRun(Duration),
    /// It may have run.
    Unknown,
    /// The same, and time is up.
    TimedOut,
}

pub struct Direct {
    pub pool: Rc<Pool>,
    pub origins: Origins,
    budget: RefCell<Budget>,
    ceiling: RefCell<Ceiling>,
    limits: Limits,
    /// Whose servers these are to share: the shields, or the edges.
    sharers: Proxy,
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

impl Direct {
    pub fn new(pool: Rc<Pool>, boot: &Boot, sharers: Proxy) -> Self {
        // What a shield fetches is large.
        let origins = Origins::new(&boot.zone, sharers == Proxy::Shield, &boot.node);
        let phase = origins.draw();
        Direct {
            pool,
            origins,
            budget: RefCell::new(Budget::new(boot.further_tries())),
            ceiling: RefCell::new(Ceiling::new(boot.ceiling(), phase)),
            limits: Limits::default(),
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
            ("answer_bytes_held", self.pool.room.held() as u64),
            ("waited", self.waited.get()),
            ("above_ceiling", self.above_ceiling.get()),
            ("connections_opened", self.pool.opened.get()),
        ]
    }

    /// Takes the servers and the size of a fleet.
    pub fn update(&self, fleet: &Fleet) {
        // What a shield asks of servers has its own order.
        let edges = if self.sharers == Proxy::Edge { &fleet.edges[..] } else { &[] };
        for addr in self.origins.update(Instant::now(), &fleet.servers, edges) {
            self.pool.forget(addr.into());
        }
        let machines = fleet.edges.len() + fleet.shields.len();
        self.budget.borrow_mut().share_among(self.now(), machines);
        let sharers = match self.sharers {
            Proxy::Edge => fleet.edges.len(),
            Proxy::Shield => fleet.shields.iter().filter(|shield| shield.ready).count(),
        };
        let mut shares = BTreeMap::new();
        for server in fleet.servers.iter().filter(|server| server.ready) {
            let share = f64::from(server.capacity) / sharers.max(1) as f64;
            *shares.entry(server.backend.as_str()).or_insert(0.0) += share;
        }
        self.limits.update(&shares);
    }

    /// Counts a client's request for a service. Each is counted by one machine only.
    pub fn count(&self, service: &str) {
        self.budget.borrow_mut().request(self.now(), service);
    }

    /// Whether the service may be sent one request more than its clients have sent.
    fn may_repeat(&self, service: &str) -> bool {
        let may = self.budget.borrow_mut().take(self.now(), service);
        if may { &self.further } else { &self.spent }.add();
        may
    }

    /// What this machine is among those that share the ceilings.
    pub fn hold(&self, holder: Holder) {
        self.ceiling.borrow_mut().hold(self.now(), holder);
    }

    /// Takes a request out of this machine's part of its service's ceiling, and waits a little for its turn.
    pub async fn under_ceiling(&self, job: &Job<'_>, may_wait: bool) -> bool {
        let Some(per_s) = job.per_s else { return true };
        let patient_until = Instant::now() + if may_wait { patience(job.aim) } else { Duration::ZERO };
        let mut waited = false;
        loop {
            let taken = self.ceiling.borrow_mut().take(self.now(), job.service, per_s, job.rank);
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
    pub async fn send(&self, job: Job<'_>) -> Outcome {
        if !self.pool.room.is_free() {
            self.no_room.add();
            return Outcome::NotRun(FULL);
        }
        let Some(mut admitted) = self.limits.admit(job.service, job.rank, job.aim) else {
            self.limited.add();
            return Outcome::NotRun(FULL);
        };
        let outcome = self.send_admitted(job).await;
        match &outcome {
            Outcome::Answered(_) => admitted.answered(),
            Outcome::NotRun(FULL) | Outcome::TimedOut => admitted.crowded(),
            Outcome::NotRun(_) | Outcome::Unknown => {}
        }
        outcome
    }

    async fn send_admitted(&self, mut job: Job<'_>) -> Outcome {
        let (mut tried, mut sends, mut unreachable) = (Vec::new(), 0, 0);
        let mut turn = false;
        let mut fallback = Outcome::NotRun(NONE);
        while sends < job.tries.max(1) && unreachable < UNREACHABLE {
            // What did not reach a server before is still to be had under the ceiling.
            if !(turn || self.under_ceiling(&job, sends == 0).await) {
                break;
            }
            turn = true;
            let warm = |addr| self.pool.is_warm(addr);
            let Some(server) = self.origins.choose(Instant::now(), job.service, &tried, warm) else { break };
            tried.push(server.id.clone());
            if Instant::now() >= job.until || (job.again || sends > 0) && !self.may_repeat(job.service) {
                break;
            }
            let began = Instant::now();
            let more = job.repeatable && sends + 1 < job.tries;
            // A dark server must leave time for another; one that may run only once has all the time.
            let until = if more { began + (job.until - began) / 2 } else { job.until };
            let Ok(want) = HeaderValue::from_str(&server.id) else { continue };
            job.headers.insert(WANT_SERVER, want);
            let request = || {
                let mut request = Request::new(Full::new(job.body.clone()));
                *request.method_mut() = job.method.clone();
                *request.uri_mut() = job.uri.clone();
                *request.headers_mut() = job.headers.clone();
                let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                request.headers_mut().insert(DEADLINE, HeaderValue::from(left.max(1)));
                request
            };
            let in_flight = self.origins.begin(&server.id);
            let still = || self.origins.takes(&server.id);
            let whole_within = more.then_some(ANSWER_TIME);
            let addr = server.addr.into();
            let ended =
                self.pool.exchange_within(whole_within, addr, request, until, Trust::Wary, still).await;
            turn = matches!(ended, Err(Trouble::Unsent));
            let event = match &ended {
                Ok(reply) => event(reply),
                Err(Trouble::Unsent) => {
                    in_flight.ended(End::Failed);
                    unreachable += 1;
                    continue;
                }
                Err(Trouble::Unknown) => Event::Broken,
                Err(Trouble::TimedOut) => Event::Silence,
            };
            sends += 1;
            let fate = send::fate(Stage::Answering, event, job.repeatable);
            let failure = ended.as_ref().is_ok_and(|reply| reply.status().is_server_error());
            in_flight.ended(match (&ended, event) {
                (Err(_), _) | (_, Event::Noise) => End::Failed,
                (Ok(reply), Event::NotRun) if reply.status() == StatusCode::MISDIRECTED_REQUEST => {
                    End::Failed
                }
                (_, Event::NotRun) => End::TurnedAway,
                _ if failure => End::Erred,
                _ => End::Answered,
            });
            let mut go_on = fate.may_go_out_again(job.repeatable, failure);
            match (fate, ended) {
                (Fate::NotRun, ended) => {
                    // Another server of the service would say the same of its ceiling, and count it.
                    let ceiling = ended.is_ok_and(|reply| reply.status() == StatusCode::TOO_MANY_REQUESTS);
                    go_on = !ceiling;
                    if !matches!(fallback, Outcome::Answered(_)) {
                        fallback = Outcome::NotRun(if ceiling { NONE } else { FULL });
                    }
                }
                (_, Ok(reply)) if fate == Fate::Answered => fallback = Outcome::Answered(reply),
                _ => fallback = if event == Event::Silence { Outcome::TimedOut } else { Outcome::Unknown },
            }
            if !go_on {
                break;
            }
        }
        fallback
    }
}

/// What a whole answer of a server says.
fn event(reply: &ServerResponse) -> Event {
    let status = reply.status();
    let failure = status.is_client_error() || status.is_server_error();
    let said = reply.headers().contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    match status.as_u16() {
        _ if said && failure => Event::NotRun,
        // One that says that it has not run and what came of it.
        _ if said => Event::Noise,
        408 | 429 | 503 => Event::Unproven,
        _ if status.is_server_error() => Event::Failure,
        _ => Event::Success,
    }
}
