//! Emulated origin servers. They send heartbeats, process requests in a limited number of slots with a bounded queue,
//! take a random processing time for each request, and mark responses to requests that they have not executed.

mod control_calls;
mod heartbeats;
mod requests;

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use glenfall::http::headers::TRY_ID_HEADER;
use glenfall::http_server::{self, FullRequest, FullResponse, Handler};
use glenfall::operator::commands::ControlAddresses;
use glenfall_control_plane::config::RequestLimits;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

use crate::execution_log::ExecutionLog;
use crate::plan::{ClassPlan, ServicePlan};
pub use control_calls::call_any_control;
pub use heartbeats::HEARTBEAT_INTERVAL;

/// Maximum number of connections to a server.
const MAX_CONNECTIONS: usize = 256;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An emulated origin server.
pub struct Origin {
    /// The id under which the server registers.
    pub id: String,
    /// The plan of the service that the server belongs to.
    pub plan: ServicePlan,
    classes: Vec<ClassPlan>,
    execution_log: Rc<ExecutionLog>,
    slots: Semaphore,
    /// Number of requests that wait for a slot.
    queued: Cell<u32>,
    /// Factor by which processing times are multiplied; 1.0 without a fault.
    slowdown: Cell<f64>,
    draining: Cell<bool>,
    /// Whether the server deregisters without announcing `draining` first.
    deregisters_at_once: Cell<bool>,
    /// How long the server continues to serve beyond `DRAIN_TIME`.
    linger_time: Cell<Duration>,
    /// When control acknowledged the draining or deregistration; `None` before.
    drain_acknowledged_at: Cell<Option<Instant>>,
    /// Number of requests that arrived after the drain time; reset by `take_arrivals_after_drain`.
    arrivals_after_drain: Cell<u64>,
    /// Index of the control node that accepted the last call.
    last_control: Cell<usize>,
    rng: RefCell<ChaCha8Rng>,
    arrivals: Cell<u64>,
    rejections: Cell<u64>,
    crash: watch::Sender<bool>,
}

impl Origin {
    /// Creates a server of the service `plan`, whose id contains `number`.
    pub fn new(
        number: u8,
        plan: &ServicePlan,
        classes: &[ClassPlan],
        execution_log: &Rc<ExecutionLog>,
        seed: u64,
    ) -> Rc<Origin> {
        Rc::new(Origin {
            id: format!("{}-{number}", plan.name),
            plan: plan.clone(),
            classes: classes.to_vec(),
            execution_log: Rc::clone(execution_log),
            slots: Semaphore::new(plan.slots as usize),
            queued: Cell::new(0),
            slowdown: Cell::new(1.0),
            draining: Cell::new(false),
            deregisters_at_once: Cell::new(false),
            linger_time: Cell::new(Duration::ZERO),
            drain_acknowledged_at: Cell::new(None),
            arrivals_after_drain: Cell::new(0),
            last_control: Cell::new(0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            arrivals: Cell::new(0),
            rejections: Cell::new(0),
            crash: watch::Sender::new(false),
        })
    }

    /// Serves requests and sends heartbeats until the server crashes or has drained. It registers the address
    /// `announced`.
    pub async fn run(
        self: Rc<Self>,
        listen: SocketAddrV4,
        announced: SocketAddrV4,
        zone: String,
        controls: ControlAddresses,
    ) {
        let config = http_server::ServerConfig {
            listen,
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: MAX_BODY_BYTES,
            drain_accept_time: Duration::ZERO,
            shutdown_timeout: Duration::ZERO,
        };
        let mut crash = self.crash.subscribe();
        let handler = Rc::new(OriginHandler(Rc::clone(&self)));
        let serving = http_server::serve(config, handler, crash.clone());
        tokio::select! {
            served = serving => {
                if let Err(error) = served {
                    eprintln!("origin server {} stopped: {error}", self.id);
                }
            }
            () = self.send_heartbeats(announced, zone, &controls) => {}
            _ = crash.wait_for(|crashed| *crashed) => {}
        }
    }

    // ---- Faults ----

    /// Starts draining, after which the server stops.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Starts deregistration without draining first, after which the server stops.
    pub fn deregister(&self) {
        self.deregisters_at_once.set(true);
        self.draining.set(true);
    }

    /// Stops the server at once, without deregistration.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Sets the factor by which processing times are multiplied; 1.0 ends the fault.
    pub fn set_slowdown(&self, factor: f64) {
        self.slowdown.set(factor);
    }

    /// Sets how long the server continues to serve beyond the drain time, to detect late requests.
    pub fn set_linger_time(&self, time: Duration) {
        self.linger_time.set(time);
    }

    /// Whether the server is neither draining, crashed nor slowed down.
    pub fn is_healthy(&self) -> bool {
        !self.draining.get() && !*self.crash.borrow() && self.slowdown.get() == 1.0
    }

    // ---- Counts ----

    /// Returns the number of requests received, including rejected ones.
    pub fn arrivals(&self) -> u64 {
        self.arrivals.get()
    }

    /// Returns the number of requests rejected without execution.
    pub fn rejections(&self) -> u64 {
        self.rejections.get()
    }

    /// Returns the number of requests that arrived after the drain time, and resets it.
    pub fn take_arrivals_after_drain(&self) -> u64 {
        self.arrivals_after_drain.take()
    }
}

/// Adapts an origin to the HTTP server.
struct OriginHandler(Rc<Origin>);

impl Handler for OriginHandler {
    async fn handle(&self, request: FullRequest) -> FullResponse {
        let mut response = self.0.serve(&request).await;
        if let Some(id) = request.head.headers.get(TRY_ID_HEADER) {
            response.headers_mut().insert(TRY_ID_HEADER, id.clone());
        }
        response
    }

    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    fn is_draining(&self) -> bool {
        self.0.draining.get()
    }
}
