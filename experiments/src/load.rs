//! The open-loop load generator: requests arrive independently of earlier responses, and clients retry them as the
//! protocol permits.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::{DEADLINE_HEADER, TRY_ID_HEADER};
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::operator::commands::{call_control, ControlAddresses};
use glenfall::upstream::pool::{ExchangeParams, Pool, SendError};
use glenfall_balancer::splitmix64;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use crate::execution_log::ExecutionLog;
use crate::plan::{ClassPlan, Plan, RouteKind, ROUTE_HOST};
use crate::report::{Measurements, RequestOutcome};

/// Emulated clients; each sends its first attempts to one edge.
const CLIENT_COUNT: u64 = 200;
/// The most requests in flight. Further requests are counted as not sent, as the generator itself would be the
/// bottleneck.
const MAX_IN_FLIGHT: u32 = 20_000;
/// The connection limit of all clients together.
const MAX_CONNECTIONS: usize = 2000;
/// Memory for responses of all clients together, in bytes.
const RESPONSE_MEMORY: usize = 512 << 20;
/// The longest step between arrivals, in seconds; a longer one could skip a change of the load.
const MAX_INTERARRIVAL_S: f64 = 1.0;
/// The lowest arrival rate of the exponential distribution, in requests per second, as a load factor may be 0.
const MIN_RATE_PER_S: f64 = 0.01;
/// The interval between checks whether requests are still in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How many objects of a class change: those that are requested most.
const MAX_CHANGED_OBJECTS: u32 = 20;
/// Makes the random stream of changes differ from those of the classes.
const CHANGE_STREAM: u64 = 0xc4a6;
/// How long a client waits after a response 503 without `Retry-After`, in seconds.
const DEFAULT_OVERLOAD_WAIT_S: f64 = 0.02;
/// The upper bound for `Retry-After`, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// Generates the load of a plan.
pub struct LoadGenerator {
    plan: Plan,
    edges: Vec<SocketAddrV4>,
    pool: Rc<Pool>,
    execution_log: Rc<ExecutionLog>,
    measurements: Rc<RefCell<Measurements>>,
    in_flight: Cell<u32>,
    next_id: Cell<u64>,
}

/// The arrival of a request.
struct Arrival {
    /// The index of its class in the plan.
    class: usize,
    /// The second of the experiment in which it arrives.
    second: usize,
    object: u64,
    client: u64,
}

/// One attempt of a client.
struct Attempt<'a> {
    class: &'a ClassPlan,
    edge: SocketAddrV4,
    path: &'a str,
    id: String,
    /// The deadline of the request, shared by all its attempts.
    deadline: Instant,
}

impl Attempt<'_> {
    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        if self.class.kind == RouteKind::Mutating {
            *request.method_mut() = Method::POST;
        }
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let remaining_ms = self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let headers = request.headers_mut();
        headers.insert(header::HOST, HeaderValue::from_static(ROUTE_HOST));
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms.max(1)));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert(TRY_ID_HEADER, id);
        }
        request
    }
}

struct AttemptResult {
    outcome: RequestOutcome,
    /// How long to wait before the next attempt; `None` where no further attempt is permitted.
    retry_after: Option<Duration>,
}

