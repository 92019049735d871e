//! The clients of a run. They send reads, and writes that may be executed at most once, and check the responses against
//! the requests that servers executed and the objects that were purged.

mod checks;
mod edges;
mod version_probes;

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use glenfall::http::headers::{DEADLINE_HEADER, TRY_ID_HEADER};
use glenfall::http::response::ServerResponse;
use glenfall::memory_budget::MemoryBudget;
use glenfall::upstream::pool::{ExchangeParams, Pool, SendError};
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::active_faults::{ActiveFault, ActiveFaults};
use super::fault_history::FaultHistory;
use super::operators::Operators;
use super::oracle::Oracle;
use crate::execution_log::ExecutionLog;
use crate::plan::{ClassPlan, Plan, RouteKind};
use checks::UnansweredRequest;
pub use edges::Edge;

/// Maximum number of connections of all clients together.
const MAX_CONNECTIONS: usize = 256;
/// Maximum size of all buffered responses, in bytes.
const RESPONSE_MEMORY: usize = 64 << 20;
/// How long after its deadline a client abandons a request.
const ABANDON_DELAY: Duration = Duration::from_millis(2500);
/// Share of requests whose client disconnects while the fault `ClientsDisconnect` is active.
const DISCONNECT_SHARE: f64 = 0.4;
/// Range of times from sending a request until its client disconnects, in milliseconds.
const DISCONNECT_WITHIN_MS: Range<u64> = 1..250;
/// Interval between checks whether requests are still in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The parts of a request to an edge that vary.
struct ClientRequest<'a> {
    method: Method,
    host: &'a str,
    path: &'a str,
    id: &'a str,
    deadline: Duration,
}

impl ClientRequest<'_> {
    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(self.deadline.as_millis() as u64));
        for (name, value) in [(header::HOST, self.host), (TRY_ID_HEADER, self.id)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        request
    }
}

/// A request that was sent, with what the checks of its response need.
struct SentRequest<'a> {
    class: &'a ClassPlan,
    edge: usize,
    path: String,
    id: String,
    sent_at: Instant,
}

/// All clients of a run.
pub struct Clients {
    plan: Plan,
    edges: Vec<Edge>,
    pool: Rc<Pool>,
    execution_log: Rc<ExecutionLog>,
    oracle: Rc<Oracle>,
    history: Rc<FaultHistory>,
    operators: Rc<Operators>,
    rng: RefCell<ChaCha8Rng>,
    next_number: Cell<u64>,
    in_flight: Cell<u32>,
    disconnects: ActiveFaults,
    /// Try ids of writes that were rejected as not executed.
    rejected_writes: RefCell<Vec<String>>,
    /// Requests whose connections ended without a response, at edges that had no unplanned fault meanwhile.
    unanswered: RefCell<Vec<UnansweredRequest>>,
    /// Whether all requests must succeed, which holds after recovery from all faults.
    expects_success: Cell<bool>,
}

impl Clients {
    /// Creates clients that send requests to `edges`.
    pub fn new(
        plan: &Plan,
        edges: Vec<Edge>,
        execution_log: &Rc<ExecutionLog>,
        oracle: &Rc<Oracle>,
        history: &Rc<FaultHistory>,
        operators: &Rc<Operators>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Clients {
            plan: plan.clone(),
            edges,
            pool: Pool::new(MAX_CONNECTIONS, MemoryBudget::new(RESPONSE_MEMORY)),
            execution_log: Rc::clone(execution_log),
            oracle: Rc::clone(oracle),
            history: Rc::clone(history),
            operators: Rc::clone(operators),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            next_number: Cell::new(0),
            in_flight: Cell::new(0),
            disconnects: ActiveFaults::default(),
            rejected_writes: RefCell::default(),
            unanswered: RefCell::default(),
            expects_success: Cell::new(false),
        })
    }

    /// Returns the number of edges.
    pub fn edge_count(&self) -> usize {
        self.edges.len()
    }

    /// Records that a process of a machine is stopped or started. Has no effect on machines without an edge.
    pub fn record_edge_restart(&self, machine: u8) {
        self.edges.iter().filter(|edge| edge.machine == machine).for_each(Edge::record_restart);
    }

    /// Begins a fault in which clients disconnect while their requests are in flight. It ends when the guard is
    /// dropped.
    pub fn begin_disconnects(&self) -> ActiveFault {
        self.disconnects.begin()
    }

    /// Sets whether a request that is not served counts as a violation.
    pub fn expect_success(&self, expects_success: bool) {
        self.expects_success.set(expects_success);
    }

    // ---- Load ----

    /// Sends requests of one class at random intervals. Runs until it is aborted.
    pub async fn generate_load(self: Rc<Self>, class: usize) {
        let per_s = self.plan.classes[class].per_s;
        loop {
            let pause = self.rng.borrow_mut().random_range(0.0..2.0 / per_s);
            sleep(Duration::from_secs_f64(pause)).await;
            let clients = Rc::clone(&self);
            self.in_flight.set(self.in_flight.get() + 1);
            spawn_local(async move {
                clients.request(class).await;
                clients.in_flight.set(clients.in_flight.get() - 1);
            });
        }
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        while self.in_flight.get() > 0 {
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Draws after what time the client of the next request disconnects; `None` if it stays connected.
    fn draw_disconnect(&self) -> Option<Duration> {
        let mut rng = self.rng.borrow_mut();
        let disconnects = self.disconnects.any_active() && rng.random_bool(DISCONNECT_SHARE);
        disconnects.then(|| Duration::from_millis(rng.random_range(DISCONNECT_WITHIN_MS)))
    }

    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    fn draw_request(&self, class: usize) -> SentRequest<'_> {
        let class = &self.plan.classes[class];
        let edge = self.rng.borrow_mut().random_range(0..self.edges.len());
        let object = self.rng.borrow_mut().random_range(1..=class.objects);
        let id = format!("{}-{:x}", class.name, self.next_number());
        let path = format!("/{}/{object}", class.name);
        SentRequest { class, edge, path, id, sent_at: Instant::now() }
    }

    async fn request(&self, class: usize) {
        let disconnects_after = self.draw_disconnect();
        let sent = self.draw_request(class);
        let method = if sent.class.kind == RouteKind::Mutating { Method::POST } else { Method::GET };
        let deadline = Duration::from_millis(sent.class.deadline_ms);
        let request =
            ClientRequest { method, host: crate::plan::ROUTE_HOST, path: &sent.path, id: &sent.id, deadline };
        let exchange = self.exchange(sent.edge, &request);
        let result = match disconnects_after {
            // Dropping the exchange closes its connection.
            Some(after) => match timeout(after, exchange).await {
                Ok(result) => result,
                Err(_) => return self.oracle.count("client disconnected"),
            },
            None => exchange.await,
        };
        let elapsed = sent.sent_at.elapsed();
        match result {
            Ok(response) => self.check_response(&sent, &response, elapsed),
            Err(error) => self.check_unanswered(&sent, error, elapsed),
        }
    }

    async fn exchange(&self, edge: usize, request: &ClientRequest<'_>) -> Result<ServerResponse, SendError> {
        let until = Instant::now() + request.deadline + ABANDON_DELAY;
        let params = ExchangeParams::internal(self.edges[edge].address, until);
        let params = ExchangeParams { completion_timeout: None, ..params };
        self.pool.exchange(params, || request.to_http()).await
    }
}
