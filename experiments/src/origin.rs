//! Emulated servers: they beat, have places and a queue, take their time, and say what they have not run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::{DEADLINE, TRY_ID};
use glenfall::http_server::{self, plain_response, retry_later_response, FullRequest, FullResponse, Handler};
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::ControlAddresses;
use glenfall::upstream::pool::{ExchangeParams, Pool};
use glenfall_control_plane::config::RequestLimits;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde_json::json;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::ledger::{body, Ledger};
use crate::plan::{ClassPlan, Kind, ServicePlan};

/// How often a server says that it is there.
pub const BEAT: Duration = Duration::from_millis(500);
/// One call to control; then the next node is called.
const CALL: Duration = Duration::from_secs(1);
/// Serves on for so long after its leaving was acknowledged; later nothing may come any more.
pub const DRAIN: Duration = Duration::from_millis(3000);
/// A server that is full is called again no sooner.
const FULL: Duration = Duration::from_millis(100);

pub struct Origin {
    pub id: String,
    pub plan: ServicePlan,
    classes: Vec<ClassPlan>,
    ledger: Rc<Ledger>,
    places: Semaphore,
    waiting: Cell<u32>,
    /// How many times as long as usual its work takes.
    pub slow: Cell<f64>,
    draining: Cell<bool>,
    /// Says goodbye first, and never that it drains.
    says_goodbye_first: Cell<bool>,
    /// Serves on for so much longer than it has to.
    pub lingers: Cell<Duration>,
    /// When its leaving was acknowledged.
    leaving_since: Cell<Option<Instant>>,
    /// When requests came later than they may after that.
    pub late_arrivals: RefCell<Vec<Instant>>,
    /// The control node that took its last beat.
    called: Cell<usize>,
    rng: RefCell<ChaCha8Rng>,
    /// Arrivals, and those that it turned away.
    pub arrivals: Cell<u64>,
    pub turned_away: Cell<u64>,
    crash: watch::Sender<bool>,
}