impl LoadGenerator {
    /// Creates a generator that sends requests to `edges`.
    pub fn new(
        plan: &Plan,
        edges: Vec<SocketAddrV4>,
        execution_log: &Rc<ExecutionLog>,
        measurements: &Rc<RefCell<Measurements>>,
    ) -> Rc<LoadGenerator> {
        Rc::new(LoadGenerator {
            plan: plan.clone(),
            edges,
            pool: Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY)),
            execution_log: Rc::clone(execution_log),
            measurements: Rc::clone(measurements),
            in_flight: Cell::new(0),
            next_id: Cell::new(0),
        })
    }

    /// Generates the load, and waits until no request is in flight.
    pub async fn run(self: &Rc<Self>) {
        let began_at = Instant::now();
        let ends_at = began_at + Duration::from_secs_f64(self.plan.seconds);
        let mut classes = Vec::new();
        for class in 0..self.plan.classes.len() {
            classes.push(spawn_local(Rc::clone(self).generate_class(class, began_at, ends_at)));
        }
        for class in classes {
            // A task that panicked has already printed its message.
            let _ = class.await;
        }
        while self.in_flight.get() > 0 {
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Generates the requests of a class: arrivals are a Poisson process, objects follow a Zipf distribution.
    async fn generate_class(self: Rc<Self>, class_index: usize, began_at: Instant, ends_at: Instant) {
        let class = self.plan.classes[class_index].clone();
        let mut rng = ChaCha8Rng::seed_from_u64(splitmix64(self.plan.seed ^ splitmix64(class_index as u64)));
        let Ok(objects) = Zipf::new(f64::from(class.objects), class.skew) else { return };
        let mut at = began_at;
        loop {
            let rate = class.per_s * self.plan.load_factor((at - began_at).as_secs_f64());
            let interarrival_s =
                Exp::new(rate.max(MIN_RATE_PER_S)).map_or(1.0, |intervals| intervals.sample(&mut rng));
            at += Duration::from_secs_f64(interarrival_s.min(MAX_INTERARRIVAL_S));
            if at >= ends_at {
                return;
            }
            sleep_until(at).await;
            if interarrival_s > MAX_INTERARRIVAL_S {
                continue;
            }
            let object = objects.sample(&mut rng) as u64;
            let client = rng.random_range(0..CLIENT_COUNT);
            let second = (at - began_at).as_secs() as usize;
            self.start_request(Arrival { class: class_index, second, object, client });
        }
    }

    fn start_request(self: &Rc<Self>, arrival: Arrival) {
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            self.measurements.borrow_mut().not_sent += 1;
            return;
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let generator = Rc::clone(self);
        spawn_local(async move {
            generator.request(arrival).await;
            generator.in_flight.set(generator.in_flight.get() - 1);
        });
    }

    /// Sends a request of a client, with its retries, and records the outcome.
    async fn request(&self, arrival: Arrival) {
        let class = &self.plan.classes[arrival.class];
        let path = format!("/{}/{}", class.name, arrival.object);
        let began_at = Instant::now();
        let deadline = began_at + Duration::from_millis(class.deadline_ms);
        let mut outcome = RequestOutcome::Failed;
        for retry in 0..=u64::from(class.retries) {
            let edge_index = (arrival.client + retry) % self.edges.len() as u64;
            let edge = self.edges[edge_index as usize];
            let attempt = Attempt { class, edge, path: &path, id: self.next_id(), deadline };
            let result = self.attempt(&attempt, began_at).await;
            outcome = result.outcome;
            let is_before_deadline = |wait: &Duration| Instant::now() + *wait < deadline;
            let Some(wait) = result.retry_after.filter(is_before_deadline) else { break };
            sleep(wait).await;
        }
        let mut measurements = self.measurements.borrow_mut();
        measurements.add(arrival.class, arrival.second, outcome, began_at.elapsed());
    }

    fn next_id(&self) -> String {
        let number = self.next_id.replace(self.next_id.get() + 1);
        format!("{:016x}", splitmix64(self.plan.seed ^ splitmix64(number)))
    }

    async fn attempt(&self, attempt: &Attempt<'_>, began_at: Instant) -> AttemptResult {
        let sent_at = Instant::now();
        let params = ExchangeParams::internal(attempt.edge, attempt.deadline);
        let response = self.pool.exchange(params, || attempt.to_http()).await;
        match response {
            Ok(response) if response.status().is_success() => {
                self.handle_success(attempt, &response, sent_at, began_at)
            }
            Ok(response) => self.handle_failure(attempt, &response),
            Err(error) => {
                let may_retry = error == SendError::NotSent || attempt.class.kind != RouteKind::Mutating;
                let retry_after = may_retry.then_some(Duration::ZERO);
                AttemptResult { outcome: RequestOutcome::Failed, retry_after }
            }
        }
    }

    fn handle_success(
        &self,
        attempt: &Attempt<'_>,
        response: &ServerResponse,
        sent_at: Instant,
        began_at: Instant,
    ) -> AttemptResult {
        let sealed = response.headers().contains_key("x-glenfall-seal");
        let length = attempt.class.bytes;
        self.execution_log.check_and_count(attempt.path, sent_at, sealed, response.body(), length);
        let target = Duration::from_millis(attempt.class.latency_target_ms);
        let outcome = match began_at.elapsed() <= target {
            true => RequestOutcome::WithinTarget,
            false => RequestOutcome::Late,
        };
        AttemptResult { outcome, retry_after: None }
    }

    fn handle_failure(&self, attempt: &Attempt<'_>, response: &ServerResponse) -> AttemptResult {
        let status = response.status().as_u16();
        let is_mutating = attempt.class.kind == RouteKind::Mutating;
        let not_executed = matches!(status, 408 | 421 | 429 | 503);
        if not_executed && is_mutating {
            self.execution_log.record_rejection(&attempt.id);
        }
        let is_final = matches!(status, 400 | 401 | 404 | 413 | 431);
        let may_retry = (not_executed || !is_mutating) && !is_final;
        AttemptResult {
            outcome: if not_executed { RequestOutcome::Rejected } else { RequestOutcome::Failed },
            retry_after: may_retry.then(|| requested_wait(response)),
        }
    }

    // ---- Changes of objects ----

    /// Changes and purges random objects at a constant rate until the task is aborted.
    pub async fn change_objects(self: Rc<Self>, controls: ControlAddresses) {
        let mut rng = ChaCha8Rng::seed_from_u64(splitmix64(self.plan.seed ^ CHANGE_STREAM));
        let rate: f64 = self.plan.classes.iter().map(|class| class.changes_per_s).sum();
        if rate <= 0.0 {
            return;
        }
        loop {
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
            let Some(class) = self.class_at(rng.random_range(0.0..rate)) else { continue };
            let object = rng.random_range(1..=class.objects.min(MAX_CHANGED_OBJECTS));
            self.change_object(&format!("/{}/{object}", class.name), &controls).await;
        }
    }

    /// Returns the class whose share of the total change rate includes `point`: picks a class weighted by its rate.
    fn class_at(&self, point: f64) -> Option<&ClassPlan> {
        let mut remaining = point;
        self.plan.classes.iter().find(|class| {
            remaining -= class.changes_per_s;
            remaining < 0.0
        })
    }

    async fn change_object(&self, path: &str, controls: &ControlAddresses) {
        let old_version = self.execution_log.start_new_version(path);
        let purge = serde_json::json!({ "hostname": ROUTE_HOST, "urlPath": path }).to_string();
        let result = call_control(controls, Method::POST, "/api/purge", None, purge.into()).await;
        let mut measurements = self.measurements.borrow_mut();
        measurements.purges += 1;
        match result {
            Ok(_) => self.execution_log.record_purge(path, old_version),
            Err(_) => measurements.failed_purges += 1,
        }
    }
}

/// Returns how long a client should wait before a retry, from the `Retry-After` header of a response.
fn requested_wait(response: &ServerResponse) -> Duration {
    let value = response.headers().get(header::RETRY_AFTER);
    let retry_after_s = value.and_then(|value| value.to_str().ok()?.parse().ok());
    let is_overload = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let default_s = if is_overload { DEFAULT_OVERLOAD_WAIT_S } else { 0.0 };
    Duration::from_secs_f64(f64::clamp(retry_after_s.unwrap_or(default_s), 0.0, MAX_WAIT_S))
}
