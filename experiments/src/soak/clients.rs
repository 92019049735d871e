//! The clients of a play: reads, writes that may run once, and probes that show which configuration an edge goes by. What
//! they get is held against what servers ran and what was acknowledged.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::{DEADLINE, TRY_ID};
use glenfall::http::response::{ServerResponse, SEAL};
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::{ExchangeParams, Pool, SendError};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::observed::{Kind, Observed, Promise};
use super::operators::{host_of, Operators};
use crate::ledger::{Judgement, Ledger, PURGED};
use crate::plan::{ClassPlan, Kind as RouteKind, Plan};

/// Connections that the clients hold together, and their answers.
const CONNECTIONS: usize = 256;
const ROOM: usize = 64 << 20;
/// An answer that comes later than its deadline and this is late, on a machine that is busy with several plays.
const LATE: Duration = Duration::from_millis(1200);
/// What no answer has come to by then is given up.
const GIVEN_UP: Duration = Duration::from_millis(2500);
/// A version is in force everywhere so long after it was acknowledged: `applyMs`, and what a busy machine adds.
const APPLIED: Duration = Duration::from_millis(3500);
/// While clients leave, this share of them goes away within so many milliseconds.
const LEAVING_SHARE: f64 = 0.4;
const LEAVES_WITHIN_MS: std::ops::Range<u64> = 1..250;
/// Pause between the probes of an edge.
const PROBE: Duration = Duration::from_millis(250);

/// An edge as clients see it.
pub struct Edge {
    pub addr: SocketAddrV4,
    /// The number of its machine.
    pub machine: u8,
    /// How often its process was started.
    pub life: Cell<u64>,
    /// Versions that it has shown to know in this life.
    seen: RefCell<BTreeSet<u64>>,
}

impl Edge {
    pub fn new(addr: SocketAddrV4, machine: u8) -> Self {
        Edge { addr, machine, life: Cell::new(0), seen: RefCell::default() }
    }

    /// Its process ends, or begins anew: it may go back.
    pub fn restarts(&self) {
        self.life.set(self.life.get() + 1);
        self.seen.borrow_mut().clear();
    }
}

pub struct Clients {
    plan: Plan,
    pub edges: Vec<Edge>,
    pool: Rc<Pool>,
    ledger: Rc<Ledger>,
    observed: Rc<Observed>,
    operators: Rc<Operators>,
    rng: RefCell<ChaCha8Rng>,
    next: Cell<u64>,
    under_way: Cell<u32>,
    /// While there are troubles of that kind, clients leave.
    pub leaving: Cell<u32>,
    /// Writes that were refused with a promise.
    refused: RefCell<Vec<String>>,
    /// Requests whose connections ended without an answer, at edges in no trouble but planned work.
    cut_off: RefCell<Vec<CutOff>>,
    /// All troubles are over: everything is to be served.
    pub calm: Cell<bool>,
}

