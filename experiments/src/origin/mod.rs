//! Emulated origin servers: they send heartbeats, have slots and a queue, take their time for each request, and declare
//! which requests they have not run.

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

use crate::ledger::Ledger;
use crate::plan::{ClassPlan, ServicePlan};
pub use control_calls::call;
pub use heartbeats::HEARTBEAT_INTERVAL;

/// Connections that a server accepts.
const MAX_CONNECTIONS: usize = 256;
/// The longest request body that a server accepts.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An emulated server.
pub struct Origin {
    /// Its id, as it registers.
    pub id: String,
    /// Its service.
    pub plan: ServicePlan,
    classes: Vec<ClassPlan>,
    ledger: Rc<Ledger>,
    slots: Semaphore,
    /// Requests that wait for a slot.
    queued: Cell<u32>,
    /// How many times as long as usual its work takes.
    slowdown: Cell<f64>,
    draining: Cell<bool>,
    /// Whether it deregisters without having been registered as draining.
    deregisters_at_once: Cell<bool>,
    /// How long it serves on beyond the time that it has to.
    linger_time: Cell<Duration>,
    /// When its draining or deregistration was acknowledged.
    drain_acknowledged_at: Cell<Option<Instant>>,
    /// Requests that came after it no longer had to serve.
    arrivals_after_drain: Cell<u64>,
    /// The control node that accepted its last call.
    last_control: Cell<usize>,
    rng: RefCell<ChaCha8Rng>,
    arrivals: Cell<u64>,
    rejections: Cell<u64>,
    crash: watch::Sender<bool>,
}

impl Origin {
    /// Creates a server of a service.
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

    /// Serves and sends heartbeats until it crashes or has drained. `announced` is the address that it registers.
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
                    eprintln!("{}: {error}", self.id);
                }
            }
            () = self.send_heartbeats(announced, zone, &controls) => {}
            _ = crash.wait_for(|crashed| *crashed) => {}
        }
    }

    // ---- Faults ----

    /// Lets it drain, and end after that.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Lets it deregister without draining first, and end after that.
    pub fn deregister(&self) {
        self.deregisters_at_once.set(true);
        self.draining.set(true);
    }

    /// Ends it at once.
    pub fn crash(&self) {
        self.crash.send_replace(true);
    }

    /// Makes its work take so many times as long as usual.
    pub fn set_slowdown(&self, factor: f64) {
        self.slowdown.set(factor);
    }

    /// Sets how long it serves on beyond the time that it has to.
    pub fn set_linger_time(&self, time: Duration) {
        self.linger_time.set(time);
    }

    /// Whether it has no fault.
    pub fn is_healthy(&self) -> bool {
        !self.draining.get() && !*self.crash.borrow() && self.slowdown.get() == 1.0
    }

    // ---- Counts ----

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> u64 {
        self.arrivals.get()
    }

    /// Returns how many requests were rejected.
    pub fn rejections(&self) -> u64 {
        self.rejections.get()
    }

    /// Returns how many requests came after it no longer had to serve, since the last call.
    pub fn take_arrivals_after_drain(&self) -> u64 {
        self.arrivals_after_drain.take()
    }
}

/// Serves the requests of a server.
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