impl Origin {
    pub fn new(
        number: u8,
        plan: &ServicePlan,
        classes: &[ClassPlan],
        ledger: &Rc<Ledger>,
        seed: u64,
    ) -> Rc<Origin> {
        Rc::new(Origin {
            id: format!("{}-{number}", plan.name),
            plan: plan.clone(),
            classes: classes.to_vec(),
            ledger: Rc::clone(ledger),
            places: Semaphore::new(plan.slots as usize),
            waiting: Cell::new(0),
            slow: Cell::new(1.0),
            draining: Cell::new(false),
            says_goodbye_first: Cell::new(false),
            lingers: Cell::new(Duration::ZERO),
            leaving_since: Cell::new(None),
            late_arrivals: RefCell::default(),
            called: Cell::new(0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            arrivals: Cell::new(0),
            turned_away: Cell::new(0),
            crash: watch::Sender::new(false),
        })
    }

    /// Serves, and beats, until it crashes or has drained. `announced` is where others reach it.
    pub async fn run(
        self: Rc<Self>,
        listen: SocketAddrV4,
        announced: SocketAddrV4,
        zone: String,
        controls: ControlAddresses,
    ) {
        let terms = http_server::ServerConfig {
            listen,
            max_connections: 256,
            max_body_bytes: 8 << 20,
            drain_accept_time: Duration::ZERO,
            grace: Duration::ZERO,
        };
        let mut crash = self.crash.subscribe();
        let serving = http_server::serve(terms, Rc::new(Serving(Rc::clone(&self))), crash.clone());
        tokio::select! {
            served = serving => {
                if let Err(e) = served {
                    eprintln!("{}: {e}", self.id);
                }
            }
            () = self.beat(announced, zone, &controls) => {}
            _ = crash.wait_for(|crashed| *crashed) => {}
        }
    }

    async fn beat(&self, addr: SocketAddrV4, zone: String, controls: &ControlAddresses) {
        let pool = Pool::new(8, MemoryBudget::new(1 << 20));
        let uri = format!("/api/servers/{}", self.id);
        for seq in 1u64.. {
            let draining = self.draining.get();
            if draining && self.says_goodbye_first.get() {
                while !self.call(&pool, controls, Method::DELETE, &uri, Bytes::new()).await {
                    sleep(BEAT).await;
                }
                self.leaving_since.set(Some(Instant::now()));
                sleep(DRAIN + self.lingers.get()).await;
                return;
            }
            let status = if draining { "draining" } else { "ready" };
            let beat = json!({
                "backend": self.plan.name, "addr": addr, "zone": zone, "rev": "v1",
                "capacity": self.plan.slots, "status": status, "warmupLeftMs": 0, "callSeq": seq,
            });
            let told = self.call(&pool, controls, Method::PUT, &uri, beat.to_string().into()).await;
            if draining && told {
                self.leaving_since.set(Some(Instant::now()));
                sleep(DRAIN + self.lingers.get()).await;
                self.call(&pool, controls, Method::DELETE, &uri, Bytes::new()).await;
                return;
            }
            let asked_to_leave = async {
                while !self.draining.get() || draining {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            let _ = timeout(BEAT, asked_to_leave).await;
        }
    }

    /// Calls control nodes in turn until one takes it, beginning with the one that took the last call.
    async fn call(
        &self,
        pool: &Pool,
        controls: &ControlAddresses,
        method: Method,
        uri: &str,
        body: Bytes,
    ) -> bool {
        let taken = call_from(self.called.get(), pool, controls, method, uri, body).await;
        self.called.set(taken.unwrap_or(self.called.get()));
        taken.is_some()
    }

    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// It leaves without saying that it drains.
    pub fn say_goodbye(&self) {
        self.says_goodbye_first.set(true);
        self.draining.set(true);
    }

    /// It says nothing any more.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Whether it is in its usual state.
    pub fn is_well(&self) -> bool {
        !self.draining.get() && !*self.crash.borrow() && self.slow.get() == 1.0
    }

    fn not_run(&self, status: StatusCode, why: &'static str) -> FullResponse {
        self.turned_away.set(self.turned_away.get() + 1);
        let mut answer = retry_later_response(status, why, FULL);
        answer.headers_mut().insert("x-glenfall-not-run", HeaderValue::from_static("1"));
        answer
    }

    /// How long the next request takes, and whether it ends as an error.
    fn draw(&self) -> (Duration, bool) {
        let mut rng = self.rng.borrow_mut();
        let ln = (self.plan.work_ms / 1000.0).ln() - self.plan.spread.powi(2) / 2.0;
        let work = LogNormal::new(ln, self.plan.spread).map_or(0.0, |law| law.sample(&mut *rng));
        (Duration::from_secs_f64(work * self.slow.get()), rng.random_bool(self.plan.error_share))
    }

    async fn work(&self, whole: &FullRequest) -> FullResponse {
        self.arrivals.set(self.arrivals.get() + 1);
        if self.leaving_since.get().is_some_and(|since| since.elapsed() > DRAIN) {
            self.late_arrivals.borrow_mut().push(Instant::now());
        }
        let text = |name: &str| whole.head.headers.get(name).and_then(|value| value.to_str().ok());
        if text("x-glenfall-want-server").is_some_and(|wanted| wanted != self.id) {
            return self.not_run(StatusCode::MISDIRECTED_REQUEST, "another server");
        }
        let path = whole.head.uri.path();
        let class = self.classes.iter().find(|class| path.split('/').nth(1) == Some(class.name.as_str()));
        let Some(class) = class.filter(|class| class.service == self.plan.name) else {
            return self.not_run(StatusCode::MISDIRECTED_REQUEST, "another service");
        };
        let Some(id) = text(TRY_ID.as_str()) else {
            return self.not_run(StatusCode::BAD_REQUEST, "no id");
        };
        let wait = text(DEADLINE.as_str()).and_then(|ms| ms.parse().ok()).unwrap_or(class.deadline_ms);
        let until = Instant::now() + Duration::from_millis(wait);
        if self.places.available_permits() == 0 && self.waiting.get() >= self.plan.queue {
            return self.not_run(StatusCode::SERVICE_UNAVAILABLE, "full");
        }
        let waiting = Waiting::new(&self.waiting);
        let place = tokio::select! {
            place = self.places.acquire() => place,
            () = sleep_until(until) => return self.not_run(StatusCode::SERVICE_UNAVAILABLE, "waited too long"),
        };
        drop(waiting);
        if class.kind == Kind::Mutating {
            self.ledger.ran(id);
        }
        let version = self.ledger.version(path);
        let (work, error) = self.draw();
        sleep(work).await;
        drop(place);
        if error {
            return plain_response(StatusCode::INTERNAL_SERVER_ERROR, "as it happens");
        }
        let tag = format!("\"{version}\"");
        let unchanged = text(header::IF_NONE_MATCH.as_str()) == Some(tag.as_str());
        let mut answer = if unchanged {
            plain_response(StatusCode::NOT_MODIFIED, "")
        } else {
            FullResponse::new(Full::new(body(path, version, class.bytes)))
        };
        let headers = answer.headers_mut();
        for (name, value) in [("etag", tag.as_str()), ("x-glenfall-seal", self.id.as_str())] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        answer
    }
}

/// A request that waits for a place.
struct Waiting<'a>(&'a Cell<u32>);

impl<'a> Waiting<'a> {
    fn new(waiting: &'a Cell<u32>) -> Self {
        waiting.set(waiting.get() + 1);
        Waiting(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Serving(Rc<Origin>);

impl Handler for Serving {
    async fn handle(&self, whole: FullRequest) -> FullResponse {
        let mut answer = self.0.work(&whole).await;
        if let Some(id) = whole.head.headers.get(TRY_ID) {
            answer.headers_mut().insert(TRY_ID, id.clone());
        }
        answer
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    fn is_draining(&self) -> bool {
        self.0.draining.get()
    }
}

/// Calls control nodes in turn until one takes it.
pub async fn call(pool: &Pool, controls: &ControlAddresses, method: Method, uri: &str, body: Bytes) -> bool {
    call_from(0, pool, controls, method, uri, body).await.is_some()
}

/// The same, beginning with this one; which has taken it.
async fn call_from(
    first: usize,
    pool: &Pool,
    controls: &ControlAddresses,
    method: Method,
    uri: &str,
    body: Bytes,
) -> Option<usize> {
    let count = controls.controls.len();
    for at in (first..first + count).map(|at| at % count) {
        if call_one(pool, controls.controls[at], method.clone(), uri, body.clone()).await {
            return Some(at);
        }
    }
    None
}

/// Calls a control node; whether it takes the call.
async fn call_one(pool: &Pool, control: SocketAddrV4, method: Method, uri: &str, body: Bytes) -> bool {
    let request = || {
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri.parse().unwrap_or_default();
        request.headers_mut().insert(header::HOST, HeaderValue::from_static("control"));
        request
    };
    let params = ExchangeParams::internal(control, Instant::now() + CALL);
    let reply = pool.exchange(params, request).await;
    reply.is_ok_and(|reply| reply.status().is_success())
}