impl Clients {
    pub fn new(
        plan: &Plan,
        edges: Vec<Edge>,
        ledger: &Rc<Ledger>,
        observed: &Rc<Observed>,
        operators: &Rc<Operators>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Clients {
            plan: plan.clone(),
            edges,
            pool: Pool::new(CONNECTIONS, MemoryBudget::new(ROOM)),
            ledger: Rc::clone(ledger),
            observed: Rc::clone(observed),
            operators: Rc::clone(operators),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            next: Cell::new(0),
            under_way: Cell::new(0),
            leaving: Cell::new(0),
            refused: RefCell::default(),
            cut_off: RefCell::default(),
            calm: Cell::new(false),
        })
    }

    /// Requests of one class, as they come.
    pub async fn arrive(self: Rc<Self>, class: usize) {
        let per_s = self.plan.classes[class].per_s;
        loop {
            let pause = self.rng.borrow_mut().random_range(0.0..2.0 / per_s);
            sleep(Duration::from_secs_f64(pause)).await;
            let clients = Rc::clone(&self);
            self.under_way.set(self.under_way.get() + 1);
            spawn_local(async move {
                clients.request(class).await;
                clients.under_way.set(clients.under_way.get() - 1);
            });
        }
    }

    /// Waits until nothing is under way.
    pub async fn done(&self) {
        while self.under_way.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn request(&self, class: usize) {
        let class = &self.plan.classes[class];
        let (edge, object, leaves) = {
            let mut rng = self.rng.borrow_mut();
            let leaves = self.leaving.get() > 0 && rng.random_bool(LEAVING_SHARE);
            let after = leaves.then(|| Duration::from_millis(rng.random_range(LEAVES_WITHIN_MS)));
            (rng.random_range(0..self.edges.len()), rng.random_range(1..=class.objects), after)
        };
        let number = self.next.replace(self.next.get() + 1);
        let id = format!("{}-{number:x}", class.name);
        let path = format!("/{}/{object}", class.name);
        let sent = Instant::now();
        let deadline = Duration::from_millis(class.deadline_ms);
        let method = if class.kind == RouteKind::Mutating { Method::POST } else { Method::GET };
        let reply = self.exchange(edge, (method, crate::HOST, &path), &id, deadline);
        let reply = match leaves {
            // The connection ends with what is dropped.
            Some(after) => match timeout(after, reply).await {
                Ok(reply) => reply,
                Err(_) => return self.observed.count("client left"),
            },
            None => reply.await,
        };
        let elapsed = sent.elapsed();
        let asked = Asked { class, edge, path, id, sent };
        match reply {
            Ok(reply) => self.answered(&asked, &reply, elapsed),
            Err(trouble) => self.unanswered(&asked, trouble),
        }
    }

    async fn exchange(
        &self,
        edge: usize,
        (method, host, path): (Method, &str, &str),
        id: &str,
        deadline: Duration,
    ) -> Result<ServerResponse, SendError> {
        let request = || {
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.method_mut() = method.clone();
            *request.uri_mut() = path.parse().unwrap_or_default();
            let headers = request.headers_mut();
            headers.insert(DEADLINE, HeaderValue::from(deadline.as_millis() as u64));
            for (name, value) in [(header::HOST, host), (TRY_ID, id)] {
                if let Ok(value) = HeaderValue::from_str(value) {
                    headers.insert(name, value);
                }
            }
            request
        };
        let until = Instant::now() + deadline + GIVEN_UP;
        let params = ExchangeParams::internal(self.edges[edge].addr, until);
        self.pool.exchange(ExchangeParams { completion_timeout: None, ..params }, request).await
    }

    fn answered(&self, asked: &Asked, reply: &ServerResponse, elapsed: Duration) {
        let Asked { class, edge, path, id, sent } = asked;
        let machine = self.edges[*edge].machine;
        let status = reply.status();
        let sealed = reply.headers().contains_key(SEAL);
        if elapsed > Duration::from_millis(class.deadline_ms) + LATE
            && self.observed.in_touch_since(machine, *sent)
        {
            let told = format!("{id}: {status} after {} ms", elapsed.as_millis());
            self.observed.broken(Promise::AnswerComesInTime, told);
        }
        if status.is_success() {
            self.observed.count("served");
            return match self.ledger.judge(path, *sent, sealed, reply.body(), class.bytes) {
                Judgement::Sound => {}
                Judgement::Mixed => self.observed.broken(Promise::AnswerIsWhole, format!("{id} {path}")),
                Judgement::Stale if self.observed.in_touch_since(machine, *sent - PURGED) => {
                    self.observed.broken(Promise::PurgeEndsCopies, format!("{id} {path}"));
                }
                Judgement::Stale => self.observed.count("old version, out of touch"),
            };
        }
        self.observed.count(match status.as_u16() {
            503 => "refused (503)",
            502 => "no promise (502)",
            504 => "no answer in time (504)",
            500 => "failed (500)",
            _ => "other failures",
        });
        if status == StatusCode::NOT_FOUND {
            self.observed.broken(Promise::RouteIsKnown, format!("{id} {path} at edge {edge}"));
        }
        if matches!(status.as_u16(), 408 | 421 | 429 | 503) && class.kind == RouteKind::Mutating {
            self.refused.borrow_mut().push(id.clone());
        }
        if !sealed {
            self.observed.failed(id, *edge, status.as_u16());
        }
        // Servers fail some requests by themselves.
        if self.calm.get() && status != StatusCode::INTERNAL_SERVER_ERROR {
            self.observed.broken(Promise::CalmIsServed, format!("{id}: {status} at edge {edge}"));
        }
    }

    fn unanswered(&self, asked: &Asked, trouble: SendError) {
        let Asked { edge, id, sent, .. } = asked;
        let after = sent.elapsed().as_millis();
        let machine = self.edges[*edge].machine;
        match trouble {
            SendError::NotSent => self.observed.count("not read"),
            SendError::NoResponse => {
                self.observed.count("cut off");
                if self.observed.without(Kind::Unplanned, machine, *sent) {
                    // What crosses the close of a connection was not read; whether this was shows in the end.
                    let after_ms = after as u64;
                    self.cut_off.borrow_mut().push(CutOff { id: id.clone(), edge: *edge, after_ms });
                }
            }
            SendError::TimedOut => {
                self.observed.count("no answer");
                if self.observed.in_touch_since(machine, *sent) {
                    self.observed.broken(Promise::AnswerComesInTime, format!("{id}: none at edge {edge}"));
                }
            }
        }
        if self.calm.get() {
            self.observed.broken(Promise::CalmIsServed, format!("{id}: {trouble:?} at edge {edge}"));
        }
    }

    /// Shows again and again which versions an edge goes by.
    pub async fn probe(self: Rc<Self>, edge: usize) {
        loop {
            sleep(PROBE).await;
            if let Some(newest) = self.operators.newest() {
                self.probe_version(edge, newest.rev, newest.at).await;
            }
        }
    }

    async fn probe_version(&self, edge: usize, rev: u64, acknowledged: Instant) {
        let of = &self.edges[edge];
        let (life, sent) = (of.life.get(), Instant::now());
        let path = format!("/{}/1", self.plan.classes[0].name);
        let number = self.next.replace(self.next.get() + 1);
        let what = (Method::GET, &host_of(rev)[..], &path[..]);
        let deadline = Duration::from_millis(self.plan.classes[0].deadline_ms);
        let reply = self.exchange(edge, what, &format!("probe-{number:x}"), deadline).await;
        let Ok(reply) = reply else { return };
        if of.life.get() != life || !self.observed.without(Kind::Unplanned, of.machine, sent) {
            return;
        }
        if reply.status() != StatusCode::NOT_FOUND {
            // An edge that knows no configuration says 503.
            if reply.status().is_success() {
                of.seen.borrow_mut().insert(rev);
            }
            return;
        }
        self.observed.count("probe: version not known yet");
        if of.seen.borrow().contains(&rev) && self.operators.newest().is_some_and(|newest| newest.rev == rev)
        {
            self.observed.broken(Promise::VersionStays, format!("version {rev} at edge {edge}"));
        }
        if sent > acknowledged + APPLIED && self.observed.in_touch_since(of.machine, sent) {
            let late = (sent - acknowledged).as_millis();
            self.observed
                .broken(Promise::VersionComesIntoForce, format!("{rev} at edge {edge}, {late} ms after"));
        }
    }

    /// What shows only in the end: nothing that was refused has run, and nothing that was cut off had been read.
    pub fn check_ends(&self, was_read: impl Fn(&CutOff) -> bool) {
        for cut in self.cut_off.borrow().iter().filter(|cut| was_read(cut) || self.ledger.has_run(&cut.id)) {
            let told = format!("{} at edge {}, after {} ms", cut.id, cut.edge, cut.after_ms);
            self.observed.broken(Promise::AnswerComes, told);
        }
        for id in self.refused.borrow().iter().filter(|id| self.ledger.has_run(id)) {
            self.observed.broken(Promise::RefusedHasNotRun, id.clone());
        }
        let twice = self.ledger.broken().twice;
        if twice > 0 {
            self.observed.broken(Promise::RunsOnce, format!("{twice} requests"));
        }
    }
}

/// A request whose connection ended without an answer.
pub struct CutOff {
    pub id: String,
    pub edge: usize,
    pub after_ms: u64,
}

/// A request that a client has sent.
struct Asked<'a> {
    class: &'a ClassPlan,
    edge: usize,
    path: String,
    id: String,
    sent: Instant,
}
